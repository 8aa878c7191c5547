package mgbench

import (
	"fmt"
	"slices"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// fifo is the gate of the baselines: it starts calls in order of arrival while
// an admission rule on memory holds for the call at the head of the queue.
type fifo struct {
	upstream *upstream
	canAdmit func(c *call, pending int) bool
	queue    []*call
	reserved int // prompts and maximum outputs of the running calls, tokens
}

// gate returns f as a gate.
func (f *fifo) gate() gate {
	return gate{
		submit:   f.submit,
		poll:     f.poll,
		finish:   f.remove,
		withdraw: f.remove,
	}
}

func (f *fifo) submit(_ mgclock.Millis, c *call) *mgproblem.Problem {
	f.queue = append(f.queue, c)
	return nil
}

// poll starts calls from the head of the queue. Calls that the engine
// preempted are served first, since they are at the head of the engine's own
// queue.
func (f *fifo) poll(_ mgclock.Millis, dst []verdict) []verdict {
	if f.upstream.engine.Waiting() > 0 {
		return dst
	}
	freeBatch := f.upstream.engine.Spec().MaxBatch - f.upstream.engine.Running()
	pending := 0
	for len(f.queue) > 0 && freeBatch > 0 && f.mayStart(pending) {
		c := f.queue[0]
		f.queue = f.queue[1:]
		f.reserved += c.maxMemory()
		pending += c.sequence.Prompt
		freeBatch--
		dst = append(dst, verdict{
			call: c,
		})
	}
	return dst
}

// mayStart applies the admission rule to the head of the queue. An idle engine
// admits the head in any case; otherwise a call larger than the rule's share
// of memory would wait forever.
func (f *fifo) mayStart(pending int) bool {
	if f.upstream.engine.Running() == 0 && pending == 0 {
		return true
	}
	return f.canAdmit(f.queue[0], pending)
}

// remove deletes a call that finished or was withdrawn.
func (f *fifo) remove(_ mgclock.Millis, c *call) {
	if i := slices.Index(f.queue, c); i >= 0 {
		f.queue = slices.Delete(f.queue, i, i+1)
		return
	}
	f.reserved -= c.maxMemory()
}

// maxMemory returns the memory that c takes at its maximum length.
func (c *call) maxMemory() int { return c.sequence.Prompt + c.spec.Output.Limit }

// fifoPolicy returns a policy of least-connections routing and fifo gates.
// pending is the number of prompt tokens of the calls that were started in the
// same poll.
func fifoPolicy(name, text string, fits func(f *fifo, c *call, pending int) bool) policy {
	return policy{
		name:        name,
		description: text,
		build: func(_ ScenarioSpec, us []*upstream, _ uint64) router {
			for _, u := range us {
				f := &fifo{
					upstream: u,
				}
				f.canAdmit = func(c *call, pending int) bool { return fits(f, c, pending) }
				u.gate = f.gate()
			}
			return leastConnections(us)
		},
	}
}

// simplePolicy admits a call if its prompt fits into free memory now.
func simplePolicy() policy {
	return fifoPolicy("simple", "least connections, FIFO, admit while it fits now",
		func(f *fifo, c *call, pending int) bool {
			return f.upstream.engine.Free()-pending > c.sequence.Prompt
		})
}

// reservePolicy admits a call if the maximum lengths of all running calls and
// its own fit into memory.
func reservePolicy() policy {
	return fifoPolicy("reserve", "least connections, FIFO, the maximum length reserved",
		func(f *fifo, c *call, _ int) bool {
			return f.reserved+c.maxMemory() <= f.upstream.engine.Spec().Memory
		})
}

// markPolicy admits a call if a percentage of memory stays free.
func markPolicy(percent int) policy {
	return fifoPolicy(fmt.Sprintf("mark%d", percent),
		fmt.Sprintf("least connections, FIFO, admit while %d %% of memory stays free", percent),
		func(f *fifo, c *call, pending int) bool {
			e := f.upstream.engine
			return 100*(e.Free()-pending-c.sequence.Prompt) >= percent*e.Spec().Memory
		})
}
