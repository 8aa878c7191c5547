package mgmigration

import (
	"sync"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgload"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// slotTimeout ends a turn that its holder doesn't give back: the holder died, or
	// its copy is stuck. A copy of 4,000 tokens takes 220 ms in a zone and 440
	// between zones; moves that shared a destination's link took up to 1.4 s, and
	// a turn that is given to the next meanwhile makes two of them.
	slotTimeout = 1200 * mgclock.Millis(1)
	// requestTTL is how long a run that asked is taken to be waiting. Its entry
	// asks again within 150 ms.
	requestTTL = 400 * mgclock.Millis(1)
	// grantWindow is how long a place counts as given to a run: until the run
	// shows in what entries see of the place.
	grantWindow = 2 * mgclock.Second
)

// An Ask asks for a turn at moving a run away from its source.
type Ask struct {
	Source string
	Run    string
	Worth  float64 // of moving it now, see Run.Worth
	Places []Spot  // where it may go
}

// A Spot is an upstream that a run may go to, the cost of that in ms (see
// mgload.Cost), and the time in ms that the copy takes the source's link.
type Spot struct {
	Name string
	Cost float64
	Span float64
}

// Turns gives the runs of each source their turns, one at a time, and tells
// them where to go. One entry does so for a service, and all others ask it.
//
// Without turns the copies of several entries share the source's link: all take
// as long as all together, and each stopped run waits for the others' copies.
// Without one that knows all the places, entries that see the same numbers send
// their runs to the same engine.
//
// It decides nothing that must be right: an entry that gets no answer moves its
// runs all the same. The zero Turns is ready for use by several goroutines.
type Turns struct {
	mu      sync.Mutex
	sources map[string]*sourceState
	grants  map[string][]mgclock.Millis // by place, when it was given
}

// sourceState is the state of one source.
type sourceState struct {
	holder      string
	destination string
	expires     mgclock.Millis
	waiting     map[string]waiter
}

type waiter struct {
	benefit float64
	expires mgclock.Millis
}

// Ask returns where the run should go now, or false while it is not its turn.
func (t *Turns) Ask(now mgclock.Millis, a Ask) (place string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stateOf(a.Source)
	s.waiting[a.Run] = waiter{
		benefit: a.Worth,
		expires: now + requestTTL,
	}
	if s.holder != "" && s.holder != a.Run && now < s.expires {
		return "", false
	}
	if s.nextRun(now) != a.Run {
		return "", false
	}
	place = t.chooseDestination(now, a)
	if place == "" {
		return "", false
	}
	delete(s.waiting, a.Run)
	s.holder = a.Run
	s.destination = place
	s.expires = now + slotTimeout
	t.grants[place] = append(t.grants[place], now)
	return place, true
}

// End gives a turn back.
func (t *Turns) End(source, run string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.sources[source]
	if s == nil {
		return
	}
	delete(s.waiting, run)
	if s.holder == run {
		s.holder = ""
		s.destination = ""
	}
	if s.holder == "" && len(s.waiting) == 0 {
		delete(t.sources, source)
	}
}

func (t *Turns) stateOf(name string) *sourceState {
	if t.sources == nil {
		t.sources = map[string]*sourceState{}
		t.grants = map[string][]mgclock.Millis{}
	}
	s := t.sources[name]
	if s == nil {
		s = &sourceState{
			waiting: map[string]waiter{},
		}
		t.sources[name] = s
	}
	return s
}

// nextRun returns the waiting run that gains most by its move.
func (s *sourceState) nextRun(now mgclock.Millis) string {
	next, benefit := "", -1.0
	for run, w := range s.waiting {
		if now > w.expires {
			delete(s.waiting, run)
			continue
		}
		if w.benefit > benefit || w.benefit == benefit && run < next {
			next, benefit = run, w.benefit
		}
	}
	return next
}

const (
	// busyDestinationCost is the cost of a place that takes a copy of another source now.
	// The last copy queues behind it while the run stands still, and its caller sees
	// a pause. It outweighs a dozen runs.
	busyDestinationCost = 1500.0
	// copyTimeCost is the cost of each ms that the run's own copy takes: the notice
	// may end before it does. Without it the last run of a source went to another
	// zone for the sake of one run less there, and was cut in the middle of a copy
	// twice as long.
	copyTimeCost = 3.0
)

// chooseDestination returns the cheapest place; among equal ones the first.
func (t *Turns) chooseDestination(now mgclock.Millis, a Ask) string {
	best, minCost := "", 0.0
	// A copy that takes the link for longer holds up all that wait for it, until their
	// source is gone.
	others := float64(len(t.stateOf(a.Source).waiting) - 1)
	for _, spot := range a.Places {
		cost := spot.Cost + mgload.RunCost*float64(t.recentGrants(now, spot.Name)) + (others+copyTimeCost)*spot.Span
		if t.receivesFromOther(now, spot.Name, a.Source) {
			cost += busyDestinationCost
		}
		if best == "" || cost < minCost {
			best, minCost = spot.Name, cost
		}
	}
	return best
}

// recentGrants returns how often a place was given recentGrants.
func (t *Turns) recentGrants(now mgclock.Millis, place string) int {
	kept := t.grants[place][:0]
	for _, at := range t.grants[place] {
		if now < at+grantWindow {
			kept = append(kept, at)
		}
	}
	if len(kept) == 0 {
		delete(t.grants, place)
		return 0
	}
	t.grants[place] = kept
	return len(kept)
}

// receivesFromOther reports whether a place takes a copy of another source now.
func (t *Turns) receivesFromOther(now mgclock.Millis, place, source string) bool {
	for name, s := range t.sources {
		if name != source && s.destination == place && now < s.expires {
			return true
		}
	}
	return false
}
