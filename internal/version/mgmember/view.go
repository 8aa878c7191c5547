package mgmember

import (
	"slices"
	"sort"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// A View is a snapshot of the members. It is immutable; the zero View is empty. Callers
// must not modify the slices and maps that it returns.
type View struct {
	version       uint64 // of the list
	all           []*Member
	indexByName   map[string]int            // index in all
	upstreams     map[string][]*Member      // by model
	hosts         map[string][]*Member      // by service
	agents        map[string]*Member        // by upstream
	entries       map[string][]*Member      // by region
	zones         map[string][]*Member      // by availability zone
	cordonedSince map[string]mgclock.Millis // by availability zone; see Cordoned
	hasUpstream   bool                      // an upstream exists that isn't leaving
	peers         []*Member                 // all processes except this one
	otherEntries  int                       // number of entries among these, including suspects
	regionPeers   map[string][]*Member      // these by region, including suspects, in the order of compareByHash
}

// viewSpec holds the input of newView.
type viewSpec struct {
	version       uint64 // of the list
	self          string // name of this process, which isn't one of the peers
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
	if !self && m.IsPeer() {
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

// withoutSuspects drops suspects, unless there are no others. When all are suspected,
// it is likelier that this process was cut off than that all others died, and giving up
// on them would keep it from noticing that the partition has healed.
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

// Version returns the version of the list of VMs, or 0 before the first list.
func (v *View) Version() uint64 { return v.version }

// All returns all members sorted by name, including this process.
func (v *View) All() []*Member { return v.all }

// Member returns the member with a name.
func (v *View) Member(name string) (*Member, bool) {
	i, ok := v.indexByName[name]
	if !ok {
		return nil, false
	}
	return v.all[i], true
}

// Upstreams returns the agents whose engines may serve a model, without those that are
// leaving or whose availability zone is cordoned and, unless there are no others,
// without suspects.
func (v *View) Upstreams(model string) []*Member { return v.upstreams[model] }

// Hosts returns the agents whose upstreams run a plain service, with the same
// exclusions as Upstreams.
func (v *View) Hosts(service string) []*Member { return v.hosts[service] }

// HasUpstream reports whether an upstream exists that isn't leaving. Those of cordoned
// availability zones count: a process that refuses requests for that reason tells its
// callers when to come back, whereas an unready process makes them try others, which
// can't serve them either.
func (v *View) HasUpstream() bool { return v.hasUpstream }

// Cordoned returns the availability zones whose upstreams get no new work, with the
// time when the cordon became known here. The caller must not modify the map.
func (v *View) Cordoned() map[string]mgclock.Millis { return v.cordonedSince }

// Agent returns the agent of an upstream, also when it is leaving.
func (v *View) Agent(upstream string) (*Member, bool) {
	m, ok := v.agents[upstream]
	return m, ok
}

// Entries returns the entries of a region, including leaving and suspect ones.
func (v *View) Entries(region string) []*Member { return v.entries[region] }

// Zone returns the members of an availability zone, including leaving and suspect ones,
// so that processes with the same list get the same result.
func (v *View) Zone(zone string) []*Member { return v.zones[zone] }

// Peers returns the other processes, without suspects unless there are no others.
func (v *View) Peers() []*Member { return v.peers }

// OtherEntryCount returns the number of other known entries, including leaving and suspect ones.
func (v *View) OtherEntryCount() int { return v.otherEntries }
