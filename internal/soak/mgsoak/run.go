package mgsoak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"

	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgstandin"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// settleWait bounds the wait for the last answers and for the last version.
	settleWait = 40 * mgclock.Second
	// calmSpan is how long after a fault's end a failure is still put down to it: a
	// caller tries for about as long.
	calmSpan = 12 * mgclock.Second
)

// run is a run under way.
type run struct {
	seed    uint64
	size    Size
	faults  []Fault
	length  mgclock.Millis
	clock   mgclock.Clock
	started mgclock.Millis
	d       *deployment

	editing  sync.Mutex
	platform sync.Mutex
	engines  map[string]*sync.Mutex

	mu       sync.Mutex
	lives    map[string]int
	evidence evidence
	spans    []span
	gaps     []gap
	cordons  []cordonLook
	findings []Finding
}

// cordonLook is what a zone's engines began while it was cordoned.
type cordonLook struct {
	zone      string
	begun     int // generations
	from, end mgclock.Millis
}

// span is the time of a fault, from the run's start.
type span struct {
	fault     Fault
	from, end mgclock.Millis
}

// gap is a long time between two tokens of an answer.
type gap struct {
	at, span mgclock.Millis
}

func (r *run) now() mgclock.Millis { return r.clock.Now() - r.started }

func (r *run) life(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lives[name]
}

// newLife counts a process's lives. It is called before and after a restart:
// what is seen meanwhile may be of either.
func (r *run) newLife(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lives[name]++
}

func (r *run) gap(at, long mgclock.Millis) {
	if long < longGap {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gaps = append(r.gaps, gap{
		at:   at,
		span: long,
	})
}

// play plays the schedule over the load and returns what was found.
func (r *run) play(ctx context.Context, binary, folder string) error {
	d, err := newDeployment(ctx, binary, folder, r.size)
	if err != nil {
		return err
	}
	defer d.close()
	r.d = d
	r.lives = map[string]int{}
	r.engines = map[string]*sync.Mutex{}
	for _, name := range d.names.engines {
		r.engines[name] = &sync.Mutex{}
	}
	r.started = r.clock.Now()
	loadCtx, endLoad := context.WithCancel(ctx)
	defer endLoad()
	var load, harms sync.WaitGroup
	for i := range r.size.Callers {
		load.Go(func() { r.caller(loadCtx, i) })
	}
	for i := range d.entries {
		load.Go(func() { r.observer(loadCtx, i) })
	}
	for _, f := range r.faults {
		harms.Go(func() { r.schedule(ctx, f) })
	}
	r.clock.Sleep(ctx, r.length)
	harms.Wait()
	r.settle(ctx)
	endLoad()
	load.Wait()
	return r.judge()
}

// schedule waits for a fault's time and does it.
func (r *run) schedule(ctx context.Context, f Fault) {
	if !r.clock.Sleep(ctx, f.At-r.now()) {
		return
	}
	s := span{
		fault: f,
		from:  r.now(),
	}
	err := r.harm(ctx, f)
	s.end = r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spans = append(r.spans, s)
	if err != nil {
		r.findings = append(r.findings, finding("the run itself", "%v: %v", f, err))
	}
}

// settle waits until the last version is in force at each entry, and checks the
// key that was taken away.
func (r *run) settle(ctx context.Context) {
	for i, base := range r.d.entries {
		last := 0
		there := until(ctx, settleWait.Duration(), func() bool {
			version, ok := markAt(ctx, fresh, base, firstKey)
			if ok {
				last = version
			}
			return ok && version == r.d.version
		})
		if !there {
			r.find(inForce, "%s has version %d and not %d after %d ms: %s", r.d.names.entries[i], last, r.d.version, settleWait, r.d.processes[r.d.names.entries[i]].Log())
			continue
		}
		want := http.StatusOK
		if r.d.revoked {
			want = http.StatusUnauthorized
		}
		if code, _ := get(ctx, base+"/v1/models", secondKey); code != want {
			r.find(revokedKey, "%s answers %d and not %d to the second key", r.d.names.entries[i], code, want)
		}
	}
}

func (r *run) find(promise, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.findings = append(r.findings, finding(promise, format, args...))
}

// judge compares what callers got with what the stand-ins remember.
func (r *run) judge() error {
	for _, engine := range r.d.names.engines {
		var counts mgstandin.EngineCounts
		if err := r.d.counts(engine, &counts); err != nil {
			return err
		}
		r.evidence.merge(counts)
	}
	var counts mgstandin.ServiceCounts
	if err := r.d.counts(service, &counts); err != nil {
		return err
	}
	r.evidence.runs = counts.Runs
	r.findings = append(r.findings, r.evidence.check()...)
	r.findings = append(r.findings, r.causeless()...)
	r.findings = append(r.findings, r.breached()...)
	r.findings = append(r.findings, r.endedByPrompt()...)
	return nil
}

// breached looks for work that a cordoned zone was given by processes that could know.
func (r *run) breached() []Finding {
	var found []Finding
	for _, c := range r.cordons {
		excused := slices.ContainsFunc(r.spans, func(s span) bool {
			return s.fault.hides() && s.from <= c.end && c.from <= s.end+cordonWait
		})
		if c.begun > 0 && !excused {
			found = append(found, finding(cordonKept, "%d generations began in zone %s at %d to %d ms", c.begun, c.zone, c.from, c.end))
		}
	}
	return found
}

// causeless looks for answers that failed though nothing was harmed, or nothing
// but what answers must outlast.
func (r *run) causeless() []Finding {
	var found []Finding
	for _, a := range r.evidence.reports {
		if a.err == nil {
			continue
		}
		near := r.near(a)
		switch {
		case len(near) == 0:
			found = append(found, finding(noCause, "%s at %d to %d ms: %v", a.prompt, a.began, a.ended, a.err))
		case !slices.ContainsFunc(near, func(s span) bool { return !s.fault.planned() }):
			found = append(found, finding(nothingCut, "%s at %d to %d ms, beside %v: %v", a.prompt, a.began, a.ended, near[0].fault, a.err))
		}
	}
	return found
}

// near returns the faults that may have harmed an answer.
func (r *run) near(a report) []span {
	var list []span
	for _, s := range r.spans {
		if s.from <= a.ended && a.began <= s.end+calmSpan {
			list = append(list, s)
		}
	}
	return list
}

// summary returns the run in a few lines.
func (r *run) summary() string {
	whole, told := 0, 0
	for _, a := range r.evidence.reports {
		if a.err == nil {
			whole++
		} else {
			told++
		}
	}
	booked := 0
	for _, t := range r.evidence.tickets {
		if t.err == nil {
			booked++
		}
	}
	return fmt.Sprintf("seed %d: %d faults, %d answers whole and %d told otherwise, %d of %d tickets booked, %d looks at tables, %d engines ended by a prompt, %d findings",
		r.seed, len(r.faults), whole, told, booked, len(r.evidence.tickets), len(r.evidence.looks), r.evidence.crashes, len(r.findings))
}
