package mgconfig

import (
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Where the platform lists no processes, each is known by others' word of it. An
// exchange with one peer at a time hears each of a hundred peers once in a hundred
// seconds, and one that isn't heard for half a minute is forgotten. Half a minute after
// the start each would know too few others, divide into too few cells, and have two hubs
// asked by all while half of the engines have nothing to do.
//
// So the processes of a cell tell their hub of themselves, the hubs tell the reader of
// their cells, and each is told of all.

const (
	// gossipSpan is the mean interval at which a process does so. What it is told is
	// four ways old at most, 12 s of the 30 s that a process stays known; a hundred
	// rows are 1.3 KB on the wire, a thousand 11 KB.
	gossipInterval = 3 * mgclock.Second
	// gossipFirst is the same while that brings processes that were not known: just
	// after a start, whom others take for the hub changes with each that is.
	gossipStartInterval = 500 * mgclock.Millis(1)
	// gossipAnswer bounds an answer.
	gossipTimeout = mgclock.Second
)

// gossiping is the state of a process that tells of others and is told.
type gossipState struct {
	busy bool
	next mgclock.Millis
}

func (g *gossipState) nextDue() mgclock.Millis {
	if g.busy {
		return never
	}
	return g.next
}

// gossip tells the process that gathers for this one, when that is due.
func (m *Machine) startGossip(now mgclock.Millis) []Action {
	g := &m.gossipState
	if g.busy || now < g.next {
		return nil
	}
	g.next = now + gossipInterval
	known := m.members.Gossip(now)
	if len(known) == 0 {
		return nil
	}
	to := m.gossipTarget()
	if m.roles().hub != nil {
		known = nil // the hub has heard of them before
	}
	g.busy = true
	return []Action{{
		kind:          Gossip,
		peer:          to.name,
		addr:          to.addr,
		gossip:        append(known, m.self()),
		answerTimeout: gossipTimeout,
	}}
}

// gossipPeer returns whom this process tells. Who takes itself for the reader may only
// not know the one that is, and tells anyone.
func (m *Machine) gossipTarget() peer {
	r := m.roles()
	switch {
	case r.reader == nil:
		return m.choosePeer()
	case r.hub == nil:
		return peerOf(r.reader)
	default:
		return peerOf(r.hub)
	}
}

// self returns this process as it tells others of itself.
func (m *Machine) self() mgmember.Gossip {
	return mgmember.Gossip{
		Name:   m.spec.Name,
		Addr:   m.spec.Addr,
		Zone:   m.spec.Zone,
		Region: m.spec.Region,
		Power:  m.spec.Power,
	}
}

// gossiped takes the answer to what was told.
func (m *Machine) handleGossipResult(now mgclock.Millis, result ResultSpec) []Action {
	g := &m.gossipState
	g.busy = false
	if result.Err != nil {
		g.next = now + gossipStartInterval + m.jitter(gossipStartInterval)
		return nil
	}
	interval := gossipInterval
	if m.members.TakeGossip(now, result.Gossip) {
		interval = gossipStartInterval
	}
	g.next = now + interval*3/4 + m.jitter(interval/2)
	return nil
}

// Gossiped takes what a peer tells and returns what is known here.
func (m *Machine) HandleGossip(now mgclock.Millis, all []mgmember.Gossip) []mgmember.Gossip {
	m.members.TakeGossip(now, all)
	return append(m.members.Gossip(now), m.self())
}
