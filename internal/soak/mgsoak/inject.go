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
	// failedServiceCalls is the number of service calls that one fault affects.
	failedServiceCalls = 6
	// slowFactor is the factor by which a slow engine's steps take longer.
	slowFactor = 8
	// stopTimeout bounds the wait for a planned stop. It is longer than the drain
	// timeout in the settings.
	stopTimeout = 25 * mgclock.Second
	// linkDelay is the time for which a delayed link holds each chunk.
	linkDelay = 150 * mgclock.Millis(1)
)

// injectFault applies a fault and removes it after its duration.
func (r *run) injectFault(ctx context.Context, f Fault) error {
	switch f.Kind {
	case KillProcess:
		return r.restart(f.Target)
	case StopProcess:
		return r.stop(ctx, f.Target)
	case PauseProcess:
		return r.pause(ctx, f)
	case CutLink, SilenceLink, BlockLink, DelayLink, DropLinkReplies:
		r.injectLinkFault(ctx, f, r.deployment.links[f.Target])
		return nil
	case DieEngine, SlowEngine, LeaveEngine:
		return r.injectEngineFault(ctx, f)
	case FailService:
		return r.deployment.setFault(service, mgstandin.Fault{
			Kind:  f.Variant,
			Times: failedServiceCalls,
		})
	case FailPlatform:
		return r.injectPlatformFault(ctx, f)
	case CordonZone:
		return r.cordon(ctx, f)
	case UpgradeUpstream:
		return r.upgrade(ctx, f)
	case CrashPrompt:
		r.sendPrompt(ctx, f)
		return nil
	case CrashLate:
		r.sendLate(ctx, f)
		return nil
	case LoseEntries:
		return r.loseEntries()
	case FunnelReaders:
		r.funnel.Store(int32(1 + slices.Index(r.deployment.names.entries, f.Variant)))
		r.sleep(ctx, f.Duration)
		r.funnel.Store(0)
		return nil
	case CrashPart:
		r.sendParts(ctx, f)
		return nil
	case EditTable, RevokeKey:
		r.tableMu.Lock()
		defer r.tableMu.Unlock()
		r.deployment.revoked = r.deployment.revoked || f.Kind == RevokeKey
		return r.deployment.publishTable(ctx)
	}
	return fmt.Errorf("schedule: unknown kind of fault %q: use a kind that mgsoak defines", f.Kind)
}

// sleep waits for a duration of the run's clock.
func (r *run) sleep(ctx context.Context, duration mgclock.Millis) { r.clock.Sleep(ctx, duration) }

// restart kills a process and starts a new one in its place.
func (r *run) restart(name string) error {
	r.advanceIncarnation(name)
	if err := r.deployment.processes[name].Restart(); err != nil {
		return err
	}
	r.advanceIncarnation(name)
	return nil
}

// stop sends SIGTERM to a process and starts a new one once it has exited or stopTimeout
// has passed.
func (r *run) stop(ctx context.Context, name string) error {
	p := r.deployment.processes[name]
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return nil // another fault has ended it and restarts it
	}
	select {
	case <-p.Exited():
	case <-r.clock.After(stopTimeout):
	case <-ctx.Done():
	}
	return r.restart(name)
}

func (r *run) pause(ctx context.Context, f Fault) error {
	p := r.deployment.processes[f.Target]
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return nil // another fault has ended it
	}
	r.sleep(ctx, f.Duration)
	_ = p.Signal(syscall.SIGCONT) // another fault may have ended it
	return nil
}

func (r *run) injectLinkFault(ctx context.Context, f Fault, l *mgproc.Link) {
	switch f.Kind {
	case CutLink:
		l.Cut()
	case SilenceLink:
		l.DropSilently()
	case BlockLink:
		l.Block(true)
		r.sleep(ctx, f.Duration)
		l.Block(false)
	case DelayLink:
		l.Delay(linkDelay)
		r.sleep(ctx, f.Duration)
		l.Delay(0)
	case DropLinkReplies:
		l.DropReplies(true)
		r.sleep(ctx, f.Duration)
		l.DropReplies(false)
	}
}

// injectEngineFault sets a fault of an engine and heals it afterwards. Faults of the
// same engine are serialized, because healing the first would end the second.
func (r *run) injectEngineFault(ctx context.Context, f Fault) error {
	r.engineMus[f.Target].Lock()
	defer r.engineMus[f.Target].Unlock()
	fault := mgstandin.Fault{
		Kind: mgstandin.Die,
	}
	switch f.Kind {
	case SlowEngine:
		fault.Kind, fault.Factor = mgstandin.Slow, slowFactor
	case LeaveEngine:
		fault.Kind, fault.Delay = mgstandin.Leave, f.Duration
	}
	if err := r.deployment.setFault(f.Target, fault); err != nil {
		return err
	}
	r.sleep(ctx, f.Duration)
	if f.Kind == LeaveEngine {
		if err := r.deployment.setFault(f.Target, mgstandin.Fault{Kind: mgstandin.Die}); err != nil {
			return err
		}
		r.sleep(ctx, f.Duration)
	}
	return r.deployment.setFault(f.Target, mgstandin.Fault{Kind: mgstandin.Heal})
}

