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
	var others map[string]mgload.Row
	if y.spec.Others != nil {
		others = y.spec.Others()
	}
	var list []spot
	for _, host := range y.spec.Every(x.service) {
		row := y.spec.Load.Row(host.Name).Add(others[host.Name])
		cost := mgload.Cost(row, host.Zone, query)
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
