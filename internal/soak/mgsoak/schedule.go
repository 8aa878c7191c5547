package mgsoak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Kind is the kind of a fault.
type Kind string

// The kinds of faults.
const (
	KillProcess     Kind = "kill"    // then restart
	StopProcess     Kind = "stop"    // planned, then restart
	PauseProcess    Kind = "pause"   // SIGSTOP for the duration
	CutLink         Kind = "cut"     // open connections break, new ones work
	BlockLink       Kind = "bar"     // no connections for the duration
	SilenceLink     Kind = "mute"    // open connections pass no more bytes
	DelayLink       Kind = "delay"   // each chunk is delayed, for the duration
	DropLinkReplies Kind = "lose"    // one direction is dropped, for the duration
	DieEngine       Kind = "die"     // all generations are lost; healed after the duration
	SlowEngine      Kind = "slow"    // for the duration
	LeaveEngine     Kind = "leave"   // leaves with a notice of the duration, then is down for as long
	FailService     Kind = "service" // the next calls fail as the variant says
	FailPlatform    Kind = "platform"
	EditTable       Kind = "edit"    // publishes a new table version
	RevokeKey       Kind = "revoke"  // publishes a table version without the second account's key
	CordonZone      Kind = "cordon"  // a zone gets no new work for the duration
	CrashPart       Kind = "part"    // prompts with a part that crashes their engines, unlike otherwise, beside sound ones
	FunnelReaders   Kind = "funnel"  // the balancer hands most new connections of readers to one entry
	CrashLate       Kind = "late"    // a prompt that crashes its engine in the middle of its answer, beside a sound one that is hot
	LoseEntries     Kind = "lost"    // all entries are killed at once, then restarted
	CrashPrompt     Kind = "prompt"  // a prompt that crashes its engine, sent repeatedly for the duration
	UpgradeUpstream Kind = "upgrade" // an upstream of streams restarts with another software version
)

// Fault is one step of a schedule.
type Fault struct {
	At       mgclock.Millis `json:"at"`
	Kind     Kind           `json:"kind"`
	Target   string         `json:"target,omitempty"`
	Variant  string         `json:"how,omitempty"` // the fault kind of a stand-in
	Duration mgclock.Millis `json:"span,omitempty"`
}

// delaysPlatformUpdates reports whether the fault may delay updates from the platform
// to a process: the process is paused, or its path to the platform fails. Other links
// carry only callers' requests and agents' work.
func (f Fault) delaysPlatformUpdates() bool {
	links := []Kind{CutLink, BlockLink, SilenceLink, DelayLink, DropLinkReplies}
	return f.Kind == PauseProcess || f.Target == platform && slices.Contains(links, f.Kind)
}

// String formats the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("%6d ms %s %s %s %d ms", f.At, f.Kind, f.Target, f.Variant, f.Duration)
}

// Size is the number of processes and callers of a deployment.
type Size struct {
	Entries int  `long:"entries" default:"2" description:"entries"`
	Engines int  `long:"engines" default:"3" description:"engines, with an agent each"`
	Callers int  `long:"callers" default:"12" description:"callers at once"`
	Readers int  `long:"readers" default:"12" description:"callers of streams at once"`
	Late    bool `long:"late" description:"also play a prompt that ends engines late, and the loss of all entries at once"`
}

const (
	// meanFaultInterval is the mean time between two faults in ms. Faults last 0.3 to
	// 3 s, so that two or three usually overlap.
	meanFaultInterval = 900.0
	// faultFreeStart and faultFreeEnd are without faults. The load ramps up in the
	// first, and the system recovers in the second, after which the final checks
	// require the last table version.
	faultFreeStart   = mgclock.Second
	faultFreeEnd     = 6 * mgclock.Second
	minFaultDuration = 300
	maxFaultDuration = 3000
	// spareProcesses is the minimum number of entries, and of engines, beyond the first
	// one, so that some answers complete while one is down.
	spareProcesses = 1
)

