package mgrelay

import (
	"math/rand/v2"
	"slices"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgload"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgwaitlist"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgwarm"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// Host is an upstream to which a request may be sent, with what this process knows of
// it; see the package comment.
type Host struct {
	Name             string // the upstream's name, which it checks in requests
	Addr             string // IP and port
	Zone             string
	Region           string
	FailedRecently   bool   // it failed recently
	Cold             bool   // it may have started a short time ago
	IncarnationStart int64  // when its incarnation started, as stated by the list; 0 if not stated
	SoftwareVersion  string // of its incarnation, as stated by the list; "" if not stated
	Granters         int    // number of processes that assign its placements or give permits for it, at least 1
}

// candidate is an upstream and the cost of a request there.
type candidate struct {
	host          Host
	cost          float64 // ms
	tokenCost     float64 // ms per token, included in cost
	freeTokens    int     // unused memory in tokens, if known
	pendingTokens int     // prompt tokens that are yet to be read; at an upstream of another speed, those that a typical one reads in the same time
	avoid         bool    // it failed recently, and others are healthy
	cold          bool    // it may be able to handle only few requests now, as host.Cold or recent faults show; see mgwarm
}

// avoidPenalty is added to the cost of upstreams that failed recently, and for moves
// also of those with a rate limit, to rank them after all others, in ms.
const avoidPenalty = 1e6

// candidates returns the upstreams that may take a request by ascending cost, those
// of equal cost in random order.
func (y *Relay) candidates(x *exchange, query mgload.Query) []candidate {
	return y.candidatesOf(x, query, y.upstreamsFor(x.service, x.origin))
}

// candidatesOf returns those of hosts that may take a request, in the order of candidates.
func (y *Relay) candidatesOf(x *exchange, query mgload.Query, hosts []Host) []candidate {
	query.Memory = x.size.memory()
	query.Capacity = upstreamCapacity(x.call.Table, x.service)
	query.Tokens = max(x.size.output, 1)
	if !query.Copy {
		query.Prompt = x.size.prompt
	}
	now := y.spec.Clock.Now()
	list := slices.DeleteFunc(y.allCandidates(x.service, hosts, query, y.otherEntriesLoad()), func(s candidate) bool {
		return !x.homes.allows(s.host.Region) || !y.backoffs.CanSend(now, s.host.Name) || y.permitDelay(now, s.host) > 0
	})
	if query.Copy {
		// A moved generation reads and uses memory at its destination like any other
		// request, but is sent without waiting for a permit (see takeForcedPermit). So
		// destinations without a rate limit go first.
		for i := range list {
			if _, limited := y.spec.Limits.Rate(list[i].host.Name, list[i].host.IncarnationStart); limited {
				list[i].cost += avoidPenalty
			}
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b candidate) int {
		switch {
		case a.cost < b.cost:
			return -1
		case a.cost > b.cost:
			return 1
		}
		return 0
	})
	return list
}

// otherEntriesLoad returns what the other entries have sent, as far as it is known.
func (y *Relay) otherEntriesLoad() mgload.Report {
	if y.spec.OtherLoads == nil {
		return mgload.Report{}
	}
	return y.spec.OtherLoads()
}

// upstreamCapacity returns the memory of each upstream of a service in tokens, which
// is the maximum context of the service's model, or 0 if it isn't known.
func upstreamCapacity(table *mgtable.Table, name string) int {
	service := table.Service(name)
	if service == nil {
		return 0
	}
	model := table.Model(service.Model())
	if model == nil {
		return 0
	}
	return model.MaxContext()
}

// allCandidates returns upstreams of a service with the cost of a request at each.
func (y *Relay) allCandidates(service string, hosts []Host, query mgload.Query, others mgload.Report) []candidate {
	paces := y.spec.Load.Paces(y.spec.Clock.Now())
	faults := y.spec.Load.Faults(y.spec.Clock.Now())
	var knownPaces []float64
	for _, host := range hosts {
		if pace, ok := mgload.Pace(paces, others.Paces, host.Name); ok {
			knownPaces = append(knownPaces, pace)
		}
	}
	tokenCostOf := mgload.SlowPenalty(knownPaces)
	faultWeights := make([]float64, len(hosts))
	for i, host := range hosts {
		faultWeights[i] = faults[host.Name] + others.Faults[host.Name]
	}
	isFaulty := mgload.Faulty(faultWeights)
	speeds := y.knownSpeeds()
	list := make([]candidate, 0, len(hosts))
	for i, host := range hosts {
		pace, _ := mgload.Pace(paces, others.Paces, host.Name)
		state := mgload.State{
			Load:      y.spec.Load.Load(host.Name).Add(others.Loads[host.Name]),
			Zone:      host.Zone,
			TokenCost: tokenCostOf(pace),
			Faults:    faultWeights[i],
		}
		if speed, deviates := speedOf(speeds, service, host); deviates {
			state = state.WithSpeed(speed)
		}
		c := candidate{
			host:          host,
			cost:          mgload.Cost(state, query),
			tokenCost:     state.TokenCost,
			freeTokens:    query.Capacity - state.Load.Memory,
			pendingTokens: state.PendingAsTypical(),
			avoid:         host.FailedRecently || isFaulty(faultWeights[i]),
			// Other entries may have seen it fail and start again when this process
			// didn't.
			cold: host.Cold || faultWeights[i] > 0,
		}
		if c.avoid {
			c.cost += avoidPenalty
		}
		list = append(list, c)
	}
	return list
}

// PlacementCandidates returns the upstreams of a service, given what the other entries
// have sent, for the assignment of placements. It returns nil if the service has no
// upstreams that accept new work.
func (y *Relay) PlacementCandidates(table *mgtable.Table, service string, others mgload.Report) []mgwaitlist.Place {
	query := mgload.Query{
		Zone:     y.spec.Zone,
		Capacity: upstreamCapacity(table, service),
		Prompt:   y.knownSpeeds().Prompt(service),
	}
	list := y.allCandidates(service, y.spec.Upstreams(service), query, others)
	if len(list) == 0 {
		return nil
	}
	maxColdRate := 0.0
	if found := table.Service(service); found != nil {
		maxColdRate = found.MaxColdRate()
	}
	places := make([]mgwaitlist.Place, 0, len(list))
	for _, c := range list {
		if c.avoid {
			continue
		}
		place := mgwaitlist.Place{
			Name:      c.host.Name,
			Cost:      c.cost,
			TokenCost: c.tokenCost,
			Free:      c.freeTokens,
			Capacity:  query.Capacity,
			Pending:   c.pendingTokens,
		}
		if c.cold && maxColdRate > 0 {
			place.ColdRate = mgwarm.PlacementLimit(maxColdRate, c.host.Granters)
		}
		place.Rate, place.Limited = y.spec.Limits.Rate(c.host.Name, c.host.IncarnationStart)
		place.Granters = c.host.Granters
		places = append(places, place)
	}
	return places
}
