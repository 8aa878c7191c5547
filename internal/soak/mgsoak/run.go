package mgsoak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgstandin"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// settleTimeout bounds the wait for the last answers and for the last table
	// version.
	settleTimeout = 40 * mgclock.Second
	// recoveryWindow is the time after a fault's end in which failures are attributed
	// to it. A caller retries for about as long.
	recoveryWindow = 12 * mgclock.Second
)

// run is the state of one soak run.
type run struct {
	seed       uint64
	size       Size
	faults     []Fault
	length     mgclock.Millis
	clock      mgclock.Clock
	started    mgclock.Millis
	deployment *deployment

	funnel atomic.Int32 // number of the entry that most new connections go to, from 1; 0 for none

	tableMu    sync.Mutex
	platformMu sync.Mutex
	engineMus  map[string]*sync.Mutex

	mu             sync.Mutex
	incarnations   map[string]int
	evidence       evidence
	faultIntervals []faultInterval
	gaps           []tokenGap
	cordonChecks   []cordonCheck
	findings       []Finding
}

// cordonCheck records the generations started in a zone while it was cordoned.
type cordonCheck struct {
	zone         string
	startedCount int // generations
	start, end   mgclock.Millis
}

// faultInterval is the time in which a fault was active, relative to the start of the
// run.
type faultInterval struct {
	fault      Fault
	start, end mgclock.Millis
}

// tokenGap is a long pause between two tokens of an answer.
type tokenGap struct {
	at, duration mgclock.Millis
}

func (r *run) now() mgclock.Millis { return r.clock.Now() - r.started }

func (r *run) incarnation(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.incarnations[name]
}

// advanceIncarnation increments the incarnation of a process. It is called before and
// after a restart, because observations in between may come from either process.
func (r *run) advanceIncarnation(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.incarnations[name]++
}

