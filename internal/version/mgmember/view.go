package mgmember

import (
	"slices"
	"sort"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// A View is a picture of the members. It never changes; the zero View is empty.
// Callers don't change the slices that it returns.
type View struct {
	version       uint64 // of the list
	all           []*Member
	indexByName   map[string]int            // place in all
	upstreams     map[string][]*Member      // by model
	hosts         map[string][]*Member      // by service
	agents        map[string]*Member        // by upstream
	entries       map[string][]*Member      // by region
	zones         map[string][]*Member      // by availability zone
	cordonedSince map[string]mgclock.Millis // by availability zone; see Cordoned
	hasUpstream   bool                      // any upstream stays
	peers         []*Member                 // all but this process
	otherEntries  int                       // of these, entries, suspects too
	regionPeers   map[string][]*Member      // of these, by region, suspects too, in the order of byHash
}

// viewSpec is what a view is made of.
type viewSpec struct {
	version       uint64 // of the list
	self          string // is not among the peers
	all           []*Member
	cordonedSince map[string]mgclock.Millis
}

func newView(spec viewSpec) *View {
	all := spec.all
	sort.Slice(all, func(i, j int) bool { return all[i].Name() < all[j].Name() })
	v := &View{
		version:       spec.version,
		cordonedSince: spec.cordonedSince,
		all:           all,
		indexByName:   make(map[string]int, len(all)),
		upstreams:     make(map[string][]*Member),
		hosts:         make(map[string][]*Member),
		agents:        make(map[string]*Member),
		entries:       make(map[string][]*Member),
		zones:         make(map[string][]*Member),
		regionPeers:   make(map[string][]*Member),
	}
	for i, m := range all {
		v.indexByName[m.Name()] = i
		v.add(m, m.Name() == spec.self)
	}
	for model, list := range v.upstreams {
		v.upstreams[model] = withoutSuspects(list)
	}
	for service, list := range v.hosts {
		v.hosts[service] = withoutSuspects(list)
	}
	v.peers = withoutSuspects(v.peers)
	for _, peers := range v.regionPeers {
		slices.SortFunc(peers, compareByHash)
	}
	return v
}

func (v *View) add(m *Member, self bool) {
	v.zones[m.Zone()] = append(v.zones[m.Zone()], m)
	if !self && m.Peer() {
		v.peers = append(v.peers, m)
		v.regionPeers[m.Region()] = append(v.regionPeers[m.Region()], m)
	}
	if m.Kind() == mgplatform.EntryKind {
		if !self {
			v.otherEntries++
		}
		v.entries[m.Region()] = append(v.entries[m.Region()], m)
		return
	}
	if m.Upstream() != "" {
		v.agents[m.Upstream()] = m
	}
	if m.leaving {
		return
	}
	v.hasUpstream = v.hasUpstream || len(m.Models())+len(m.Services()) > 0
	if m.cordoned {
		return
	}
	for _, model := range m.Models() {
		v.upstreams[model] = append(v.upstreams[model], m)
	}
	for _, service := range m.Services() {
		v.hosts[service] = append(v.hosts[service], m)
	}
}

// trusted leaves out suspects, unless nobody else is left. When all are
// suspected it is likelier that this process was cut off than that all the
// others died, and giving up on them would keep it from noticing the heal.
func withoutSuspects(list []*Member) []*Member {
	trusted := make([]*Member, 0, len(list))
	for _, m := range list {
		if !m.suspect {
			trusted = append(trusted, m)
		}
	}
	if len(trusted) == 0 {
		return list
	}
	return trusted
}

// Version returns the version of the list of VMs, or 0 before the first.
func (v *View) Version() uint64 { return v.version }

// All returns all members by name, this process included.
func (v *View) All() []*Member { return v.all }

// Member returns the member of a name.
func (v *View) Member(name string) (*Member, bool) {
	i, ok := v.indexByName[name]
	if !ok {
		return nil, false
	}
	return v.all[i], true
}

// Upstreams returns the agents whose engines may hold a model, without those that
// leave or whose availability zone is cordoned and, unless nobody else is left,
// without suspects.
func (v *View) Upstreams(model string) []*Member { return v.upstreams[model] }

// Hosts returns the agents whose upstreams run a plain service, like Upstreams.
func (v *View) Hosts(service string) []*Member { return v.hosts[service] }

// Served reports whether any upstream stays. Those of cordoned availability zones
// count: a process that refuses for that reason tells its callers when to come back,
// where one that isn't ready has them try others that can't serve them either.
func (v *View) Served() bool { return v.hasUpstream }

// Cordoned returns the availability zones whose upstreams get no new work, and since
// when that is known here. Callers don't change it.
func (v *View) Cordoned() map[string]mgclock.Millis { return v.cordonedSince }

// Agent returns the agent beside an upstream, also when it leaves.
func (v *View) Agent(upstream string) (*Member, bool) {
	m, ok := v.agents[upstream]
	return m, ok
}

// Entries returns the entries of a region, leaving and suspect ones included.
func (v *View) Entries(region string) []*Member { return v.entries[region] }

// Zone returns the members of an availability zone, leaving and suspect ones
// included, so that those with the same list get the same answer.
func (v *View) Zone(zone string) []*Member { return v.zones[zone] }

// Peers returns the other processes, without suspects unless nobody else is
// left.
func (v *View) Peers() []*Member { return v.peers }

// Others returns how many other entries are known, those that leave and suspects included.
func (v *View) Others() int { return v.otherEntries }
