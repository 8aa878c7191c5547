package mgroom

import (
	"cmp"
	"slices"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgload"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// reportDelay is how long a place that was given counts beside what is seen of
	// the upstream: until the entry that got it has told of its request, which it
	// does five times a second.
	reportDelay = 250 * mgclock.Millis(1)
	// rampWindow is the time in which a cold upstream is given Place.Ramp requests.
	rampWindow = mgclock.Second
	// maxOvertakes is how many smaller requests may go before one that fits nowhere.
	maxOvertakes = 4
	// minRetry and retryMax bound the time that a request which is given up is told
	// to stay away: a request that comes back sooner meets the same line, and
	// callers stay away for a third of their time at most, 2 s for a note.
	minRetry = mgclock.Second
	maxRetry = 5 * mgclock.Second
	// maxReadWaitMs is the longest time for the prompts before it that a request is sent
	// into, ms: one prompt. A request that waits at an upstream has its turn there
	// whoever else comes; in the line, those that can still be on time go first.
	// What is seen of an upstream is 200 ms old, so that it doesn't run dry.
	maxReadWaitMs = 400.0
)

// A Wait is a request that waits for a place.
type Wait struct {
	Name    string
	Account string         // whose request it is
	Need    int            // tokens of memory that it takes
	Made    int            // tokens that it will make, as is expected
	Span    mgclock.Millis // for which it takes them
	Due     mgclock.Millis // when it must have a place for its answer to begin on time
	Came    mgclock.Millis
	End     mgclock.Millis // when it is given up unless it has a place
}

// work returns what the request takes, in tokens times ms.
func (w Wait) work() int64 { return int64(w.Need) * int64(max(w.Span, 1)) }

// A Place is an upstream as it is seen now.
type Place struct {
	Name string
	Cost float64 // of a request there, ms; see mgload.Cost
	Slow float64 // what comes to that for each token that is made, ms
	Free int     // tokens of memory that nothing takes
	// Pending is the prompt tokens that it has to read first.
	Pending int
	// Ramp is the most requests that it may be given in a second while it is cold,
	// and 0 while it isn't.
	Ramp int
	// Rate is the requests a second that it takes from all processes, where it is Limited,
	// and Permits how many of them may be given now.
	Rate         float64
	Limited      bool
	Permits      int
	Givers       int // processes that give places at it
	recentGrants int // requests that it was given in the last second
}

// canTake reports whether a request can be sent there: there is memory for it, its prompt
// is read soon, and the upstream bears one more where it is cold.
func (p *Place) canTake(w Wait) bool {
	if p.Ramp > 0 && p.recentGrants >= p.Ramp {
		return false
	}
	if p.Limited && p.Permits < 1 {
		return false
	}
	return p.Free >= w.Need && float64(p.Pending)/mgload.ReadRate <= maxReadWaitMs
}

// A Grant gives a request its place, or gives it up.
type Grant struct {
	Name  string
	Place string         // empty where the request is given up
	Retry mgclock.Millis // after which there may be room for it again, then
}

// assignment is a place that was assignment and may not show in what is seen yet.
type assignment struct {
	tokens int
	at     mgclock.Millis
}

// A Room is the line of one service. The zero Room is empty; one goroutine at a
// time uses it.
type Room struct {
	waiting     []Wait
	assignments map[string][]assignment // by place
	grantRate   grantRate
	shares      shares
}

// Len returns the number of requests that wait.
func (r *Room) Len() int { return len(r.waiting) }

// A State is how a line stands at a time.
type State struct {
	Waiting int
	Late    int            // of these, those that can't begin on time any more
	Age     mgclock.Millis // since the oldest of them came
}

// State returns how the line stands.
func (r *Room) State(now mgclock.Millis) State {
	s := State{
		Waiting: len(r.waiting),
	}
	for _, w := range r.waiting {
		if now > w.Due {
			s.Late++
		}
		s.Age = max(s.Age, now-w.Came)
	}
	return s
}

// Add has a request wait, unless it does already.
func (r *Room) Add(w Wait) {
	if !slices.ContainsFunc(r.waiting, func(other Wait) bool { return other.Name == w.Name }) {
		r.waiting = append(r.waiting, w)
	}
}

// Drop forgets a request that waits no more.
func (r *Room) Drop(name string) {
	r.waiting = slices.DeleteFunc(r.waiting, func(w Wait) bool { return w.Name == name })
}

