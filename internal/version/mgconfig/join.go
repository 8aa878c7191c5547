package mgconfig

import (
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
)

// join is the state of a process that is not ready yet.
type join struct {
	began mgclock.Millis
	next  mgclock.Millis
	peers map[string]bool
	high  mark // the highest version heard of
	ready bool
}

func (j *join) begin(now mgclock.Millis) {
	j.began = now
	j.next = now
	j.peers = make(map[string]bool)
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
	if m.Ready(now) || now < m.join.next {
		return nil
	}
	m.join.next = now + joinSpan
	var actions []Action
	for range joinPeers {
		actions = append(actions, m.ask(m.choose())...)
	}
	return actions
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
