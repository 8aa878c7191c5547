package mgroom

import (
	"cmp"
	"slices"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgload"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// seenSpan is how long a place that was given counts beside what is seen of
	// the upstream: until the entry that got it has told of its request, which it
	// does five times a second.
	seenSpan = 250 * mgclock.Millis(1)
	// rampSpan is the time in which a cold upstream is given Place.Ramp requests.
	rampSpan = mgclock.Second
	// passes is how many smaller requests may go before one that fits nowhere.
	passes = 4
	// retryMin and retryMax bound the time that a request which is given up is told
	// to stay away: a request that comes back sooner meets the same line, and
	// callers stay away for a third of their time at most, 2 s for a note.
	retryMin = mgclock.Second
	retryMax = 5 * mgclock.Second
	// readLimit is the longest time for the prompts before it that a request is sent
	// into, ms: one prompt. A request that waits at an upstream has its turn there
	// whoever else comes; in the line, those that can still be on time go first.
	// What is seen of an upstream is 200 ms old, so that it doesn't run dry.
	readLimit = 400.0
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
	Rate    float64
	Limited bool
	Permits int
	Givers  int // processes that give places at it
	gave    int // requests that it was given in the last second
}

// room reports whether a request can be sent there: there is memory for it, its prompt
// is read soon, and the upstream bears one more where it is cold.
func (p *Place) room(w Wait) bool {
	if p.Ramp > 0 && p.gave >= p.Ramp {
		return false
	}
	if p.Limited && p.Permits < 1 {
		return false
	}
	return p.Free >= w.Need && float64(p.Pending)/mgload.ReadRate <= readLimit
}

// A Grant gives a request its place, or gives it up.
type Grant struct {
	Name  string
	Place string         // empty where the request is given up
	Retry mgclock.Millis // after which there may be room for it again, then
}

// given is a place that was given and may not show in what is seen yet.
type given struct {
	need int
	at   mgclock.Millis
}

// A Room is the line of one service. The zero Room is empty; one goroutine at a
// time uses it.
type Room struct {
	waits  []Wait
	given  map[string][]given // by place
	pace   pace
	shares shares
}

// Len returns the number of requests that wait.
func (r *Room) Len() int { return len(r.waits) }

// A State is how a line stands at a time.
type State struct {
	Waiting int
	Late    int            // of these, those that can't begin on time any more
	Age     mgclock.Millis // since the oldest of them came
}

// State returns how the line stands.
func (r *Room) State(now mgclock.Millis) State {
	s := State{
		Waiting: len(r.waits),
	}
	for _, w := range r.waits {
		if now > w.Due {
			s.Late++
		}
		s.Age = max(s.Age, now-w.Came)
	}
	return s
}

// Add has a request wait, unless it does already.
func (r *Room) Add(w Wait) {
	if !slices.ContainsFunc(r.waits, func(other Wait) bool { return other.Name == w.Name }) {
		r.waits = append(r.waits, w)
	}
}

// Drop forgets a request that waits no more.
func (r *Room) Drop(name string) {
	r.waits = slices.DeleteFunc(r.waits, func(w Wait) bool { return w.Name == name })
}

// Look gives what can be given now. It changes places: each grant takes its part.
func (r *Room) Look(now mgclock.Millis, places []Place) []Grant {
	if len(r.waits) == 0 {
		return nil
	}
	r.countGiven(now, places)
	over := r.shares.over(now, r.waits)
	slices.SortStableFunc(r.waits, func(a, b Wait) int { return order(now, over, a, b) })
	rate, bound := limitedRate(places)
	var grants []Grant
	kept := r.waits[:0]
	for _, w := range r.waits {
		place := cheapest(places, w)
		switch {
		case place != nil && len(kept) <= passes:
			r.give(now, w, place)
			grants = append(grants, Grant{
				Name:  w.Name,
				Place: place.Name,
			})
		case now >= w.End:
			grants = append(grants, Grant{
				Name:  w.Name,
				Retry: r.retry(now),
			})
		case bound && now+turnSpan(len(kept), rate) > w.End:
			grants = append(grants, Grant{
				Name:  w.Name,
				Retry: min(max(turnSpan(len(kept), rate), retryMin), retryMax),
			})
		default:
			kept = append(kept, w)
		}
	}
	r.waits = kept
	return grants
}