// Look gives what can be given now. It changes places: each grant takes its part.
func (r *Room) Look(now mgclock.Millis, places []Place) []Grant {
	if len(r.waiting) == 0 {
		return nil
	}
	r.applyRecent(now, places)
	over := r.shares.overUsers(now, r.waiting)
	slices.SortStableFunc(r.waiting, func(a, b Wait) int { return compareWaits(now, over, a, b) })
	rate, isLimited := limitedRate(places)
	var grants []Grant
	stillWaiting := r.waiting[:0]
	for _, w := range r.waiting {
		place := cheapest(places, w)
		switch {
		case place != nil && len(stillWaiting) <= maxOvertakes:
			r.assign(now, w, place)
			grants = append(grants, Grant{
				Name:  w.Name,
				Place: place.Name,
			})
		case now >= w.End:
			grants = append(grants, Grant{
				Name:  w.Name,
				Retry: r.retryAfter(now),
			})
		case isLimited && now+timeToTurn(len(stillWaiting), rate) > w.End:
			grants = append(grants, Grant{
				Name:  w.Name,
				Retry: min(max(timeToTurn(len(stillWaiting), rate), minRetry), maxRetry),
			})
		default:
			stillWaiting = append(stillWaiting, w)
		}
	}
	r.waiting = stillWaiting
	return grants
}

// limitedRate returns the requests a second that the places take together, or false where
// one takes any number.
func limitedRate(places []Place) (rate float64, isLimited bool) {
	for _, p := range places {
		if !p.Limited {
			return 0, false
		}
		rate += p.Rate
	}
	return rate, rate > 0
}

// timeToTurn returns the time until a request has its turn that so many others go before.
func timeToTurn(before int, rate float64) mgclock.Millis {
	return mgclock.Millis(float64(before+1) / rate * float64(mgclock.Second))
}

// Close gives up all that wait, where no upstream of the service may be given work: a
// caller that is told so at once can come back in time, one that waits can't.
func (r *Room) Close() []Grant {
	grants := make([]Grant, 0, len(r.waiting))
	for _, w := range r.waiting {
		grants = append(grants, Grant{
			Name:  w.Name,
			Retry: maxRetry,
		})
	}
	r.waiting = nil
	return grants
}

// retryAfter returns when what waits now will have its places, by the memory that was
// given lately.
func (r *Room) retryAfter(now mgclock.Millis) mgclock.Millis {
	need := 0
	for _, w := range r.waiting {
		need += w.Need
	}
	return min(max(r.grantRate.timeToGrant(now, need), minRetry), maxRetry)
}

// compareWaits sorts the requests: those that can be on time before those that can't;
// the former by size, which counts more for an account that has had more than its
// share, the latter as they came.
func compareWaits(now mgclock.Millis, over map[string]bool, a, b Wait) int {
	lateA, lateB := now > a.Due, now > b.Due
	switch {
	case lateA && lateB:
		return cmp.Compare(a.Came, b.Came)
	case lateA:
		return 1
	case lateB:
		return -1
	default:
		return cmp.Compare(weightedWork(over, a), weightedWork(over, b))
	}
}

// weightedWork returns what a request takes, as its place in the line goes by it.
func weightedWork(over map[string]bool, w Wait) int64 {
	if over[w.Account] {
		return overShareWeight * w.work()
	}
	return w.work()
}

// cheapest returns the cheapest place with room for a request, or nil.
func cheapest(places []Place, w Wait) *Place {
	var best *Place
	minCost := 0.0
	for i := range places {
		p := &places[i]
		cost := p.Cost + p.Slow*float64(w.Made)
		if p.canTake(w) && (best == nil || cost < minCost) {
			best, minCost = p, cost
		}
	}
	return best
}

func (r *Room) assign(now mgclock.Millis, w Wait, place *Place) {
	if r.assignments == nil {
		r.assignments = map[string][]assignment{}
	}
	g := assignment{
		tokens: w.Need,
		at:     now,
	}
	r.assignments[place.Name] = append(r.assignments[place.Name], g)
	place.reserve(g)
	place.recentGrants++
	place.Permits--
	r.grantRate.add(now, w.Need)
	r.shares.add(now, w.Account, w.Need)
}

// reserve counts a request that was given the place, which the reports of the place
// don't show yet.
func (p *Place) reserve(g assignment) {
	p.Free -= g.tokens
	p.Pending += g.tokens // and some of the output: the prompt alone isn't known here
	p.Cost += mgload.RunCost + float64(g.tokens)/mgload.ReadRate
}

// applyRecent takes what was given lately off the places, and counts it.
func (r *Room) applyRecent(now mgclock.Millis, places []Place) {
	for name, list := range r.assignments {
		list = slices.DeleteFunc(list, func(g assignment) bool { return now >= g.at+rampWindow })
		if len(list) == 0 {
			delete(r.assignments, name)
			continue
		}
		r.assignments[name] = list
	}
	for i := range places {
		list := r.assignments[places[i].Name]
		places[i].recentGrants = len(list)
		for _, g := range list {
			if now < g.at+reportDelay {
				places[i].reserve(g)
			}
		}
	}
}
