package mgsoak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"

	"github.com/marjoramgauge/marjoramgauge/internal/soak/mgproc"
	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgstandin"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// serviceTimes is how many calls of the service one fault strikes.
	failedServiceCalls = 6
	// slowFactor is how many times as slow an engine turns.
	slowFactor = 8
	// stopLongest bounds a planned stop; the settings' drain is shorter.
	stopTimeout = 25 * mgclock.Second
	// linkDelay is how late a delayed link passes each piece on.
	linkDelay = 150 * mgclock.Millis(1)
)

// harm does one fault and undoes it after its span.
func (r *run) injectFault(ctx context.Context, f Fault) error {
	switch f.Kind {
	case KillProcess:
		return r.restart(f.Target)
	case StopProcess:
		return r.stop(ctx, f.Target)
	case PauseProcess:
		return r.pause(ctx, f)
	case CutLink, MuteLink, BarLink, DelayLink, LoseLink:
		r.injectLinkFault(ctx, f, r.d.links[f.Target])
		return nil
	case DieEngine, SlowEngine, LeaveEngine:
		return r.injectEngineFault(ctx, f)
	case FailService:
		return r.d.set(service, mgstandin.Fault{
			Kind:  f.Variant,
			Times: failedServiceCalls,
		})
	case FailPlatform:
		return r.injectPlatformFault(ctx, f)
	case CordonZone:
		return r.cordon(ctx, f)
	case CrashPrompt:
		r.sendPrompt(ctx, f)
		return nil
	case EditTable, RevokeKey:
		r.editing.Lock()
		defer r.editing.Unlock()
		r.d.revoked = r.d.revoked || f.Kind == RevokeKey
		return r.d.publishTable(ctx)
	}
	return fmt.Errorf("schedule: %q is no kind of fault: use one that mgsoak names", f.Kind)
}

// wait waits for a span of the run.
func (r *run) sleep(ctx context.Context, duration mgclock.Millis) { r.clock.Sleep(ctx, duration) }

// restart kills a process and starts it anew.
func (r *run) restart(name string) error {
	r.advanceIncarnation(name)
	if err := r.d.processes[name].Restart(); err != nil {
		return err
	}
	r.advanceIncarnation(name)
	return nil
}

// stop asks a process to end and starts it anew once it has.
func (r *run) stop(ctx context.Context, name string) error {
	p := r.d.processes[name]
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return nil // it has ended by another fault, which starts it anew
	}
	select {
	case <-p.Exited():
	case <-r.clock.After(stopTimeout):
	case <-ctx.Done():
	}
	return r.restart(name)
}

func (r *run) pause(ctx context.Context, f Fault) error {
	p := r.d.processes[f.Target]
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return nil // it has ended by another fault
	}
	r.sleep(ctx, f.Duration)
	_ = p.Signal(syscall.SIGCONT) // it may have been ended meanwhile
	return nil
}

func (r *run) injectLinkFault(ctx context.Context, f Fault, l *mgproc.Link) {
	switch f.Kind {
	case CutLink:
		l.Cut()
	case MuteLink:
		l.Silence()
	case BarLink:
		l.Block(true)
		r.sleep(ctx, f.Duration)
		l.Block(false)
	case DelayLink:
		l.Delay(linkDelay)
		r.sleep(ctx, f.Duration)
		l.Delay(0)
	case LoseLink:
		l.DropReplies(true)
		r.sleep(ctx, f.Duration)
		l.DropReplies(false)
	}
}

// harmEngine turns a switch of an engine and heals it. Two faults of one engine
// don't overlap: the second would end with the first.
func (r *run) injectEngineFault(ctx context.Context, f Fault) error {
	r.engines[f.Target].Lock()
	defer r.engines[f.Target].Unlock()
	fault := mgstandin.Fault{
		Kind: mgstandin.Die,
	}
	switch f.Kind {
	case SlowEngine:
		fault.Kind, fault.Factor = mgstandin.Slow, slowFactor
	case LeaveEngine:
		fault.Kind, fault.Delay = mgstandin.Leave, f.Duration
	}
	if err := r.d.set(f.Target, fault); err != nil {
		return err
	}
	r.sleep(ctx, f.Duration)
	if f.Kind == LeaveEngine {
		if err := r.d.set(f.Target, mgstandin.Fault{Kind: mgstandin.Die}); err != nil {
			return err
		}
		r.sleep(ctx, f.Duration)
	}
	return r.d.set(f.Target, mgstandin.Fault{Kind: mgstandin.Heal})
}

