package mgmember

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// A Member is a process as it was seen when a view was made.
type Member struct {
	vm           mgplatform.VM
	nameHash     uint64 // of the name
	incarnation  string
	leaving      bool
	suspect      bool
	listed       bool
	cordoned     bool
	coldUntil    mgclock.Millis // until then, by the list
	awaitsAnswer bool
	recoveredAt  mgclock.Millis // when it last answered after a suspicion
}

// Name returns the name of the VM that the process runs on.
func (m *Member) Name() string { return m.vm.Name }

// Kind returns mgplatform.EntryKind, AgentKind or UpstreamKind.
func (m *Member) Kind() string { return m.vm.Kind }

// Addr returns where callers reach an entry and entries an agent.
func (m *Member) Addr() string { return m.vm.Addr }

// Peer reports whether a process of the system runs there.
func (m *Member) Peer() bool { return m.vm.Kind != mgplatform.UpstreamKind }

// PeerAddr returns where other processes reach it.
func (m *Member) PeerAddr() string { return m.vm.PeerAddr() }

// Zone returns the availability zone.
func (m *Member) Zone() string { return m.vm.Zone }

// Region returns the region.
func (m *Member) Region() string { return m.vm.Region }

// Upstream returns the name of the upstream beside an agent, or "".
func (m *Member) Upstream() string { return m.vm.Upstream }

// Models returns the models that the list gives an agent's engine. Callers
// don't change it.
func (m *Member) Models() []string { return m.vm.Models }

// Services returns the plain services of an agent's upstream. Callers don't
// change it.
func (m *Member) Services() []string { return m.vm.Services }

// Incarnation returns the last incarnation heard, up to a tick late, or "".
func (m *Member) Incarnation() string { return m.incarnation }

// Leaving reports whether the process, or the list, says that it leaves.
func (m *Member) Leaving() bool { return m.leaving }

// Suspect reports whether it failed lately.
func (m *Member) Suspect() bool { return m.suspect }

// Born returns when its present life began by the list, 0 where the list tells none. It
// orders the lives of one upstream.
func (m *Member) Born() int64 { return m.vm.Born }

// Power returns how much its VM bears, relative to others, or 0.
func (m *Member) Power() int { return m.vm.Power }

// Listed reports whether it is on the list of VMs.
func (m *Member) Listed() bool { return m.listed }

// Cold reports whether an upstream is cold, by the list or because it may have started
// anew: it failed, and has answered for less than a span since, for which upstreams
// are cold after a start. The list shows no start while the platform is away.
func (m *Member) Cold(now, coldPeriod mgclock.Millis) bool {
	if now < m.coldUntil {
		return true
	}
	return coldPeriod > 0 && (m.suspect || m.awaitsAnswer || m.recoveredAt > 0 && now < m.recoveredAt+coldPeriod)
}

// Cordoned reports whether its availability zone gets no new work. Where a process
// of the system runs there, that one goes on.
func (m *Member) Cordoned() bool { return m.cordoned }

// Self returns this process as a member, to rank it among others.
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

// Hub is the key by which the processes of a region rank for the work that one of
// them does for all: the first reads the platform, sums loads and gives places.
const Hub = "hub"

// Rank returns the first count members in rendezvous order for a key. Removing
// a member moves only the keys for which it was among them.
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
