package mgscheduler_test

import (
	"fmt"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgscheduler"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// upstream is a fake upstream that produces one token per running answer and step.
type upstream struct {
	scheduler *mgscheduler.Scheduler
	now       mgclock.Millis
	step      mgclock.Millis
	running   []*call
	calls     map[string]*call
	decisions []mgscheduler.Decision
}

// call is a request with what its caller received.
type call struct {
	request      mgscheduler.Request
	length       int
	produced     int
	isStarted    bool
	firstTokenAt mgclock.Millis // when the first token came
	endedAt      mgclock.Millis // when the whole answer had come
	problem      *mgproblem.Problem
	problemAt    mgclock.Millis // when the problem came
}

func newUpstream(spec mgscheduler.Spec) *upstream {
	return &upstream{
		scheduler: mgscheduler.New(spec),
		step:      20,
		calls:     map[string]*call{},
	}
}

// sendPrompt submits a request of a new account, with a prompt of some tokens and no
// deadline.
func (u *upstream) sendPrompt(service string, prompt, length int) *call {
	id := fmt.Sprint(len(u.calls))
	c := &call{
		length: length,
		request: mgscheduler.Request{
			ID:      id,
			Account: "account" + id,
			Service: service,
			Prompt:  prompt,
		},
	}
	u.submit(c)
	return c
}

// send submits a request of an account's service.
func (u *upstream) send(account, service string, length int, allowed mgclock.Millis) *call {
	c := &call{
		length: length,
		request: mgscheduler.Request{
			ID:      fmt.Sprint(len(u.calls)),
			Account: account,
			Service: service,
			Prompt:  100,
		},
	}
	if allowed > 0 {
		c.request.Deadline = u.now + allowed
	}
	u.submit(c)
	return c
}

func (u *upstream) submit(c *call) {
	u.calls[c.request.ID] = c
	c.problem = u.scheduler.Submit(u.now, c.request)
	c.problemAt = u.now
	u.poll()
}

func (u *upstream) poll() {
	u.decisions = u.scheduler.Poll(u.now, u.decisions[:0])
	for _, d := range u.decisions {
		c := u.calls[d.ID]
		if d.GiveUp != nil {
			c.problem = d.GiveUp
			c.problemAt = u.now
			continue
		}
		c.isStarted = true
		u.running = append(u.running, c)
	}
}

// runUntil runs steps until a time, and polls in between when the scheduler asks for it.
func (u *upstream) runUntil(until mgclock.Millis) {
	for next := u.now + u.step; next <= until; next += u.step {
		for at := u.scheduler.NextWake(u.now); at > 0 && at < next; at = u.scheduler.NextWake(u.now) {
			u.now = max(u.now, at)
			u.poll()
		}
		u.now = next
		u.produce()
		u.poll()
	}
}

func (u *upstream) produce() {
	kept := u.running[:0]
	for _, c := range u.running {
		c.produced++
		u.scheduler.Progress(u.now, c.request.ID, c.produced)
		if c.produced == 1 {
			c.firstTokenAt = u.now
		}
		if c.produced < c.length {
			kept = append(kept, c)
			continue
		}
		c.endedAt = u.now
		u.scheduler.Finish(u.now, c.request.ID)
	}
	u.running = kept
}
