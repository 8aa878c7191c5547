package mgwaitlist

import (
	"cmp"
	"slices"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgload"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// reportDelay is how long a grant counts in addition to what is reported of the
	// upstream: until the entry that got the grant has reported the request that it sent.
	// An entry reports five times a second.
	reportDelay = 250 * mgclock.Millis(1)
	// rampWindow is the time in which a cold upstream is given Place.ColdRate requests.
	rampWindow = mgclock.Second
	// maxOvertakes is how many requests without a place a later request may overtake.
	maxOvertakes = 4
	// minRetry and maxRetry bound the retry time of a request that is given up. A request
	// that is retried sooner meets the same waiting list, and callers stay away for a
	// third of their time at most, 2 s for a short request.
	minRetry = mgclock.Second
	maxRetry = 5 * mgclock.Second
	// maxReadWaitMs is the maximum time that an upstream may need to prefill the prompts
	// before a request's own for the request to be sent there: that of one prompt. Once
	// sent to an upstream, requests keep their order, whoever comes later; on the waiting
	// list, those that can still be on time go first, also where they came later. The limit
	// isn't lower because reports of an upstream are 200 ms old, and the upstream must not
	// run idle.
	maxReadWaitMs = 400.0
)

// A Request is a request on the waiting list.
type Request struct {
	Name     string
	Account  string         // client account of the request
	Rank     int            // priority of its route, the greatest first
	Need     int            // tokens of memory that it takes
	Output   int            // expected tokens of its output
	Duration mgclock.Millis // expected time for which it holds the memory
	Due      mgclock.Millis // when it must have a place for its answer to begin on time
	Arrived  mgclock.Millis
	GiveUpAt mgclock.Millis // when it is given up unless it has a place
	addedAt  mgclock.Millis // when it was first considered, with admission
	offered  bool           // it is counted in the forecast
	start    mgclock.Millis // when it was first expected to get a place, 0 without a forecast
}

// work returns the request's size, in tokens times ms.
func (r Request) work() int64 { return int64(r.Need) * int64(max(r.Duration, 1)) }

// A Place is the reported state of an upstream at which requests can be placed.
type Place struct {
	Name      string
	Cost      float64 // of a request there, ms; see mgload.Cost
	TokenCost float64 // additional cost for each output token, ms
	Free      int     // unused tokens of memory
	Capacity  int     // all tokens of memory, 0 if it isn't known
	// Pending is the number of prompt tokens that the upstream has to read first.
	Pending int
	// ColdRate is the maximum number of requests that a cold upstream may be given in a
	// second, 0 where it isn't cold.
	ColdRate int
	// Rate is the requests a second that the upstream takes from all processes, if it is
	// Limited, and Permits how many of them may be granted now.
	Rate         float64
	Limited      bool
	Permits      int
	Granters     int // number of processes that grant placements there; the caller computes its share of Rate by it, the list doesn't use it
	recentGrants int // grants in the last second
}

// canTake reports whether a request can be placed there: there is memory for it, its
// prompt is prefilled soon, and neither the rate of a cold upstream nor a rate limit is
// exceeded.
func (p *Place) canTake(r Request) bool {
	if p.ColdRate > 0 && p.recentGrants >= p.ColdRate {
		return false
	}
	if p.Limited && p.Permits < 1 {
		return false
	}
	return p.Free >= r.Need && float64(p.Pending)/mgload.ReadRate <= maxReadWaitMs
}

// A Grant gives a request its place, or gives the request up.
type Grant struct {
	Name  string
	Place string         // empty where the request is given up
	Retry mgclock.Millis // where the request is given up: the time after which there may be a place for it
}

// assignment is the memory of a recent grant that the reports of its upstream may not show
// yet.
type assignment struct {
	tokens int
	at     mgclock.Millis
}

// A WaitingList is the waiting list of one service. The zero WaitingList is empty. It isn't
// safe for concurrent use.
type WaitingList struct {
	waiting     []Request
	assignments map[string][]assignment // by name of the place
	grantRate   grantRate
	shares      shares
	admission   admission
}

// Len returns the number of waiting requests.
func (r *WaitingList) Len() int { return len(r.waiting) }

// A State describes a waiting list at a time.
type State struct {
	Waiting int
	Late    int            // of these, those that can't begin on time any more
	Age     mgclock.Millis // of the request that has waited longest
}

// State returns the state of the waiting list.
func (r *WaitingList) State(now mgclock.Millis) State {
	s := State{
		Waiting: len(r.waiting),
	}
	for _, request := range r.waiting {
		if now > request.Due {
			s.Late++
		}
		s.Age = max(s.Age, now-request.Arrived)
	}
	return s
}

// Add appends a request to the waiting list, unless it is on it.
func (r *WaitingList) Add(request Request) {
	if slices.ContainsFunc(r.waiting, func(other Request) bool { return other.Name == request.Name }) {
		return
	}
	r.waiting = append(r.waiting, request)
}

// Remove removes a request from the waiting list.
func (r *WaitingList) Remove(name string) {
	r.waiting = slices.DeleteFunc(r.waiting, func(w Request) bool { return w.Name == name })
}