// faultWeights holds the kinds of faults that a schedule draws, with their weights.
var faultWeights = []struct {
	kind   Kind
	weight int
}{
	{KillProcess, 4},
	{StopProcess, 3},
	{PauseProcess, 3},
	{CutLink, 3},
	{BlockLink, 2},
	{SilenceLink, 2},
	{DelayLink, 2},
	{DropLinkReplies, 2},
	{DieEngine, 2},
	{SlowEngine, 1},
	{LeaveEngine, 2},
	{FailService, 2},
	{FailPlatform, 2},
	{EditTable, 3},
	{RevokeKey, 1},
}

// Draw returns the schedule of a seed for a run of the given length.
func Draw(seed uint64, size Size, length mgclock.Millis) []Fault {
	r := rand.New(rand.NewPCG(seed, 0x736f616b))
	var faults []Fault
	revoked := false
	for at := faultFreeStart; ; {
		at += mgclock.Millis(r.ExpFloat64() * meanFaultInterval)
		if at >= length-faultFreeEnd {
			prompt := drawPrompt(seed, length)
			faults = append(faults, drawLate(seed, length, size)...)
			return append(append(faults, drawCordon(seed, length), prompt, drawPart(prompt, length), drawFunnel(seed, length, size)), drawUpgrades(seed, length)...)
		}
		f := Fault{
			At:       at,
			Kind:     drawKind(r),
			Duration: mgclock.Millis(minFaultDuration + r.IntN(maxFaultDuration-minFaultDuration)),
		}
		f.Duration = min(f.Duration, length-faultFreeEnd-at)
		if f.Kind == RevokeKey && revoked {
			f.Kind = EditTable
		}
		revoked = revoked || f.Kind == RevokeKey
		f.pickTarget(r, size)
		faults = append(faults, f)
	}
}

// drawCordon returns the cordon of a schedule. It has its own random generator, so
// that the other faults of a seed stay the same.
func drawCordon(seed uint64, length mgclock.Millis) Fault {
	r := rand.New(rand.NewPCG(seed, 0x636f7264))
	available := length - faultFreeStart - faultFreeEnd - cordonDelay
	duration := available / 4
	return Fault{
		At:       faultFreeStart + mgclock.Millis(r.Int64N(max(int64(available-duration), 1))),
		Kind:     CordonZone,
		Target:   zone(r.IntN(zones)),
		Duration: duration,
	}
}

// drawPrompt returns the interval in which the crash prompt is sent. Like drawCordon
// it has its own random generator.
func drawPrompt(seed uint64, length mgclock.Millis) Fault {
	r := rand.New(rand.NewPCG(seed, 0x63726173))
	available := length - faultFreeStart - faultFreeEnd
	duration := available / 3
	return Fault{
		At:       faultFreeStart + mgclock.Millis(r.Int64N(max(int64(available-duration), 1))),
		Kind:     CrashPrompt,
		Duration: duration,
	}
}

// drawPart returns the interval in which prompts with a part that crashes engines are sent: before
// or after the one of the crash prompt, wherever there is more time. Two causes at one engine would
// count as one crash.
func drawPart(prompt Fault, length mgclock.Millis) Fault {
	begin, end := prompt.At+prompt.Duration+promptReportDelay, length-faultFreeEnd
	if before := prompt.At - promptReportDelay; before-faultFreeStart > end-begin {
		begin, end = faultFreeStart, before
	}
	return Fault{
		At:       begin,
		Kind:     CrashPart,
		Duration: max(end-begin, 0),
	}
}

// drawLate returns the faults of Size.Late. Like drawCordon it has its own random generator.
func drawLate(seed uint64, length mgclock.Millis, size Size) []Fault {
	if !size.Late {
		return nil
	}
	r := rand.New(rand.NewPCG(seed, 0x6c617465))
	available := length - faultFreeStart - faultFreeEnd
	return []Fault{
		{
			At:       faultFreeStart,
			Kind:     CrashLate,
			Duration: available,
		},
		{
			At:   faultFreeStart + available/4 + mgclock.Millis(r.Int64N(max(int64(available/2), 1))),
			Kind: LoseEntries,
		},
	}
}

