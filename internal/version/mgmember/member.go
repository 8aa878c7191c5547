package mgmember

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// A Member is the state of a process in a view.
type Member struct {
	vm           mgplatform.VM
	nameHash     uint64 // hash of the name
	incarnation  string
	leaving      bool
	suspect      bool
	listed       bool
	cordoned     bool
	coldUntil    mgclock.Millis // cold until then, according to the list
	awaitsAnswer bool
	recoveredAt  mgclock.Millis // time of the first answer after the last suspicion
}

// Name returns the name of the VM that the process runs on.
func (m *Member) Name() string { return m.vm.Name }

// Kind returns mgplatform.EntryKind, AgentKind or UpstreamKind.
func (m *Member) Kind() string { return m.vm.Kind }

// Addr returns the address at which callers reach an entry, and entries an agent.
func (m *Member) Addr() string { return m.vm.Addr }

// IsPeer reports whether a process of this system runs there, not a plain upstream.
func (m *Member) IsPeer() bool { return m.vm.Kind != mgplatform.UpstreamKind }

// PeerAddr returns the address at which other processes reach it.
func (m *Member) PeerAddr() string { return m.vm.PeerAddr() }

// Zone returns the availability zone.
func (m *Member) Zone() string { return m.vm.Zone }

// Region returns the region.
func (m *Member) Region() string { return m.vm.Region }

// Upstream returns the name of the upstream served by an agent, or "".
func (m *Member) Upstream() string { return m.vm.Upstream }

// Models returns the models of an agent's engine according to the list. The caller must
// not modify the slice.
func (m *Member) Models() []string { return m.vm.Models }

// Services returns the plain services of an agent's upstream. The caller must not
// modify the slice.
func (m *Member) Services() []string { return m.vm.Services }

// Incarnation returns the last known incarnation, up to a tick late, or "".
func (m *Member) Incarnation() string { return m.incarnation }

// Leaving reports whether the process announced, or the list shows, that it is leaving.
func (m *Member) Leaving() bool { return m.leaving }

// Suspect reports whether it is suspected after recent failures.
func (m *Member) Suspect() bool { return m.suspect }

// IncarnationStart returns the start time of its current incarnation according to the list, 0 where
// the list has none. It orders the incarnations of one upstream.
func (m *Member) IncarnationStart() int64 { return m.vm.IncarnationStart }

// SoftwareVersion returns the version of the upstream's software according to the list, "" where
// the list has none.
func (m *Member) SoftwareVersion() string { return m.vm.SoftwareVersion }

// Power returns the relative capacity of its VM, or 0.
func (m *Member) Power() int { return m.vm.Power }

// Listed reports whether it is on the list of VMs.
func (m *Member) Listed() bool { return m.listed }

// Cold reports whether an upstream is cold, according to the list or because it may
// have restarted: it failed, and the time since it answered again is less than
// coldPeriod, for which upstreams are cold after a start. The list shows no restart
// while the platform is down.
func (m *Member) Cold(now, coldPeriod mgclock.Millis) bool {
	if now < m.coldUntil {
		return true
	}
	return coldPeriod > 0 && (m.suspect || m.awaitsAnswer || m.recoveredAt > 0 && now < m.recoveredAt+coldPeriod)
}

// Cordoned reports whether its availability zone gets no new work. A process of this
// system that runs there continues.
func (m *Member) Cordoned() bool { return m.cordoned }

// Self returns a process as a member, so that it can be ranked among others.
func Self(name, zone string, power int) *Member {
	return &Member{
		nameHash: xxhash.Sum64String(name),
		vm: mgplatform.VM{
			Name:  name,
			Zone:  zone,
			Power: power,
		},
	}
}

// Hub is the rendezvous key of the work that one process of a region does for all: the
// top-ranked one reads the platform, sums loads and grants placements.
const Hub = "hub"

// Rank returns the first count members in rendezvous order for a key. Removing a member
// moves only the keys for which it was among them.
func Rank(key string, members []*Member, count int) []*Member {
	type scored struct {
		score uint64
		at    int
	}
	scores := make([]scored, len(members))
	for i, m := range members {
		scores[i] = scored{
			score: xxhash.Sum64String(key + "\x00" + m.Name()),
			at:    i,
		}
	}
	sort.Slice(scores, func(i, j int) bool {
		if scores[i].score != scores[j].score {
			return scores[i].score > scores[j].score
		}
		return members[scores[i].at].Name() < members[scores[j].at].Name()
	})
	first := make([]*Member, 0, min(count, len(members)))
	for _, s := range scores[:min(count, len(members))] {
		first = append(first, members[s.at])
	}
	return first
}
