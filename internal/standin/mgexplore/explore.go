package mgexplore

import (
	"fmt"
	"math/rand/v2"
)

// A Chooser answers a model's questions within one schedule.
type Chooser struct {
	trail  []choice
	next   int
	replay int
	seen   map[string]int
	random *rand.Rand
}

type choice struct {
	pick, of int
}

// Choose returns a number from 0 to n-1.
func (c *Chooser) Choose(n int) int {
	if c.next == len(c.trail) {
		pick := 0
		if c.random != nil {
			pick = c.random.IntN(n)
		}
		c.trail = append(c.trail, choice{
			pick: pick,
			of:   n,
		})
	}
	c.next++
	return c.trail[c.next-1].pick
}

// Seen notes the model's state by its name and reports whether the schedule can end here,
// because all that follows was tried from an earlier step.
func (c *Chooser) Seen(step int, name func() string) bool {
	if c.random == nil && c.next < c.replay {
		return false
	}
	state := name()
	first, found := c.seen[state]
	if !found || step < first {
		c.seen[state] = step
	}
	return c.random == nil && found && first <= step
}

// A Report tells what was tried.
type Report struct {
	schedules int
	states    int
	whole     bool
	violation error
}

// Schedules returns how many schedules were run.
func (r Report) Schedules() int { return r.schedules }

// States returns how many different states they passed.
func (r Report) States() int { return r.states }

// Whole reports whether every schedule of the model was tried.
func (r Report) Whole() bool { return r.whole }

// Violation returns what the model found, with the schedule, or nil.
func (r Report) Violation() error { return r.violation }

// String returns the counts.
func (r Report) String() string {
	return fmt.Sprintf("%d schedules, %d states, all tried: %t, violation: %v", r.schedules, r.states, r.whole, r.violation)
}

// Exhaust runs the model through every schedule, or until bound schedules were
// run or one violates.
func Exhaust(bound int, model func(*Chooser) error) Report {
	report := Report{}
	seen := make(map[string]int)
	var trail []choice
	for report.schedules < bound {
		c := &Chooser{
			trail:  trail,
			replay: len(trail),
			seen:   seen,
		}
		report.run(c, model)
		if report.violation != nil {
			break
		}
		trail = advance(c.trail)
		if len(trail) == 0 {
			report.whole = true
			break
		}
	}
	report.states = len(seen)
	return report
}

// Seeds runs the model through n random schedules, until one violates.
func Seeds(seed uint64, n int, model func(*Chooser) error) Report {
	report := Report{}
	seen := make(map[string]int)
	for i := range n {
		report.run(&Chooser{
			seen:   seen,
			random: rand.New(rand.NewPCG(seed, uint64(i))),
		}, model)
		if report.violation != nil {
			break
		}
	}
	report.states = len(seen)
	return report
}

func (r *Report) run(c *Chooser, model func(*Chooser) error) {
	r.schedules++
	if err := model(c); err != nil {
		r.violation = fmt.Errorf("schedule %d, choices %v: %w", r.schedules, c.picks(), err)
	}
}

func (c *Chooser) picks() []int {
	picks := make([]int, 0, len(c.trail))
	for _, each := range c.trail {
		picks = append(picks, each.pick)
	}
	return picks
}

// advance returns the trail of the next schedule, or none after the last.
func advance(trail []choice) []choice {
	for len(trail) > 0 {
		last := &trail[len(trail)-1]
		if last.pick+1 < last.of {
			last.pick++
			return trail
		}
		trail = trail[:len(trail)-1]
	}
	return nil
}
