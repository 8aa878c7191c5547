package mgrelay

import (
	"math/rand/v2"
	"slices"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgload"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgroom"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgwarm"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// A Host is an upstream that may be sent a request.
type Host struct {
	Name    string // the upstream's name, which it checks
	Addr    string // IP and port
	Zone    string
	Region  string
	Suspect bool  // it failed lately
	Cold    bool  // it may have started a moment ago
	Born    int64 // start of its present life by the list, 0 where it tells none
	Givers  int   // processes that give places at it, 1 at least
}

// spot is an upstream and what a request costs there.
type spot struct {
	host Host
	cost float64 // ms
	slow float64 // part of cost, ms for each token
	free int     // tokens of memory that nothing takes, where that is known
	read int     // prompt tokens that are yet to be read
	shun bool    // it failed lately, and others are well
	cold bool    // it bears few requests now; see mgwarm
}

// shunCost puts upstreams that failed lately behind all others, in ms.
const shunCost = 1e6

// spots returns the upstreams that may take a request, the cheapest first, with
// equal ones in random order.
func (y *Relay) spots(x *exchange, query mgload.Query) []spot {
	query.Memory = x.size.memory()
	query.Capacity = capacity(x.call.Table, x.service)
	query.Tokens = max(x.size.output, 1)
	now := y.spec.Clock.Now()
	list := slices.DeleteFunc(y.costs(x.service, query, y.others()), func(s spot) bool {
		return !x.homes.allow(s.host.Region) || !y.rests.Takes(now, s.host.Name) || y.permitLeft(now, s.host) > 0
	})
	if query.Copy {
		// A generation that is moved reads and takes memory there as any other does.
		for i := range list {
			if _, limited := y.spec.Limits.Rate(list[i].host.Name, list[i].host.Born); limited {
				list[i].cost += shunCost
			}
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b spot) int {
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

// others returns what the other entries have sent, as far as it is known.
func (y *Relay) others() mgload.Report {
	if y.spec.Others == nil {
		return mgload.Report{}
	}
	return y.spec.Others()
}

// capacity returns the memory of a service's upstreams in tokens, 0 where it
// isn't known.
func capacity(table *mgtable.Table, name string) int {
	service := table.Service(name)
	if service == nil {
		return 0
	}
	model := table.Model(service.Model())
	if model == nil {
		return 0
	}
	return model.Context()
}

// costs returns a service's upstreams with what a request costs at each.
func (y *Relay) costs(service string, query mgload.Query, others mgload.Report) []spot {
	hosts := y.spec.Every(service)
	paces := y.spec.Load.Paces(y.spec.Clock.Now())
	faults := y.spec.Load.Faults(y.spec.Clock.Now())
	var known []float64
	for _, host := range hosts {
		if pace, ok := mgload.Pace(paces, others.Paces, host.Name); ok {
			known = append(known, pace)
		}
	}
	slow := mgload.Slow(known)
	weights := make([]float64, len(hosts))
	for i, host := range hosts {
		weights[i] = faults[host.Name] + others.Faults[host.Name]
	}
	faulty := mgload.Faulty(weights)
	list := make([]spot, 0, len(hosts))
	for i, host := range hosts {
		pace, _ := mgload.Pace(paces, others.Paces, host.Name)
		state := mgload.State{
			Row:    y.spec.Load.Row(host.Name).Add(others.Rows[host.Name]),
			Zone:   host.Zone,
			Slow:   slow(pace),
			Faults: weights[i],
		}
		spot := spot{
			host: host,
			cost: mgload.Cost(state, query),
			slow: state.Slow,
			free: query.Capacity - state.Row.Memory,
			read: state.Row.Pending,
			shun: host.Suspect || faulty(weights[i]),
			// Others may have seen it fail, and start anew, where this process didn't.
			cold: host.Cold || weights[i] > 0,
		}
		if spot.shun {
			spot.cost += shunCost
		}
		list = append(list, spot)
	}
	return list
}

// Places returns the upstreams of a service as they are seen by what the other
// entries have sent, for requests that wait for a place. It returns nil where the
// service has none that may be given work.
func (y *Relay) Places(table *mgtable.Table, service string, others mgload.Report) []mgroom.Place {
	query := mgload.Query{
		Zone:     y.spec.Zone,
		Capacity: capacity(table, service),
	}
	spots := y.costs(service, query, others)
	if len(spots) == 0 {
		return nil
	}
	ramp := 0.0
	if found := table.Service(service); found != nil {
		ramp = found.Ramp()
	}
	places := make([]mgroom.Place, 0, len(spots))
	for _, spot := range spots {
		if spot.shun {
			continue
		}
		place := mgroom.Place{
			Name:    spot.host.Name,
			Cost:    spot.cost,
			Slow:    spot.slow,
			Free:    spot.free,
			Pending: spot.read,
		}
		if spot.cold && ramp > 0 {
			place.Ramp = mgwarm.Placed(ramp, spot.host.Givers)
		}
		place.Rate, place.Limited = y.spec.Limits.Rate(spot.host.Name, spot.host.Born)
		place.Givers = spot.host.Givers
		places = append(places, place)
	}
	return places
}
