package mgrelay

import (
	"math/rand/v2"
	"slices"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgload"
)

// A Host is an upstream that may be sent a request.
type Host struct {
	Name    string // the upstream's name, which it checks
	Addr    string // IP and port
	Zone    string
	Suspect bool // it failed lately
}

// spot is an upstream and what a request costs there.
type spot struct {
	host Host
	cost float64 // ms
}

// suspectCost puts upstreams that failed lately behind all others, in ms.
const suspectCost = 1e6

// spots returns the upstreams that may take a request, the cheapest first, with
// equal ones in random order.
func (y *Relay) spots(x *exchange, query mgload.Query) []spot {
	query.Memory = x.size.prompt + x.size.output
	if service := x.call.Table.Service(x.service); service != nil {
		if model := x.call.Table.Model(service.Model()); model != nil {
			query.Capacity = model.Context()
		}
	}
	var others mgload.Report
	if y.spec.Others != nil {
		others = y.spec.Others()
	}
	query.Tokens = max(x.size.output, 1)
	hosts := y.spec.Every(x.service)
	paces := y.spec.Load.Paces(y.spec.Clock.Now())
	var known []float64
	for _, host := range hosts {
		if pace, ok := mgload.Pace(paces, others.Paces, host.Name); ok {
			known = append(known, pace)
		}
	}
	slow := mgload.Slow(known)
	var list []spot
	for _, host := range hosts {
		row := y.spec.Load.Row(host.Name).Add(others.Rows[host.Name])
		pace, _ := mgload.Pace(paces, others.Paces, host.Name)
		cost := mgload.Cost(row, host.Zone, slow(pace), query)
		if host.Suspect {
			cost += suspectCost
		}
		list = append(list, spot{
			host: host,
			cost: cost,
		})
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
