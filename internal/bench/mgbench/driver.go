package mgbench

import (
	"math"
	"slices"
	"strconv"

	"github.com/marjoramgauge/marjoramgauge/internal/bench/mgmodel"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// Client behaviour, in ms unless noted otherwise.
const (
	maxAttempts  = 5       // attempts, roughly what a person makes
	minRetryWait = 500.0   // before a retry, also if the refusal names a shorter wait
	maxRetryWait = 30000.0 // before a retry, also if the refusal names a longer wait
	retryJitter  = 0.25    // fraction of the wait, drawn per request, so that clients don't retry in step
)

// idlePollInterval is the interval in ms at which the gate of an idle engine
// is polled while calls wait.
const idlePollInterval = 20.0

// demandSampleInterval is the interval in ms at which the accounts' demand is
// sampled.
const demandSampleInterval = 500.0

// driver simulates a workload under a policy.
type driver struct {
	events    eventQueue
	workload  *workload
	calls     []*call
	upstreams []*upstream
	router    router
	migrator  *migrator // nil for policies that move no generations
	meter     *meter
	verdicts  []verdict
}

// simulate runs w under p and returns the measurements.
func simulate(w *workload, p policy, seed uint64) *meter {
	d := &driver{
		workload: w,
		meter:    newMeter(w.scenario),
	}
	for i := range w.scenario.Engines {
		d.upstreams = append(d.upstreams, &upstream{
			index:  i,
			engine: mgmodel.New(w.scenario.Model),
		})
	}
	d.router = p.build(w.scenario, d.upstreams, seed)
	if p.moveStrategy != "" {
		d.migrator = newMigrator(d, p.moveStrategy, seed)
		d.router = d.migrator.route
		d.migrator.scheduleAll()
	}
	d.scheduleAll()
	d.events.run()
	return d.meter
}

// scheduleAll schedules all events that are known in advance.
func (d *driver) scheduleAll() {
	s := d.workload.scenario
	d.calls = make([]*call, len(d.workload.requests))
	for i := range d.workload.requests {
		r := &d.workload.requests[i]
		c := &call{
			request: r,
			spec:    s.Services[r.service],
		}
		d.calls[i] = c
		d.events.schedule(r.arrival, func(now float64) { d.arriveCall(now, c) })
	}
	for at := 0.0; at < s.Duration*1000; at += demandSampleInterval {
		d.events.schedule(at, d.meter.sampleDemand)
	}
	d.scheduleFault(s)
}

// scheduleFault schedules the scenario's fault.
func (d *driver) scheduleFault(s ScenarioSpec) {
	from, until := s.Fault.From*s.Duration*1000, s.Fault.Until*s.Duration*1000
	for _, u := range d.upstreams[:s.Fault.Engines] {
		if s.Fault.Speed == 0 {
			d.events.schedule(from, func(now float64) { d.noticeLeaving(now, u) })
			d.events.schedule(from+s.Fault.Notice*1000, func(now float64) { d.reclaim(now, u) })
			continue
		}
		d.events.schedule(from, func(float64) { u.engine.SetSpeed(s.Fault.Speed) })
		d.events.schedule(until, func(float64) { u.engine.SetSpeed(1) })
	}
}

// toClock converts a time in ms to the clock type that the policies use.
func toClock(at float64) mgclock.Millis { return mgclock.Millis(at) }

// arriveCall handles the first attempt of a call.
func (d *driver) arriveCall(now float64, c *call) {
	d.meter.arrive(c)
	d.events.schedule(c.deadline, func(at float64) { d.expire(at, c) })
	d.routeCall(now, c)
}

// routeCall sends a call to the upstream that the policy chooses.
func (d *driver) routeCall(now float64, c *call) {
	if c.state != atClient {
		return
	}
	c.attempts++
	if d.migrator.addToWaitingList(now, c) {
		return
	}
	u, problem := d.router(toClock(now), c)
	if problem != nil {
		d.refuseCall(now, c, problem)
		return
	}
	d.submit(now, c, u)
}

// submit passes a call to the gate of an upstream.
func (d *driver) submit(now float64, c *call, u *upstream) {
	if c.state != atClient || u.isGone {
		return
	}
	d.attach(c, u)
	c.state = queued
	if u.gate.submit != nil {
		if problem := u.gate.submit(toClock(now), c); problem != nil {
			d.detach(c)
			d.refuseCall(now, c, problem)
			return
		}
	}
	d.scheduleStep(now, u)
}

func (d *driver) attach(c *call, u *upstream) {
	c.upstream = u
	u.calls = append(u.calls, c)
	d.migrator.countCall(c, 1)
}

func (d *driver) detach(c *call) {
	u := c.upstream
	d.migrator.countCall(c, -1)
	i := slices.Index(u.calls, c)
	u.calls = slices.Delete(u.calls, i, i+1)
	c.upstream = nil
}

// refuseCall refuses a call with the outcome "not run". The client retries at
// the time that the refusal names, unless it has used up its attempts or the
// retry would come after its deadline.
func (d *driver) refuseCall(now float64, c *call, problem *mgproblem.Problem) {
	c.state = atClient
	retryWait := min(max(float64(problem.RetryAfter()), minRetryWait), maxRetryWait)
	retryWait *= 1 + retryJitter*c.jitter
	retries := problem.RetryAfter() > 0 && c.attempts < maxAttempts && now+retryWait < c.deadline
	d.meter.refuse(now, c, retries)
	if !retries {
		c.state = ended
		return
	}
	d.events.schedule(now+retryWait, func(at float64) { d.routeCall(at, c) })
}

// expire handles a client that hangs up at its deadline.
func (d *driver) expire(now float64, c *call) {
	if c.state == ended {
		return
	}
	d.meter.expire(now, c)
	d.migrator.removeWaiting(c)
	d.removeFromUpstream(now, c)
	c.state = ended
}

// removeFromUpstream removes a call from its upstream, if it has one.
func (d *driver) removeFromUpstream(now float64, c *call) {
	u := c.upstream
	if u == nil {
		return
	}
	if u.gate.withdraw != nil {
		u.gate.withdraw(toClock(now), c)
	}
	if c.state == running {
		u.engine.Cancel(c.sequence.ID)
	}
	d.detach(c)
}

// noticeLeaving marks an upstream as leaving. Its queued calls are routed
// elsewhere.
func (d *driver) noticeLeaving(now float64, u *upstream) {
	u.isLeaving = true
	for _, c := range slices.Clone(u.calls) {
		if c.state == queued {
			d.rerouteCall(now, c)
		}
	}
}

// reclaim removes an upstream. Its calls are routed elsewhere, where running
// generations start over.
func (d *driver) reclaim(now float64, u *upstream) {
	for _, c := range slices.Clone(u.calls) {
		d.meter.countLost(now, c)
		d.rerouteCall(now, c)
	}
	u.isGone = true
}

// rerouteCall routes a call again at once, from its beginning and without
// counting an attempt or making the client wait.
func (d *driver) rerouteCall(now float64, c *call) {
	d.removeFromUpstream(now, c)
	d.meter.requeue(c)
	c.state = atClient
	c.produced = 0
	c.lastTokenAt = 0
	c.attempts--
	d.routeCall(now, c)
}

// scheduleStep schedules a step of an idle upstream.
func (d *driver) scheduleStep(now float64, u *upstream) {
	if !u.isStepScheduled {
		u.isStepScheduled = true
		d.events.schedule(now, func(at float64) { d.step(at, u) })
	}
}

// step polls the gate and runs a step of the engine.
func (d *driver) step(now float64, u *upstream) {
	u.isStepScheduled = false
	if u.isGone {
		return
	}
	d.applyVerdicts(now, u)
	r := u.engine.Step()
	for _, id := range r.Preempted() {
		d.preempt(now, u, d.callByID(id))
	}
	switch {
	case r.Duration() > 0:
		u.isStepScheduled = true
		d.events.schedule(now+r.Duration(), func(at float64) { d.deliver(at, u, r) })
	case len(u.calls) > 0:
		u.isStepScheduled = true
		d.events.schedule(now+idlePollInterval, func(at float64) { d.step(at, u) })
	}
}

// callByID returns the call of a sequence ID.
func (d *driver) callByID(id string) *call {
	i, err := strconv.Atoi(id)
	if err != nil {
		panic("mgbench: unknown sequence: " + id)
	}
	return d.calls[i]
}

// applyVerdicts polls the gate and applies its verdicts.
func (d *driver) applyVerdicts(now float64, u *upstream) {
	d.verdicts = u.gate.poll(toClock(now), d.verdicts[:0])
	for _, v := range d.verdicts {
		if v.problem != nil {
			d.detach(v.call)
			d.refuseCall(now, v.call, v.problem)
			continue
		}
		d.start(now, u, v.call)
	}
}

// start adds a call to u's engine, also one that was queued at another
// upstream.
func (d *driver) start(now float64, u *upstream, c *call) {
	if c.upstream != u {
		d.detach(c)
		d.attach(c, u)
	}
	c.state = running
	d.meter.start(now, c)
	sequence := c.sequence
	if u.gate.priority != nil {
		sequence.Priority = u.gate.priority(c)
	}
	if !u.engine.Add(sequence) {
		panic("mgbench: the engine model refuses sequence " + c.sequence.ID)
	}
}

// preempt records the preemption of a running call and reports it to the gate.
func (d *driver) preempt(now float64, u *upstream, c *call) {
	d.meter.preempt(c)
	if u.gate.preempted != nil {
		u.gate.preempted(toClock(now), c)
	}
}

// deliver processes the tokens and the finished sequences of a step when the
// step ends. It skips calls that were removed during the step.
func (d *driver) deliver(now float64, u *upstream, r mgmodel.Result) {
	for _, token := range r.Tokens() {
		c := d.callByID(token.ID())
		if c.upstream != u || c.state != running {
			continue
		}
		d.migrator.countPromptRead(c)
		c.produced = token.Seq()
		d.meter.token(now, c)
		if u.gate.progress != nil {
			u.gate.progress(toClock(now), c)
		}
	}
	for _, id := range r.Finished() {
		c := d.callByID(id)
		if c.upstream != u || c.state != running {
			continue
		}
		d.finish(now, c)
	}
	d.step(now, u)
}

// finish ends a call whose answer is complete.
func (d *driver) finish(now float64, c *call) {
	if c.produced != min(c.sequence.Output, d.maxOutput(c)) {
		panic("mgbench: answer of unexpected length: " + c.sequence.ID)
	}
	d.meter.finish(now, c)
	if f := c.upstream.gate.finish; f != nil {
		f(toClock(now), c)
	}
	d.detach(c)
	c.state = ended
}

// maxOutput returns the maximum output of c that fits into memory.
func (d *driver) maxOutput(c *call) int {
	return c.upstream.engine.Spec().Memory - c.sequence.Prompt
}

// openGap returns the time since c's latest token, or 0 before the first.
func (c *call) openGap(now float64) float64 {
	if c.lastTokenAt == 0 {
		return 0
	}
	return math.Max(now-c.lastTokenAt, 0)
}