// caution returns the entries' setting of that name. Without a loss of all entries the runs are about
// entries that have run for a while.
func (s Size) caution() mgclock.Millis {
	if s.Late {
		return 30 * mgclock.Second
	}
	return 0
}

// hitsEntries reports whether the fault may keep an entry from knowing what others know.
func (f Fault) hitsEntries() bool {
	return strings.HasPrefix(f.Target, "entry-") || f.Kind == LoseEntries
}

// drawFunnel returns the interval in which most new connections of readers go to one entry. Like
// drawCordon it has its own random generator.
func drawFunnel(seed uint64, length mgclock.Millis, size Size) Fault {
	r := rand.New(rand.NewPCG(seed, 0x66756e6e))
	available := length - faultFreeStart - faultFreeEnd
	duration := available / 3
	return Fault{
		At:       faultFreeStart + mgclock.Millis(r.Int64N(max(int64(available-duration), 1))),
		Kind:     FunnelReaders,
		Variant:  fmt.Sprintf("entry-%d", 1+r.IntN(max(size.Entries, 1))), // no target: nothing is wrong with it
		Duration: duration,
	}
}

// abruptUpgrade is the variant of an upgrade in which the upstream doesn't leave first.
const abruptUpgrade = "abrupt"

// drawUpgrades returns the upgrades of two upstreams of streams. Like drawCordon it has its own
// random generator.
func drawUpgrades(seed uint64, length mgclock.Millis) []Fault {
	r := rand.New(rand.NewPCG(seed, 0x75706772))
	available := length - faultFreeStart - faultFreeEnd - maxFaultDuration
	upgrades := []Fault{
		{
			Target:  "stream-1",
			Variant: "planned",
		},
		{
			Target:  "stream-2",
			Variant: abruptUpgrade,
		},
	}
	for i := range upgrades {
		upgrades[i].Kind = UpgradeUpstream
		upgrades[i].At = faultFreeStart + mgclock.Millis(r.Int64N(max(int64(available), 1)))
		upgrades[i].Duration = maxFaultDuration
	}
	return upgrades
}

func drawKind(r *rand.Rand) Kind {
	total := 0
	for _, d := range faultWeights {
		total += d.weight
	}
	n := r.IntN(total)
	for _, d := range faultWeights {
		if n -= d.weight; n < 0 {
			return d.kind
		}
	}
	return EditTable
}

// pickTarget draws the target and the variant.
func (f *Fault) pickTarget(r *rand.Rand, size Size) {
	names := size.names()
	pick := func(from []string) string { return from[r.IntN(len(from))] }
	switch f.Kind {
	case KillProcess, StopProcess, PauseProcess:
		f.Target = pick(slices.Concat(names.entries, names.agents))
	case CutLink, BlockLink, SilenceLink, DelayLink, DropLinkReplies:
		f.Target = pick(slices.Concat(names.entries, names.agents, names.engines, []string{service, platform}))
	case DieEngine, SlowEngine, LeaveEngine:
		f.Target = pick(names.engines)
	case FailService:
		f.Target = service
		f.Variant = pick([]string{"lost", "early", "refuse", "hang"})
	case FailPlatform:
		f.Target = platform
		f.Variant = pick([]string{"down", "stale", "silent"})
	}
}

// Names of the processes of which there is one.
const (
	service  = "books"
	platform = "platform"
)

// processNames holds the names of a deployment's processes.
type processNames struct {
	entries, agents, engines []string
}

func (s Size) names() processNames {
	var c processNames
	for i := range max(s.Entries, spareProcesses+1) {
		c.entries = append(c.entries, fmt.Sprintf("entry-%d", i+1))
	}
	for i := range max(s.Engines, spareProcesses+1) {
		c.engines = append(c.engines, fmt.Sprintf("engine-%d", i+1))
		c.agents = append(c.agents, agentOf(c.engines[i]))
	}
	c.agents = append(c.agents, agentOf(service))
	return c
}

func agentOf(upstream string) string { return "agent-" + upstream }
