package mgconfig

import (
	"slices"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// joinPeers is the number of peers that a new process wants to hear from.
	// One may be as new as itself, or cut off with a stale platform.
	joinPeers = 2
	// joinPatience is how long one peer's answer is not enough.
	joinPatience = 5 * mgclock.Second
	// joinPlatform is how long the platform's answer is waited for.
	joinPlatform = 2 * mgclock.Second
	// joinSpan is the interval at which a new process asks further peers.
	joinSpan = 500 * mgclock.Millis(1)
	// listSpan is the same while it has no list of VMs, which the peers that read it
	// have after some pages of it.
	listSpan = 150 * mgclock.Millis(1)
	// firstListWait and firstListSpan bound when a process that may ask peers for its
	// first list reads the platform for itself, at a time drawn between: long enough
	// for a list of some thousand rows to be read and told.
	firstListWait = 700 * mgclock.Millis(1)
	firstListSpan = 2 * mgclock.Second
)

// join is the state of a process that is not ready yet.
type join struct {
	began mgclock.Millis
	next  mgclock.Millis
	peers map[string]bool
	high  mark // the highest version heard of
	ready bool
	long  bool            // the list of VMs takes many calls of the platform
	dark  map[string]bool // addresses of the settings' peers that gave no answer
}

func (j *join) begin(now mgclock.Millis) {
	j.began = now
	j.next = now
	j.peers = make(map[string]bool)
	j.dark = make(map[string]bool)
}

func (j *join) wake() mgclock.Millis {
	if j.ready {
		return never
	}
	return j.next
}

// heard takes a peer's answer.
func (j *join) heard(s *mgrpc.Summary) {
	if j.ready {
		return
	}
	j.peers[s.GetName()] = true
	k := mark{
		version: s.GetVersion(),
		digest:  s.GetDigest(),
	}
	if k.above(j.high) {
		j.high = k
	}
}

// askFirst asks peers until the process is ready, in other zones as well: the
// own one may be cut off.
func (m *Machine) askFirst(now mgclock.Millis) []Action {
	listless := m.listless()
	if m.Ready(now) && !listless || now < m.join.next {
		return nil
	}
	m.join.next = now + joinSpan
	if listless {
		m.join.next = now + listSpan
	}
	var actions []Action
	for range joinPeers {
		actions = append(actions, m.ask(m.choose())...)
	}
	return actions
}

// askFor takes that the first read of the list of VMs takes many calls: peers are asked
// for it, and only later the platform. Where each of 300 processes that start together
// before 3,000 upstreams read it, they would make 18,000 calls of fifty rows each and be
// turned away again and again; none would have a list for seconds, and callers would be
// refused.
func (m *Machine) askFor(now mgclock.Millis) {
	m.join.long = true
	m.join.next = now
	m.vms.next = now + firstListWait + m.jitter(firstListSpan)
}

// listless reports whether peers are asked for the first list.
func (m *Machine) listless() bool { return m.join.long && m.members.View().Version() == 0 }

// restFirst takes that a peer gave a list: just after a start, before it is known who
// reads for whom, that peer's next ones do in place of an own read, too.
func (m *Machine) restFirst(now mgclock.Millis) {
	if m.join.long && now < m.join.began+meetSpan && m.vms.version == 0 {
		m.vms.next = max(m.vms.next, now+firstListWait+m.jitter(firstListSpan))
	}
}

// noteDark takes that a peer gave no answer. Where all peers of the settings are gone,
// nobody else tells the list.
func (m *Machine) noteDark(now mgclock.Millis, addr string) {
	if !m.listless() || !slices.Contains(m.spec.Seeds, addr) {
		return
	}
	m.join.dark[addr] = true
	if len(m.join.dark) == len(m.spec.Seeds) {
		m.vms.next = min(m.vms.next, now+m.jitter(firstRetry))
	}
}

// Ready reports whether the process may serve. Once it is ready it stays so.
func (m *Machine) Ready(now mgclock.Millis) bool {
	if !m.join.ready && m.joined(now) {
		m.join.ready = true
	}
	return m.join.ready
}

func (m *Machine) joined(now mgclock.Millis) bool {
	current := m.Current()
	if current == nil {
		return false
	}
	high := m.join.high
	if high.above(current.mark()) && !m.refused.has(high.digest) {
		return false
	}
	spent := now - m.join.began
	if !m.manifest.answered && spent < joinPlatform {
		return false
	}
	heard := len(m.join.peers)
	wanted := min(joinPeers, m.others())
	if spent >= joinPatience {
		wanted = min(1, wanted)
	}
	return heard >= wanted
}

// others returns the number of other processes that the list shows live.
func (m *Machine) others() int {
	count := 0
	for _, member := range m.members.View().All() {
		if member.Peer() && member.Name() != m.spec.Name && member.Listed() && !member.Leaving() {
			count++
		}
	}
	return count
}
