package mgmigration

import (
	"sync"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgload"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// slotTimeout frees a slot that its holder doesn't release because the holder
	// died or its copy is stuck. A copy of 4,000 tokens takes 220 ms in a zone and
	// 440 between zones; moves that shared a destination's link took up to 1.4 s. A
	// timeout during a copy puts two copies on the link.
	slotTimeout = 1200 * mgclock.Millis(1)
	// requestTTL is how long a run counts as waiting after its last request. Its
	// entry repeats the request within 150 ms.
	requestTTL = 400 * mgclock.Millis(1)
	// grantWindow is how long a grant counts against its destination: until the
	// load that the destination reports to entries includes the run.
	grantWindow = 2 * mgclock.Second
)

// A SlotRequest requests the slot to move a run away from its source.
type SlotRequest struct {
	Source       string
	Run          string
	Benefit      float64       // benefit of moving it now, see Run.Benefit
	Destinations []Destination // candidate destinations
}

// A Destination is a candidate destination: the upstream's name, the cost of placing
// the run there in ms (see mgload.Cost), and the time in ms that the copy
// occupies the source's link.
type Destination struct {
	Name     string
	Cost     float64
	CopyTime float64
}

// Slots assigns each source's migration slot to one of its runs at a time, and
// picks that run's destination. For each service one entry does so; all other
// entries send their requests to it.
//
// Without slots the copies of several entries share the source's link: each
// takes as long as all together, and each stopped run waits for the others'
// copies. Without a common choice of destinations, entries that see the same
// loads send their runs to the same engine.
//
// Correctness doesn't depend on it: an entry that gets no reply moves its runs
// all the same. The zero Slots is ready for use by several goroutines.
type Slots struct {
	mu      sync.Mutex
	sources map[string]*sourceState
	grants  map[string][]mgclock.Millis // times of recent grants by destination
}

// sourceState is one source's slot and its waiting list.
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

// Acquire returns the run's destination if the run gets the slot now or keeps
// it, else false. The slot must be free, expired or held by this run, no
// waiting run may have a greater benefit, and there must be a destination. So a
// holder that asks again is refused while a run of greater benefit waits.
func (t *Slots) Acquire(now mgclock.Millis, request SlotRequest) (destination string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stateOf(request.Source)
	s.waiting[request.Run] = waiter{
		benefit: request.Benefit,
		expires: now + requestTTL,
	}
	if s.holder != "" && s.holder != request.Run && now < s.expires {
		return "", false
	}
	if s.nextRun(now) != request.Run {
		return "", false
	}
	destination = t.chooseDestination(now, request)
	if destination == "" {
		return "", false
	}
	delete(s.waiting, request.Run)
	s.holder = request.Run
	s.destination = destination
	s.expires = now + slotTimeout
	t.grants[destination] = append(t.grants[destination], now)
	return destination, true
}

// Release releases the slot if the run holds it, and withdraws the run's request.
func (t *Slots) Release(source, run string) {
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

func (t *Slots) stateOf(name string) *sourceState {
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

// nextRun returns the waiting run with the greatest benefit. Equal ones go by
// name.
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
	// busyDestinationCost is the cost of a destination that receives a copy from
	// another source now. The last copy would queue behind it while the run is
	// stopped, and its caller would see a pause. The cost exceeds the RunCost
	// (mgload) of a dozen runs at a destination.
	busyDestinationCost = 1500.0
	// copyTimeCost is the cost of each ms of the run's own copy: the source may be
	// reclaimed before the copy ends. Without it the last run of a source was sent
	// to another zone because the engine there had one run fewer, and was cut in
	// the middle of a copy twice as long.
	copyTimeCost = 3.0
)

// chooseDestination returns the destination of least cost; among equal ones the
// first.
func (t *Slots) chooseDestination(now mgclock.Millis, request SlotRequest) string {
	best, minCost := "", 0.0
	// A longer copy holds up all runs that wait for the link, and their source may
	// be reclaimed meanwhile.
	others := float64(len(t.stateOf(request.Source).waiting) - 1)
	for _, destination := range request.Destinations {
		cost := destination.Cost + mgload.RunCost*float64(t.recentGrants(now, destination.Name)) + (others+copyTimeCost)*destination.CopyTime
		if t.receivesFromOther(now, destination.Name, request.Source) {
			cost += busyDestinationCost
		}
		if best == "" || cost < minCost {
			best, minCost = destination.Name, cost
		}
	}
	return best
}

// recentGrants returns how many grants a destination got within grantWindow,
// and drops the older ones.
func (t *Slots) recentGrants(now mgclock.Millis, destination string) int {
	kept := t.grants[destination][:0]
	for _, granted := range t.grants[destination] {
		if now < granted+grantWindow {
			kept = append(kept, granted)
		}
	}
	if len(kept) == 0 {
		delete(t.grants, destination)
		return 0
	}
	t.grants[destination] = kept
	return len(kept)
}

// receivesFromOther reports whether a destination receives a copy from another
// source now.
func (t *Slots) receivesFromOther(now mgclock.Millis, destination, source string) bool {
	for name, s := range t.sources {
		if name != source && s.destination == destination && now < s.expires {
			return true
		}
	}
	return false
}
