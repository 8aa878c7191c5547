package mgsoak

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Kind is what is done.
type Kind string

// The kinds of faults.
const (
	KillProcess  Kind = "kill"    // and start anew
	StopProcess  Kind = "stop"    // planned, and start anew
	PauseProcess Kind = "pause"   // for the span
	CutLink      Kind = "cut"     // connections break, new ones work
	BarLink      Kind = "bar"     // nothing passes for the span
	MuteLink     Kind = "mute"    // connections that stand pass nothing more
	DelayLink    Kind = "delay"   // each piece is late for the span
	LoseLink     Kind = "lose"    // one way, for the span
	DieEngine    Kind = "die"     // all generations are lost; healed after the span
	SlowEngine   Kind = "slow"    // for the span
	LeaveEngine  Kind = "leave"   // notice of the span, then gone for as long
	FailService  Kind = "service" // the next calls lose their answers, or more
	FailPlatform Kind = "platform"
	EditTable    Kind = "edit"   // a new version
	RevokeKey    Kind = "revoke" // a version without the second account's key
	CordonZone   Kind = "cordon" // no new work for a zone, for the span
	CrashPrompt  Kind = "prompt" // a prompt that ends its engine, again and again for the span
)

// A Fault is one step of a schedule.
type Fault struct {
	At       mgclock.Millis `json:"at"`
	Kind     Kind           `json:"kind"`
	Target   string         `json:"target,omitempty"`
	Variant  string         `json:"how,omitempty"` // the variant, of a stand-in
	Duration mgclock.Millis `json:"span,omitempty"`
}

// hides reports whether a fault may keep a process from knowing what the platform shows:
// it stands still, or the way to the platform fails. Other links carry callers' requests
// and agents' work alone.
func (f Fault) delaysPlatformUpdates() bool {
	links := []Kind{CutLink, BarLink, MuteLink, DelayLink, LoseLink}
	return f.Kind == PauseProcess || f.Target == platform && slices.Contains(links, f.Kind)
}

// String returns the fault in a line.
func (f Fault) String() string {
	return fmt.Sprintf("%6d ms %s %s %s %d ms", f.At, f.Kind, f.Target, f.Variant, f.Duration)
}

// Size says how large a deployment is.
type Size struct {
	Entries int `long:"entries" default:"2" description:"entries"`
	Engines int `long:"engines" default:"3" description:"engines, with an agent each"`
	Callers int `long:"callers" default:"12" description:"callers at once"`
}

const (
	// meanGap is the mean time between two faults in ms: spans are of 0.3 to 3 s,
	// so that two or three overlap at most times.
	meanFaultInterval = 900.0
	// quietHead and quietTail are without faults: the load begins and all is well
	// again at the end, which the checks of what must come by then need.
	faultFreeStart   = mgclock.Second
	faultFreeEnd     = 6 * mgclock.Second
	minFaultDuration = 300
	maxFaultDuration = 3000
	// reserve is how many processes of a kind are not ended at once, so that some
	// answers come.
	spareProcesses = 1
)

// drawn is what a schedule draws from, by weight.
var faultWeights = []struct {
	kind   Kind
	weight int
}{
	{KillProcess, 4},
	{StopProcess, 3},
	{PauseProcess, 3},
	{CutLink, 3},
	{BarLink, 2},
	{MuteLink, 2},
	{DelayLink, 2},
	{LoseLink, 2},
	{DieEngine, 2},
	{SlowEngine, 1},
	{LeaveEngine, 2},
	{FailService, 2},
	{FailPlatform, 2},
	{EditTable, 3},
	{RevokeKey, 1},
}

// Draw returns the schedule of a seed for a run of a length.
func Draw(seed uint64, size Size, length mgclock.Millis) []Fault {
	r := rand.New(rand.NewPCG(seed, 0x736f616b))
	var faults []Fault
	revoked := false
	for at := faultFreeStart; ; {
		at += mgclock.Millis(r.ExpFloat64() * meanFaultInterval)
		if at >= length-faultFreeEnd {
			return append(faults, drawCordon(seed, length), drawPrompt(seed, length))
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

// drawCordon returns the cordon of a schedule. It is drawn by itself, so that the other
// faults of a seed stay what they were.
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

// drawPrompt returns the span in which a prompt is sent that ends the engines which begin
// it, drawn by itself like the cordon.
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

// aim draws the target and the variant.
func (f *Fault) pickTarget(r *rand.Rand, size Size) {
	names := size.names()
	pick := func(from []string) string { return from[r.IntN(len(from))] }
	switch f.Kind {
	case KillProcess, StopProcess, PauseProcess:
		f.Target = pick(slices.Concat(names.entries, names.agents))
	case CutLink, BarLink, MuteLink, DelayLink, LoseLink:
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

// The names of what stands once.
const (
	service  = "books"
	platform = "platform"
)

// cast holds the names of a deployment's processes.
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
