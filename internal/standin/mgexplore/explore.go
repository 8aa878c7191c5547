package mgexplore

import (
	"fmt"
	"math/rand/v2"
)

// Chooser makes the choices of one schedule.
type Chooser struct {
	choices      []choice
	position     int
	replayLength int
	seen         map[string]int
	rng          *rand.Rand
}

type choice struct {
	picked, optionCount int
}

// Choose returns a number from 0 to n-1. While a schedule is replayed it returns the
// recorded choice.
func (c *Chooser) Choose(n int) int {
	if c.position == len(c.choices) {
		pick := 0
		if c.rng != nil {
			pick = c.rng.IntN(n)
		}
		c.choices = append(c.choices, choice{
			picked:      pick,
			optionCount: n,
		})
	}
	c.position++
	return c.choices[c.position-1].picked
}

// Seen records the model's state under its name and reports whether the schedule can
// end here, because everything that follows was already explored from the same state
// at an earlier or equal step.
func (c *Chooser) Seen(step int, stateName func() string) bool {
	if c.rng == nil && c.position < c.replayLength {
		return false
	}
	state := stateName()
	first, found := c.seen[state]
	if !found || step < first {
		c.seen[state] = step
	}
	return c.rng == nil && found && first <= step
}

// Report summarizes an exploration.
type Report struct {
	schedules  int
	states     int
	isComplete bool
	violation  error
}

// Schedules returns the number of schedules run.
func (r Report) Schedules() int { return r.schedules }

// States returns the number of distinct states reached.
func (r Report) States() int { return r.states }

// Whole reports whether every schedule of the model was explored.
func (r Report) Whole() bool { return r.isComplete }

// Violation returns the error of the model with the schedule that led to it, or nil.
func (r Report) Violation() error { return r.violation }

// String formats the counts and the violation.
func (r Report) String() string {
	return fmt.Sprintf("%d schedules, %d states, all tried: %t, violation: %v", r.schedules, r.states, r.isComplete, r.violation)
}

// Exhaust runs the model through every schedule, until maxSchedules were run or one
// returns an error.
func Exhaust(maxSchedules int, model func(*Chooser) error) Report {
	report := Report{}
	seen := make(map[string]int)
	var choices []choice
	for report.schedules < maxSchedules {
		c := &Chooser{
			choices:      choices,
			replayLength: len(choices),
			seen:         seen,
		}
		report.run(c, model)
		if report.violation != nil {
			break
		}
		choices = nextSchedule(c.choices)
		if len(choices) == 0 {
			report.isComplete = true
			break
		}
	}
	report.states = len(seen)
	return report
}

// Seeds runs the model through n random schedules, until one returns an error.
func Seeds(seed uint64, n int, model func(*Chooser) error) Report {
	report := Report{}
	seen := make(map[string]int)
	for i := range n {
		report.run(&Chooser{
			seen: seen,
			rng:  rand.New(rand.NewPCG(seed, uint64(i))),
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
	picks := make([]int, 0, len(c.choices))
	for _, each := range c.choices {
		picks = append(picks, each.picked)
	}
	return picks
}

// nextSchedule returns the choices to replay for the next schedule in depth-first
// order, or nil after the last.
func nextSchedule(choices []choice) []choice {
	for len(choices) > 0 {
		last := &choices[len(choices)-1]
		if last.picked+1 < last.optionCount {
			last.picked++
			return choices
		}
		choices = choices[:len(choices)-1]
	}
	return nil
}
