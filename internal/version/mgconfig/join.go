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
	secondPeerTimeout = 5 * mgclock.Second
	// joinPlatform is how long the platform's answer is waited for.
	joinPlatformTimeout = 2 * mgclock.Second
	// joinSpan is the interval at which a new process asks further peers.
	joinInterval = 500 * mgclock.Millis(1)
	// listSpan is the same while it has no list of VMs, which the peers that read it
	// have after some pages of it.
	firstListInterval = 150 * mgclock.Millis(1)
	// firstListWait and firstListSpan bound when a process that may ask peers for its
	// first list reads the platform for itself, at a time drawn between: long enough
	// for a list of some thousand rows to be read and told.
	firstListMinDelay = 700 * mgclock.Millis(1)
	firstListJitter   = 2 * mgclock.Second
)

// join is the state of a process that is not ready yet.
type join struct {
	startedAt   mgclock.Millis
	next        mgclock.Millis
	peers       map[string]bool
	highest     versionKey // the highest version heard of
	ready       bool
	isListLong  bool            // the list of VMs takes many calls of the platform
	unreachable map[string]bool // addresses of the settings' peers that gave no answer
}

func (j *join) begin(now mgclock.Millis) {
	j.startedAt = now
	j.next = now
	j.peers = make(map[string]bool)
	j.unreachable = make(map[string]bool)
}

func (j *join) nextDue() mgclock.Millis {
	if j.ready {
		return never
	}
	return j.next
}

// heard takes a peer's answer.
func (j *join) recordAnswer(s *mgrpc.Summary) {
	if j.ready {
		return
	}
	j.peers[s.GetName()] = true
	key := versionKey{
		version: s.GetVersion(),
		digest:  s.GetDigest(),
	}
	if key.isAfter(j.highest) {
		j.highest = key
	}
}

// askFirst asks peers until the process is ready, in other zones as well: the
// own one may be cut off.
func (m *Machine) askPeersForJoin(now mgclock.Millis) []Action {
	lacksFirstList := m.lacksFirstList()
	if m.Ready(now) && !lacksFirstList || now < m.join.next {
		return nil
	}
	m.join.next = now + joinInterval
	if lacksFirstList {
		m.join.next = now + firstListInterval
	}
	var actions []Action
	for range joinPeers {
		actions = append(actions, m.exchangeWith(m.choosePeer())...)
	}
	return actions
}

// askFor takes that the first read of the list of VMs takes many calls: peers are asked
// for it, and only later the platform. Where each of 300 processes that start together
// before 3,000 upstreams read it, they would make 18,000 calls of fifty rows each and be
// turned away again and again; none would have a list for seconds, and callers would be
// refused.
func (m *Machine) deferFirstListRead(now mgclock.Millis) {
	m.join.isListLong = true
	m.join.next = now
	m.listSource.next = now + firstListMinDelay + m.jitter(firstListJitter)
}

// listless reports whether peers are asked for the first list.
func (m *Machine) lacksFirstList() bool { return m.join.isListLong && m.members.View().Version() == 0 }

// restFirst takes that a peer gave a list: just after a start, before it is known who
// reads for whom, that peer's next ones do in place of an own read, too.
func (m *Machine) postponeFirstListRead(now mgclock.Millis) {
	if m.join.isListLong && now < m.join.startedAt+discoveryWindow && m.listSource.version == 0 {
		m.listSource.next = max(m.listSource.next, now+firstListMinDelay+m.jitter(firstListJitter))
	}
}

// noteDark takes that a peer gave no answer. Where all peers of the settings are gone,
// nobody else tells the list.
func (m *Machine) recordUnreachable(now mgclock.Millis, addr string) {
	if !m.lacksFirstList() || !slices.Contains(m.spec.Seeds, addr) {
		return
	}
	m.join.unreachable[addr] = true
	if len(m.join.unreachable) == len(m.spec.Seeds) {
		m.listSource.next = min(m.listSource.next, now+m.jitter(firstRetryDelay))
	}
}

// Ready reports whether the process may serve. Once it is ready it stays so.
func (m *Machine) Ready(now mgclock.Millis) bool {
	if !m.join.ready && m.hasJoined(now) {
		m.join.ready = true
	}
	return m.join.ready
}

func (m *Machine) hasJoined(now mgclock.Millis) bool {
	current := m.Current()
	if current == nil {
		return false
	}
	highest := m.join.highest
	if highest.isAfter(current.key()) && !m.rejections.has(highest.digest) {
		return false
	}
	elapsed := now - m.join.startedAt
	if !m.manifestSource.hasAnswered && elapsed < joinPlatformTimeout {
		return false
	}
	answered := len(m.join.peers)
	wanted := min(joinPeers, m.countLiveOthers())
	if elapsed >= secondPeerTimeout {
		wanted = min(1, wanted)
	}
	return answered >= wanted
}

// others returns the number of other processes that the list shows live.
func (m *Machine) countLiveOthers() int {
	count := 0
	for _, member := range m.members.View().All() {
		if member.Peer() && member.Name() != m.spec.Name && member.Listed() && !member.Leaving() {
			count++
		}
	}
	return count
}
