package mgconfig

import (
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Where the platform lists no processes, each process learns of the others by gossip.
// An exchange with one peer at a time reaches each of a hundred peers once in a hundred
// seconds, but a process that wasn't seen for half a minute is forgotten. Half a minute
// after the start each process would know too few others and compute too few cells: all
// would use the same two hubs, and half of the engines would be idle, because each cell
// uses its own part of them (mgmember.CellPart).
//
// So the processes of a cell report themselves to their hub, the hubs report their
// cells to the reader, and each reply carries all known processes.

const (
	// gossipInterval is the mean interval of gossip. A record has made four hops at
	// most when it arrives, which takes 12 s of the 30 s for which a process stays
	// known. A hundred records take 1.3 KB on the wire, a thousand 11 KB.
	gossipInterval = 3 * mgclock.Second
	// gossipStartInterval applies while replies bring unknown processes: just after a
	// start, each process that becomes known may change which one the others compute as
	// their hub.
	gossipStartInterval = 500 * mgclock.Millis(1)
	// gossipTimeout is the timeout of the reply.
	gossipTimeout = mgclock.Second
)

// gossipState is the state of the periodic gossip.
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

// startGossip sends this process's record to its hub, or as a hub all known records to
// the reader, when that is due.
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
		known = nil // the hub receives the cell's records from the processes themselves
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

// gossipTarget returns the peer to gossip with. A process that ranks itself as the
// reader may merely not know the actual one, so it gossips with a random peer.
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

// self returns the record of this process.
func (m *Machine) self() mgmember.Gossip {
	return mgmember.Gossip{
		Name:   m.spec.Name,
		Addr:   m.spec.Addr,
		Zone:   m.spec.Zone,
		Region: m.spec.Region,
		Power:  m.spec.Power,
	}
}

// handleGossipResult merges the reply and schedules the next gossip.
func (m *Machine) handleGossipResult(now mgclock.Millis, result ActionResult) []Action {
	g := &m.gossipState
	g.busy = false
	if result.Err != nil {
		g.next = now + gossipStartInterval + m.jitter(gossipStartInterval)
		return nil
	}
	interval := gossipInterval
	if m.members.MergeGossip(now, result.Gossip) {
		interval = gossipStartInterval
	}
	g.next = now + interval*3/4 + m.jitter(interval/2)
	return nil
}

// HandleGossip merges a peer's records and returns the records known here.
func (m *Machine) HandleGossip(now mgclock.Millis, all []mgmember.Gossip) []mgmember.Gossip {
	m.members.MergeGossip(now, all)
	return append(m.members.Gossip(now), m.self())
}
