package mgbench

import (
	"fmt"
	"slices"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// fifo is the gate of the baselines: first come, first served, while a rule on
// memory holds for the call at the head.
type fifo struct {
	upstream *upstream
	canAdmit func(c *call, pending int) bool
	queue    []*call
	reserved int // prompt and maximum of the running calls, tokens
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

// poll starts calls from the head. Calls that the engine preempted go first,
// as they do in its own waiting line.
func (f *fifo) poll(_ mgclock.Millis, dst []verdict) []verdict {
	if f.upstream.engine.Waiting() > 0 {
		return dst
	}
	freeBatch := f.upstream.engine.Spec().Batch - f.upstream.engine.Running()
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

// mayStart applies the rule to the head. An idle engine takes it in any case,
// or a call larger than the rule's share of memory would wait for ever.
func (f *fifo) mayStart(pending int) bool {
	if f.upstream.engine.Running() == 0 && pending == 0 {
		return true
	}
	return f.canAdmit(f.queue[0], pending)
}

// leave forgets a call that ended or was withdrawn.
func (f *fifo) remove(_ mgclock.Millis, c *call) {
	if i := slices.Index(f.queue, c); i >= 0 {
		f.queue = slices.Delete(f.queue, i, i+1)
		return
	}
	f.reserved -= c.maxMemory()
}

// most returns the memory that c takes at its maximum length.
func (c *call) maxMemory() int { return c.sequence.Prompt + c.spec.Output.Limit }

// fifoPolicy returns a policy of least connections and fifo gates. The rule is
// told the tokens that calls just started will take.
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

// simplePolicy admits while the prompt fits now.
func simplePolicy() policy {
	return fifoPolicy("simple", "least connections, FIFO, admit while it fits now",
		func(f *fifo, c *call, pending int) bool {
			return f.upstream.engine.Free()-pending > c.sequence.Prompt
		})
}

// reservePolicy admits while the maximum lengths of all fit.
func reservePolicy() policy {
	return fifoPolicy("reserve", "least connections, FIFO, the maximum length reserved",
		func(f *fifo, c *call, _ int) bool {
			return f.reserved+c.maxMemory() <= f.upstream.engine.Spec().Memory
		})
}

// markPolicy admits while a share of memory stays free.
func markPolicy(percent int) policy {
	return fifoPolicy(fmt.Sprintf("mark%d", percent),
		fmt.Sprintf("least connections, FIFO, admit while %d %% of memory stays free", percent),
		func(f *fifo, c *call, pending int) bool {
			e := f.upstream.engine
			return 100*(e.Free()-pending-c.sequence.Prompt) >= percent*e.Spec().Memory
		})
}
