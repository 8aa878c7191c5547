package mgconfig

import (
	"slices"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// minJoinPeers is the number of peers from which a new process wants an answer. One
	// peer alone may have just started too, or be cut off with a stale platform.
	minJoinPeers = 2
	// secondPeerTimeout is the time after which one peer's answer suffices.
	secondPeerTimeout = 5 * mgclock.Second
	// joinPlatformTimeout is the maximum wait for the platform's answer.
	joinPlatformTimeout = 2 * mgclock.Second
	// joinInterval is the interval at which a new process asks further peers.
	joinInterval = 500 * mgclock.Millis(1)
	// firstListInterval applies while the process has no list of VMs. The peers that
	// read the list have it after reading some pages of it.
	firstListInterval = 150 * mgclock.Millis(1)
	// A process that can ask peers for its first list reads the platform itself after
	// firstListMinDelay and a random part of firstListJitter: long enough for a list of
	// some thousand rows to be read and passed on.
	firstListMinDelay = 700 * mgclock.Millis(1)
	firstListJitter   = 2 * mgclock.Second
)

// join is the state of a process that isn't ready yet.
type join struct {
	startedAt     mgclock.Millis
	next          mgclock.Millis
	answeredPeers map[string]bool
	highest       versionKey // the highest version that a peer has reported
	ready         bool
	isListLong    bool            // reading the list of VMs takes many calls to the platform
	unreachable   map[string]bool // configured peer addresses that gave no answer
}

func (j *join) begin(now mgclock.Millis) {
	j.startedAt = now
	j.next = now
	j.answeredPeers = make(map[string]bool)
	j.unreachable = make(map[string]bool)
}

func (j *join) nextDue() mgclock.Millis {
	if j.ready {
		return never
	}
	return j.next
}

// recordAnswer records a peer's answer.
func (j *join) recordAnswer(s *mgrpc.Summary) {
	if j.ready {
		return
	}
	j.answeredPeers[s.GetName()] = true
	key := versionKey{
		version: s.GetVersion(),
		digest:  s.GetDigest(),
	}
	if key.isAfter(j.highest) {
		j.highest = key
	}
}

// askPeersForJoin exchanges summaries with random peers until the process is ready. The
// peers may be in other zones, because the own zone may be cut off.
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
	for range minJoinPeers {
		actions = append(actions, m.exchangeWith(m.choosePeer())...)
	}
	return actions
}

// requestFirstListFromPeers handles mgplatform.ErrManyCalls: reading the list of VMs
// takes many calls: the process asks peers for the list first, and the platform only later. Where
// each of 300 processes that start together in front of 3,000 upstreams reads it, they
// make 18,000 calls of fifty rows each and are rate-limited again and again. None would
// have a list for seconds, and callers would be refused.
func (m *Machine) requestFirstListFromPeers(now mgclock.Millis) {
	m.join.isListLong = true
	m.join.next = now
	m.listKeyState.next = now + firstListMinDelay + m.jitter(firstListJitter)
}

// lacksFirstList reports whether the process asks its peers for the first list.
func (m *Machine) lacksFirstList() bool { return m.join.isListLong && m.members.View().Version() == 0 }

// postponeFirstListRead postpones the process's own first read of a long list after a
// peer has sent one. Just after a start, before the reader of the region is known,
// newer lists from that peer can make the own read unnecessary.
func (m *Machine) postponeFirstListRead(now mgclock.Millis) {
	if m.join.isListLong && now < m.join.startedAt+discoveryWindow && m.listKeyState.version == 0 {
		m.listKeyState.next = max(m.listKeyState.next, now+firstListMinDelay+m.jitter(firstListJitter))
	}
}

// recordUnreachable records that a peer gave no answer. Where all configured peers are
// unreachable, the process reads the platform, because no other process can send the
// list.
func (m *Machine) recordUnreachable(now mgclock.Millis, addr string) {
	if !m.lacksFirstList() || !slices.Contains(m.spec.Seeds, addr) {
		return
	}
	m.join.unreachable[addr] = true
	if len(m.join.unreachable) == len(m.spec.Seeds) {
		m.listKeyState.next = min(m.listKeyState.next, now+m.jitter(firstRetryDelay))
	}
}

// Ready reports whether the process may serve. A process that is ready stays ready.
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
	if !m.manifestKeyState.hasAnswered && elapsed < joinPlatformTimeout {
		return false
	}
	answered := len(m.join.answeredPeers)
	wanted := min(minJoinPeers, m.countLiveOthers())
	if elapsed >= secondPeerTimeout {
		wanted = min(1, wanted)
	}
	return answered >= wanted
}

// countLiveOthers returns the number of other processes that the list shows as live.
func (m *Machine) countLiveOthers() int {
	count := 0
	for _, member := range m.members.View().All() {
		if member.IsPeer() && member.Name() != m.spec.Name && member.Listed() && !member.Leaving() {
			count++
		}
	}
	return count
}
