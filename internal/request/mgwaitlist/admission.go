package mgwaitlist

import (
	"cmp"
	"slices"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgforecast"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgload"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// OutputShare is the part of an expected output that counts as memory: a generation's output
// grows while it runs, and this is its average.
const OutputShare = 0.5

// maxForecastRetry bounds the retry time of a request that is refused by a forecast. A wave of
// callers is over by then in most cases, and most callers have time left.
const maxForecastRetry = 10 * mgclock.Second

// lateWait is how long a late request waits before a forecast can refuse it.
const lateWait = 4 * mgclock.Second

// admission refuses requests that can't be served in time, and orders the others, while more is
// asked for than the service's upstreams bear. The zero admission is disabled.
type admission struct {
	enabled  bool
	forecast mgforecast.Forecast
	scarcity scarcity
	classes  sizeClasses
	returnAt mgclock.Millis // when the caller that was refused last may come back
	refused  int            // requests refused by the forecast
}

// EnableAdmission makes the list refuse requests that can't be served in time, and order the others
// by the capacity that is scarce.
func (r *WaitingList) EnableAdmission() { r.admission.enabled = true }

// An AdmissionState describes what admission goes by, for operators.
type AdmissionState struct {
	Offered float64        // capacity that recent requests ask for, in upstreams
	Served  float64        // capacity that they were given, in upstreams
	Memory  float64        // weight of memory against prefill time, 0 to 1
	Error   mgclock.Millis // mean error of expected starts
	Refused int            // requests refused since they couldn't be served in time
}

// AdmissionState returns the state of admission, and false if it isn't enabled.
func (r *WaitingList) AdmissionState(now mgclock.Millis) (AdmissionState, bool) {
	a := &r.admission
	offered, served := a.forecast.Rates(now)
	return AdmissionState{
		Offered: offered,
		Served:  served,
		Memory:  a.scarcity.memory,
		Error:   a.forecast.Margin(now),
		Refused: a.refused,
	}, a.enabled
}

// candidate is a waiting request with what its order depends on.
type candidate struct {
	request     Request
	cost        float64 // ms of an upstream
	key         float64 // the smallest first
	isLate      bool
	underserved bool
}

// assignByForecast is Assign with admission.
func (r *WaitingList) assignByForecast(now mgclock.Millis, places []Place) []Grant {
	a := &r.admission
	a.scarcity.update(now, r.waiting, places)
	queue := r.candidates(now, capacityOf(places))
	rate, isLimited := limitedRate(places)
	var grants []Grant
	r.waiting = r.waiting[:0]
	costBefore := 0.0
	for _, c := range queue {
		request := c.request
		place := cheapest(places, request)
		start := a.expectedStart(now, c, costBefore)
		switch {
		case place != nil && len(r.waiting) <= maxOvertakes:
			r.assign(now, request, place)
			a.recordGrant(now, c)
			grants = append(grants, Grant{
				Name:  request.Name,
				Place: place.Name,
			})
		case now >= request.GiveUpAt,
			isLimited && now+timeToPermit(len(r.waiting), rate) > request.GiveUpAt,
			a.isHopeless(now, c, start):
			grants = append(grants, Grant{
				Name:  request.Name,
				Retry: a.refuse(now, c, costBefore),
			})
		default:
			if request.start == 0 && start < mgforecast.Never {
				request.start = start
			}
			costBefore += c.cost
			r.waiting = append(r.waiting, request)
		}
	}
	a.forecast.SetBusy(now, len(r.waiting) > 0)
	return grants
}

// capacityOf returns the memory of an upstream, or 0 if it isn't known.
func capacityOf(places []Place) int {
	capacity := 0
	for _, p := range places {
		capacity = max(capacity, p.Capacity)
	}
	return capacity
}

// candidates returns the waiting requests in the order in which they get places:
//
//   - first those that can still be on time: sizes that were served much less often than others,
//     then the highest rank, then the least capacity. Requests of accounts over their share count
//     as if they took more;
//   - then those that are late, first come first served.
func (r *WaitingList) candidates(now mgclock.Millis, capacity int) []candidate {
	a := &r.admission
	overShare := r.shares.overShareAccounts(now, r.waiting)
	queue := make([]candidate, len(r.waiting))
	for i := range r.waiting {
		request := &r.waiting[i]
		c := candidate{
			cost:   a.scarcity.cost(*request, capacity),
			isLate: now > request.Due,
		}
		if !request.offered {
			request.addedAt = now
			request.offered = true
			a.forecast.Offer(now, c.cost)
			a.classes.offer(now, *request)
		}
		c.request = *request
		c.key = c.cost
		if overShare[request.Account] {
			c.key *= overShareWeight
		}
		c.underserved = a.classes.isUnderserved(now, *request)
		queue[i] = c
	}
	slices.SortStableFunc(queue, compareCandidates)
	return queue
}

func compareCandidates(a, b candidate) int {
	switch {
	case a.isLate && b.isLate:
		return cmp.Compare(a.request.Arrived, b.request.Arrived)
	case a.isLate != b.isLate:
		return compareFalseFirst(a.isLate, b.isLate)
	case a.underserved != b.underserved:
		return compareFalseFirst(b.underserved, a.underserved)
	case a.underserved:
		// The least capacity first would starve the largest of a class.
		return cmp.Compare(a.request.Due, b.request.Due)
	case a.request.Rank != b.request.Rank:
		return cmp.Compare(b.request.Rank, a.request.Rank)
	default:
		return cmp.Compare(a.key, b.key)
	}
}

func compareFalseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// latestStart returns the time after which a place is of no use to the request's caller, or too
// late for it to be on time.
func (c candidate) latestStart() mgclock.Millis {
	if c.isLate {
		return c.request.GiveUpAt
	}
	return min(c.request.Due, c.request.GiveUpAt)
}

// isHopeless reports whether a request won't get a place in time. A late one has lost most of its worth
// already, and a wave of callers may end any moment, so it waits for lateWait at least.
func (a *admission) isHopeless(now mgclock.Millis, c candidate, start mgclock.Millis) bool {
	if c.isLate && now < c.request.addedAt+lateWait {
		return false
	}
	return start > c.latestStart()+a.forecast.Margin(now)
}

// expectedStart returns when a request is expected to get a place, 0 if that isn't known.
func (a *admission) expectedStart(now mgclock.Millis, c candidate, costBefore float64) mgclock.Millis {
	switch {
	case !a.forecast.IsKnown(now):
		return 0
	case c.isLate:
		return a.forecast.StartBehind(now, costBefore)
	default:
		return a.forecast.Start(now, costBefore)
	}
}

func (a *admission) recordGrant(now mgclock.Millis, c candidate) {
	if c.request.start > 0 {
		a.forecast.RecordError(now, c.request.start, now)
	}
	a.forecast.Serve(now, c.cost)
	a.classes.serve(now, c.request)
}

// refuse returns the retry time of a request that is refused: when what waits before it is served,
// and after the return of those that were refused before it, so that callers don't come back at one
// moment.
func (a *admission) refuse(now mgclock.Millis, c candidate, costBefore float64) mgclock.Millis {
	a.refused++
	if !a.forecast.IsKnown(now) {
		return minRetry
	}
	room := max(a.forecast.StartBehind(now, costBefore+c.cost), now+minRetry)
	spacing := a.forecast.Start(now, c.cost) - now
	a.returnAt = min(max(room, a.returnAt+spacing), now+maxForecastRetry)
	return a.returnAt - now
}

// prompt returns the tokens that are read before the request's first token.
func (r Request) prompt() int { return max(r.Need-int(OutputShare*float64(r.Output)), 0) }

// scarcity is the weight of an upstream's memory against its prefill time, by which of them keeps
// requests waiting. The zero scarcity has no memory in it.
type scarcity struct {
	memory    float64 // 0 to 1
	updatedAt mgclock.Millis
}

// scarcityTime is the time constant with which the weight follows the load.
const scarcityTime = 2 * mgclock.Second

// update counts the places that lack memory for a waiting request, and those at which prompts would
// delay it.
func (s *scarcity) update(now mgclock.Millis, waiting []Request, places []Place) {
	lackMemory, lackPrefill := 0, 0
	for _, p := range places {
		isReading := float64(p.Pending)/mgload.ReadRate > maxReadWaitMs
		for _, request := range waiting {
			if p.Free < request.Need {
				lackMemory++
			}
			if isReading {
				lackPrefill++
			}
		}
	}
	if lackMemory+lackPrefill == 0 {
		return
	}
	share := float64(lackMemory) / float64(lackMemory+lackPrefill)
	step := min(float64(now-s.updatedAt)/float64(scarcityTime), 1)
	s.memory += step * (share - s.memory)
	s.updatedAt = now
}

// cost returns the capacity that a request takes, in ms of an upstream.
func (s *scarcity) cost(r Request, capacity int) float64 {
	prefill := float64(r.prompt()) / mgload.ReadRate
	if capacity == 0 {
		return prefill
	}
	memory := float64(r.work()) / float64(capacity)
	return (1-s.memory)*prefill + s.memory*memory
}