func (r *run) injectPlatformFault(ctx context.Context, f Fault) error {
	r.platform.Lock()
	defer r.platform.Unlock()
	if err := r.d.set(platform, mgstandin.Fault{Kind: f.Variant}); err != nil {
		return err
	}
	r.sleep(ctx, f.Duration)
	return r.d.set(platform, mgstandin.Fault{Kind: mgstandin.Heal})
}

// cordonWait is the time in which every process must go by a cordon, the lag of the list
// included.
const cordonDelay = 3 * mgclock.Second

// cordon keeps new work from a zone, and looks whether its engines begin any once all
// processes must know. The platform doesn't fail meanwhile: it is what tells them.
func (r *run) cordon(ctx context.Context, f Fault) error {
	r.platform.Lock()
	defer r.platform.Unlock()
	if err := r.d.publishList(f.Target); err != nil {
		return err
	}
	r.sleep(ctx, cordonDelay)
	from := r.now()
	before, err := r.starts(f.Target)
	if err != nil {
		return err
	}
	r.sleep(ctx, f.Duration)
	after, err := r.starts(f.Target)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.cordonChecks = append(r.cordonChecks, cordonCheck{
		zone:         f.Target,
		startedCount: after - before,
		from:         from,
		end:          r.now(),
	})
	r.mu.Unlock()
	return r.d.publishList()
}

// starts returns how many generations the engines of a zone have begun.
func (r *run) starts(of string) (int, error) {
	total := 0
	for i, engine := range r.d.names.engines {
		if zone(i) != of {
			continue
		}
		var counts mgstandin.EngineCounts
		if err := r.d.counts(engine, &counts); err != nil {
			return 0, err
		}
		for _, record := range counts.Generations {
			total += record.Starts
		}
	}
	return total, nil
}

// promptPause is the time between two requests with the prompt that ends engines.
const promptInterval = 150 * mgclock.Millis(1)

// sendPrompt sends a prompt that ends the engines which begin it, through one entry after
// another.
func (r *run) sendPrompt(ctx context.Context, f Fault) {
	body := fmt.Sprintf(`{"model":"report","messages":[{"role":"user","content":"%s len=5"}]}`, mgstandin.CrashMark)
	end := r.now() + f.Duration
	for n := 0; r.now() < end && ctx.Err() == nil; n++ {
		base := r.d.entries[n%len(r.d.entries)]
		_, _ = call(ctx, http.MethodPost, base+"/v1/chat/completions", firstKey, body) // how it fails is no matter
		r.sleep(ctx, promptInterval)
	}
}

// endedByPrompt looks for more engines that the prompt ended than entries can't have known.
func (r *run) checkPromptCrashes() []Finding {
	var sent faultInterval
	for _, s := range r.faultIntervals {
		if s.fault.Kind == CrashPrompt {
			sent = s
		}
	}
	// Another entry's word of an engine that started again under its name within a second
	// is taken for a word of the same crash, once for each entry.
	allowed := maxPromptCrashes + max(r.size.Entries, spareProcesses+1) - 1
	for _, s := range r.faultIntervals {
		if strings.HasPrefix(s.fault.Target, "entry-") && s.start < sent.end && sent.start < s.end+promptReportDelay {
			allowed += maxPromptCrashes // an entry that starts anew, stands still or is cut off
		}
	}
	if r.evidence.crashes <= allowed {
		return nil
	}
	return []Finding{newFinding(crashPromptBlocked, "%d engines ended, of %d that may have", r.evidence.crashes, allowed)}
}

// promptCrashes is how many engines end under a prompt before one entry holds it back.
const maxPromptCrashes = 3

// promptWord is how long after a fault an entry may not have heard of the prompt.
const promptReportDelay = 3 * mgclock.Second

// planned reports whether a fault is one that answers must outlast by themselves.
func (f Fault) mustBeTolerated() bool {
	return f.Kind == StopProcess && strings.HasPrefix(f.Target, "entry-") || slices.Contains([]Kind{EditTable, RevokeKey, CordonZone}, f.Kind)
}