// limitedRate returns the requests a second that the places take together, or false where
// one takes any number.
func limitedRate(places []Place) (rate float64, bound bool) {
	for _, p := range places {
		if !p.Limited {
			return 0, false
		}
		rate += p.Rate
	}
	return rate, rate > 0
}

// turnSpan returns the time until a request has its turn that so many others go before.
func turnSpan(before int, rate float64) mgclock.Millis {
	return mgclock.Millis(float64(before+1) / rate * float64(mgclock.Second))
}

// Close gives up all that wait, where no upstream of the service may be given work: a
// caller that is told so at once can come back in time, one that waits can't.
func (r *Room) Close() []Grant {
	grants := make([]Grant, 0, len(r.waits))
	for _, w := range r.waits {
		grants = append(grants, Grant{
			Name:  w.Name,
			Retry: retryMax,
		})
	}
	r.waits = nil
	return grants
}

// retry returns when what waits now will have its places, by the memory that was
// given lately.
func (r *Room) retry(now mgclock.Millis) mgclock.Millis {
	need := 0
	for _, w := range r.waits {
		need += w.Need
	}
	return min(max(r.pace.span(now, need), retryMin), retryMax)
}

// order sorts the requests: those that can be on time before those that can't;
// the former by size, which counts more for an account that has had more than its
// share, the latter as they came.
func order(now mgclock.Millis, over map[string]bool, a, b Wait) int {
	lateA, lateB := now > a.Due, now > b.Due
	switch {
	case lateA && lateB:
		return cmp.Compare(a.Came, b.Came)
	case lateA:
		return 1
	case lateB:
		return -1
	default:
		return cmp.Compare(weigh(over, a), weigh(over, b))
	}
}

// weigh returns what a request takes, as its place in the line goes by it.
func weigh(over map[string]bool, w Wait) int64 {
	if over[w.Account] {
		return overWeight * w.work()
	}
	return w.work()
}

// cheapest returns the cheapest place with room for a request, or nil.
func cheapest(places []Place, w Wait) *Place {
	var best *Place
	least := 0.0
	for i := range places {
		p := &places[i]
		cost := p.Cost + p.Slow*float64(w.Made)
		if p.room(w) && (best == nil || cost < least) {
			best, least = p, cost
		}
	}
	return best
}

func (r *Room) give(now mgclock.Millis, w Wait, place *Place) {
	if r.given == nil {
		r.given = map[string][]given{}
	}
	g := given{
		need: w.Need,
		at:   now,
	}
	r.given[place.Name] = append(r.given[place.Name], g)
	place.take(g)
	place.gave++
	place.Permits--
	r.pace.count(now, w.Need)
	r.shares.count(now, w.Account, w.Need)
}

// take counts a request that was given the place, which the reports of the place
// don't show yet.
func (p *Place) take(g given) {
	p.Free -= g.need
	p.Pending += g.need // and some of the output: the prompt alone isn't known here
	p.Cost += mgload.RunCost + float64(g.need)/mgload.ReadRate
}

// countGiven takes what was given lately off the places, and counts it.
func (r *Room) countGiven(now mgclock.Millis, places []Place) {
	for name, list := range r.given {
		list = slices.DeleteFunc(list, func(g given) bool { return now >= g.at+rampSpan })
		if len(list) == 0 {
			delete(r.given, name)
			continue
		}
		r.given[name] = list
	}
	for i := range places {
		list := r.given[places[i].Name]
		places[i].gave = len(list)
		for _, g := range list {
			if now < g.at+seenSpan {
				places[i].take(g)
			}
		}
	}
}
