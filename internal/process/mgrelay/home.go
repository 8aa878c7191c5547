package mgrelay

import "slices"

// homes are the regions in which a request may run. The region of an upstream that
// gets the request must be allowed by the route's list and by the account's list. An
// empty list allows all regions.
type homes struct {
	route   []string
	account []string
}

func homesOf(call Call) homes {
	h := homes{
		route: call.Route.HomeRegions(),
	}
	if call.Account != nil {
		h.account = call.Account.HomeRegions()
	}
	return h
}

// allows reports whether a request may run in a region.
func (h homes) allows(region string) bool {
	return (len(h.route) == 0 || slices.Contains(h.route, region)) &&
		(len(h.account) == 0 || slices.Contains(h.account, region))
}

// excludesAny reports whether the request may not run at some of the upstreams.
func (h homes) excludesAny(hosts []Host) bool {
	return slices.ContainsFunc(hosts, func(host Host) bool { return !h.allows(host.Region) })
}

// excludesAll reports whether the request may not run at any of the upstreams.
func (h homes) excludesAll(hosts []Host) bool {
	return !slices.ContainsFunc(hosts, func(host Host) bool { return h.allows(host.Region) })
}
