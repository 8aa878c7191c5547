package mgrelay

import "slices"

// homes are the regions in which a request may run: those of its route and of its
// account, which both bind. A list that is empty allows all.
type homes struct {
	route   []string
	account []string
}

func homesOf(call Call) homes {
	h := homes{
		route: call.Route.Homes(),
	}
	if call.Account != nil {
		h.account = call.Account.Homes()
	}
	return h
}

// allows reports whether a request may run in a region.
func (h homes) allows(region string) bool {
	return (len(h.route) == 0 || slices.Contains(h.route, region)) &&
		(len(h.account) == 0 || slices.Contains(h.account, region))
}

// excludesAny reports whether some of the upstreams are not allowed.
func (h homes) excludesAny(hosts []Host) bool {
	return slices.ContainsFunc(hosts, func(host Host) bool { return !h.allows(host.Region) })
}

// excludesAll reports whether none of the upstreams is allowed.
func (h homes) excludesAll(hosts []Host) bool {
	return !slices.ContainsFunc(hosts, func(host Host) bool { return h.allows(host.Region) })
}