// Assign assigns waiting requests to the places that can take them, and gives up those
// whose GiveUpAt has come or that can't get a permit before it. It modifies places: each
// grant is subtracted from its place.
func (r *WaitingList) Assign(now mgclock.Millis, places []Place) []Grant {
	if len(r.waiting) == 0 {
		return nil
	}
	r.reserveRecentGrants(now, places)
	if r.admission.enabled {
		return r.assignByForecast(now, places)
	}
	overShare := r.shares.overShareAccounts(now, r.waiting)
	slices.SortStableFunc(r.waiting, func(a, b Request) int { return compareRequests(now, overShare, a, b) })
	rate, isLimited := limitedRate(places)
	var grants []Grant
	stillWaiting := r.waiting[:0]
	for _, request := range r.waiting {
		place := cheapest(places, request)
		switch {
		case place != nil && len(stillWaiting) <= maxOvertakes:
			r.assign(now, request, place)
			grants = append(grants, Grant{
				Name:  request.Name,
				Place: place.Name,
			})
		case now >= request.GiveUpAt:
			grants = append(grants, Grant{
				Name:  request.Name,
				Retry: r.retryAfter(now),
			})
		case isLimited && now+timeToPermit(len(stillWaiting), rate) > request.GiveUpAt:
			grants = append(grants, Grant{
				Name:  request.Name,
				Retry: min(max(timeToPermit(len(stillWaiting), rate), minRetry), maxRetry),
			})
		default:
			stillWaiting = append(stillWaiting, request)
		}
	}
	r.waiting = stillWaiting
	return grants
}

// limitedRate returns the requests a second that the places take together, or false where
// one of them has no limit.
func limitedRate(places []Place) (rate float64, isLimited bool) {
	for _, p := range places {
		if !p.Limited {
			return 0, false
		}
		rate += p.Rate
	}
	return rate, rate > 0
}

// timeToPermit returns the estimated time until a request with a number of others before
// it gets a permit.
func timeToPermit(before int, rate float64) mgclock.Millis {
	return mgclock.Millis(float64(before+1) / rate * float64(mgclock.Second))
}

// GiveUpAll gives up all waiting requests, for a service none of whose upstreams may be
// given work. A caller that learns this at once can retry and still be answered in time;
// one that waits here can't.
func (r *WaitingList) GiveUpAll() []Grant {
	grants := make([]Grant, 0, len(r.waiting))
	for _, request := range r.waiting {
		grants = append(grants, Grant{
			Name:  request.Name,
			Retry: maxRetry,
		})
	}
	r.waiting = nil
	return grants
}

// retryAfter returns when the requests that wait now will have their places, by the rate at
// which memory was granted recently.
func (r *WaitingList) retryAfter(now mgclock.Millis) mgclock.Millis {
	need := 0
	for _, request := range r.waiting {
		need += request.Need
	}
	return min(max(r.grantRate.timeToGrant(now, need), minRetry), maxRetry)
}

// compareRequests orders requests: those that can be on time before those that can't, the
// former by size, which counts more for an account that has had more than its share, the
// latter by arrival.
func compareRequests(now mgclock.Millis, overShare map[string]bool, a, b Request) int {
	lateA, lateB := now > a.Due, now > b.Due
	switch {
	case lateA && lateB:
		return cmp.Compare(a.Arrived, b.Arrived)
	case lateA:
		return 1
	case lateB:
		return -1
	default:
		return cmp.Compare(weightedWork(overShare, a), weightedWork(overShare, b))
	}
}

// weightedWork returns a request's size with the weight of its account.
func weightedWork(overShare map[string]bool, r Request) int64 {
	if overShare[r.Account] {
		return overShareWeight * r.work()
	}
	return r.work()
}

// cheapest returns the cheapest place that can take a request, or nil.
func cheapest(places []Place, request Request) *Place {
	var best *Place
	minCost := 0.0
	for i := range places {
		p := &places[i]
		cost := p.Cost + p.TokenCost*float64(request.Output)
		if p.canTake(request) && (best == nil || cost < minCost) {
			best, minCost = p, cost
		}
	}
	return best
}

func (r *WaitingList) assign(now mgclock.Millis, request Request, place *Place) {
	if r.assignments == nil {
		r.assignments = map[string][]assignment{}
	}
	g := assignment{
		tokens: request.Need,
		at:     now,
	}
	r.assignments[place.Name] = append(r.assignments[place.Name], g)
	place.reserve(g)
	place.recentGrants++
	place.Permits--
	r.grantRate.add(now, request.Need)
	r.shares.add(now, request.Account, request.Need)
}

// reserve subtracts a grant that the reports of the place don't show yet.
func (p *Place) reserve(g assignment) {
	p.Free -= g.tokens
	p.Pending += g.tokens // includes some of the output, since the length of the prompt isn't known here
	p.Cost += mgload.RunCost + float64(g.tokens)/mgload.ReadRate
}

// reserveRecentGrants drops old assignments and subtracts the recent ones, which the
// reports don't show yet, from the places.
func (r *WaitingList) reserveRecentGrants(now mgclock.Millis, places []Place) {
	for name, recent := range r.assignments {
		recent = slices.DeleteFunc(recent, func(g assignment) bool { return now >= g.at+rampWindow })
		if len(recent) == 0 {
			delete(r.assignments, name)
			continue
		}
		r.assignments[name] = recent
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