func (r *run) injectPlatformFault(ctx context.Context, f Fault) error {
	r.platformMu.Lock()
	defer r.platformMu.Unlock()
	if err := r.deployment.setFault(platform, mgstandin.Fault{Kind: f.Variant}); err != nil {
		return err
	}
	r.sleep(ctx, f.Duration)
	return r.deployment.setFault(platform, mgstandin.Fault{Kind: mgstandin.Heal})
}

// cordonDelay is the time after which every process must observe a cordon. It includes
// the lag of the list of VMs.
const cordonDelay = 3 * mgclock.Second

// cordon cordons a zone and counts the generations that its engines start after
// cordonDelay. Platform faults are held off meanwhile, because processes learn of the
// cordon from the platform.
func (r *run) cordon(ctx context.Context, f Fault) error {
	r.platformMu.Lock()
	defer r.platformMu.Unlock()
	if err := r.deployment.publishList(f.Target); err != nil {
		return err
	}
	r.sleep(ctx, cordonDelay)
	from := r.now()
	before, err := r.startedGenerations(f.Target)
	if err != nil {
		return err
	}
	r.sleep(ctx, f.Duration)
	after, err := r.startedGenerations(f.Target)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.cordonChecks = append(r.cordonChecks, cordonCheck{
		zone:         f.Target,
		startedCount: after - before,
		start:        from,
		end:          r.now(),
	})
	r.mu.Unlock()
	return r.deployment.publishList()
}

// startedGenerations returns the number of generations started by the engines of a zone.
func (r *run) startedGenerations(zoneName string) (int, error) {
	total := 0
	for i, engine := range r.deployment.names.engines {
		if zone(i) != zoneName {
			continue
		}
		var counts mgstandin.EngineCounts
		if err := r.deployment.counts(engine, &counts); err != nil {
			return 0, err
		}
		for _, record := range counts.Generations {
			total += record.Starts
		}
	}
	return total, nil
}

// promptInterval is the time between two requests with the crash prompt.
const promptInterval = 150 * mgclock.Millis(1)

// sendPrompt sends the crash prompt, which crashes every engine that begins to
// generate for it, to the entries in turn.
func (r *run) sendPrompt(ctx context.Context, f Fault) {
	body := fmt.Sprintf(`{"model":"report","messages":[{"role":"user","content":"%s len=5"}]}`, mgstandin.CrashMark)
	end := r.now() + f.Duration
	for n := 0; r.now() < end && ctx.Err() == nil; n++ {
		base := r.deployment.entries[n%len(r.deployment.entries)]
		_, _ = call(ctx, http.MethodPost, base+"/v1/chat/completions", firstKey, body) // any failure is acceptable
		r.sleep(ctx, promptInterval)
	}
}

// checkPromptCrashes reports a finding if the prompt crashed more engines than the
// entries' records of it can explain.
func (r *run) checkPromptCrashes() []Finding {
	var sent faultInterval
	for _, s := range r.faultIntervals {
		if s.fault.Kind == CrashPrompt {
			sent = s
		}
	}
	// An engine can restart under its name within a second. Another entry's record of
	// the restarted engine then counts as the same crash, once for each entry.
	allowed := maxPromptCrashes + max(r.size.Entries, spareProcesses+1) - 1
	for _, s := range r.faultIntervals {
		if s.fault.hitsEntries() && s.start < sent.end && sent.start < s.end+promptReportDelay {
			allowed += maxPromptCrashes // an entry that was restarted, paused or cut off may miss the records
		}
	}
	if r.evidence.crashes <= allowed {
		return nil
	}
	return []Finding{newFinding(crashPromptBlocked, "%d engines crashed, at most %d are allowed", r.evidence.crashes, allowed)}
}

// maxPromptCrashes is the number of engines that crash under a prompt before an entry
// blocks it.
const maxPromptCrashes = 3

// promptReportDelay is the time after a fault within which an entry may lack the
// record of the prompt.
const promptReportDelay = 3 * mgclock.Second

// mustBeTolerated reports whether the fault alone must not make an answer fail.
func (f Fault) mustBeTolerated() bool {
	return f.Kind == StopProcess && strings.HasPrefix(f.Target, "entry-") || slices.Contains([]Kind{EditTable, RevokeKey, CordonZone, UpgradeUpstream, FunnelReaders}, f.Kind)
}