func (r *run) recordGap(at, duration mgclock.Millis) {
	if duration < minRecordedGap {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gaps = append(r.gaps, tokenGap{
		at:       at,
		duration: duration,
	})
}

// play runs the schedule under load and evaluates the findings.
func (r *run) play(ctx context.Context, binary, folder string) error {
	d, err := newDeployment(ctx, binary, folder, r.size)
	if err != nil {
		return err
	}
	defer d.close()
	r.deployment = d
	r.incarnations = map[string]int{}
	r.engineMus = map[string]*sync.Mutex{}
	for _, name := range d.names.engines {
		r.engineMus[name] = &sync.Mutex{}
	}
	r.started = r.clock.Now()
	loadCtx, endLoad := context.WithCancel(ctx)
	defer endLoad()
	var load, injections sync.WaitGroup
	for i := range r.size.Callers {
		load.Go(func() { r.runCaller(loadCtx, i) })
	}
	for i := range r.size.Readers {
		load.Go(func() { r.runReader(loadCtx, i) })
	}
	for i := range d.entries {
		load.Go(func() { r.runObserver(loadCtx, i) })
	}
	for _, f := range r.faults {
		injections.Go(func() { r.runFault(ctx, f) })
	}
	r.clock.Sleep(ctx, r.length)
	injections.Wait()
	r.settle(ctx)
	endLoad()
	load.Wait()
	return r.evaluate()
}

// runFault waits for the fault's start time, injects it and records its interval.
func (r *run) runFault(ctx context.Context, f Fault) {
	if !r.clock.Sleep(ctx, f.At-r.now()) {
		return
	}
	s := faultInterval{
		fault: f,
		start: r.now(),
	}
	err := r.injectFault(ctx, f)
	s.end = r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faultIntervals = append(r.faultIntervals, s)
	if err != nil {
		r.findings = append(r.findings, newFinding("the run itself", "%v: %v", f, err))
	}
}

// settle waits until the last table version is in force at each entry, and checks that
// the revoked key is rejected.
func (r *run) settle(ctx context.Context) {
	for i, base := range r.deployment.entries {
		last := 0
		converged := waitUntil(ctx, settleTimeout.Duration(), func() bool {
			version, ok := versionAt(ctx, unpooledClient, base, firstKey)
			if ok {
				last = version
			}
			return ok && version == r.deployment.tableVersion
		})
		if !converged {
			r.addFinding(versionPropagates, "%s has version %d and not %d after %d ms: %s", r.deployment.names.entries[i], last, r.deployment.tableVersion, settleTimeout, r.deployment.processes[r.deployment.names.entries[i]].Log())
			continue
		}
		want := http.StatusOK
		if r.deployment.revoked {
			want = http.StatusUnauthorized
		}
		if code, _ := get(ctx, base+"/v1/models", secondKey); code != want {
			r.addFinding(revokedKey, "%s answers %d and not %d to the second key", r.deployment.names.entries[i], code, want)
		}
	}
}

func (r *run) addFinding(promise, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.findings = append(r.findings, newFinding(promise, format, args...))
}

// evaluate compares what callers received with the counters of the stand-ins.
func (r *run) evaluate() error {
	for _, engine := range r.deployment.names.engines {
		var counts mgstandin.EngineCounts
		if err := r.deployment.counts(engine, &counts); err != nil {
			return err
		}
		r.evidence.merge(counts)
	}
	var counts mgstandin.ServiceCounts
	if err := r.deployment.counts(service, &counts); err != nil {
		return err
	}
	r.evidence.runs = counts.Runs
	r.findings = append(r.findings, r.evidence.check()...)
	r.findings = append(r.findings, r.checkStreams()...)
	r.findings = append(r.findings, r.checkFailedAnswers()...)
	r.findings = append(r.findings, r.checkCordons()...)
	r.findings = append(r.findings, r.checkPromptCrashes()...)
	r.findings = append(r.findings, r.checkPartCrashes()...)
	r.findings = append(r.findings, r.checkLateCrashes()...)
	r.findings = append(r.findings, r.checkFunnel()...)
	return nil
}

// checkCordons finds work that started in a cordoned zone although all processes could
// know of the cordon.
func (r *run) checkCordons() []Finding {
	var found []Finding
	for _, c := range r.cordonChecks {
		excused := slices.ContainsFunc(r.faultIntervals, func(s faultInterval) bool {
			return s.fault.delaysPlatformUpdates() && s.start <= c.end && c.start <= s.end+cordonDelay
		})
		if c.startedCount > 0 && !excused {
			found = append(found, newFinding(cordonRespected, "%d generations began in zone %s at %d to %d ms", c.startedCount, c.zone, c.start, c.end))
		}
	}
	return found
}

// checkFailedAnswers finds answers that failed without a fault nearby, or with only
// faults that answers must tolerate.
func (r *run) checkFailedAnswers() []Finding {
	var found []Finding
	for _, a := range r.evidence.answers {
		if a.err == nil {
			continue
		}
		overlapping := r.overlappingFaults(a)
		switch {
		case len(overlapping) == 0:
			found = append(found, newFinding(failureHasCause, "%s at %d to %d ms: %v", a.prompt, a.began, a.ended, a.err))
		case !slices.ContainsFunc(overlapping, func(s faultInterval) bool { return !s.fault.mustBeTolerated() }):
			found = append(found, newFinding(plannedStopCutsNothing, "%s at %d to %d ms, beside %v: %v", a.prompt, a.began, a.ended, overlapping[0].fault, a.err))
		}
	}
	return found
}

// overlappingFaults returns the faults that may have affected an answer.
func (r *run) overlappingFaults(a callerAnswer) []faultInterval {
	var list []faultInterval
	for _, s := range r.faultIntervals {
		if s.start <= a.ended && a.began <= s.end+recoveryWindow {
			list = append(list, s)
		}
	}
	return list
}

// summary returns a one-line summary of the run.
func (r *run) summary() string {
	whole, failed := 0, 0
	for _, a := range r.evidence.answers {
		if a.err == nil {
			whole++
		} else {
			failed++
		}
	}
	booked := 0
	for _, t := range r.evidence.tickets {
		if t.err == nil {
			booked++
		}
	}
	wholeStreams, resumed, asked := 0, 0, 0
	for _, s := range r.evidence.streams {
		if s.last == s.total {
			wholeStreams++
		}
		for _, request := range s.requests {
			if request.resumes {
				asked++
			}
			if request.resumes && request.served {
				resumed++
			}
		}
	}
	return fmt.Sprintf("seed %d: %d faults, %d answers whole and %d told otherwise, %d of %d tickets booked, %d looks at tables, %d engines ended by a prompt, %d by a part (%d of %d sound ones held), %d late (%d of %d hot ones held), %d of %d streams whole, %d of %d resumed, %d findings",
		r.seed, len(r.faults), whole, failed, booked, len(r.evidence.tickets), len(r.evidence.observations), r.evidence.crashes,
		r.evidence.partCrashes, r.evidence.parts.held, r.evidence.parts.sound,
		r.evidence.lateCrashes, r.evidence.hot.held, r.evidence.hot.sound,
		wholeStreams, len(r.evidence.streams), resumed, asked, len(r.findings))
}
