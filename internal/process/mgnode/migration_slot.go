package mgnode

import (
	"context"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgmigration"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// turnHold is how long an entry that gives turns holds a question for which
	// it isn't time yet: a free turn is then told at once, and not at the next
	// question.
	slotHoldTimeout = 100 * mgclock.Millis(1)
	// turnLook is the interval at which it looks.
	slotPollInterval = 5 * mgclock.Millis(1)
	// turnWait bounds the answer. An entry that doesn't give one is dead or cut
	// off, and the notice of an upstream is one or two seconds.
	slotTimeout = slotHoldTimeout + 150
)

// turn asks the entry that gives a service's turns until it gives one, or false
// where it can't be asked.
func (n *Node) acquireMigrationSlot(ctx context.Context, service string, request mgmigration.Ask) (string, bool) {
	for ctx.Err() == nil {
		coordinator := n.migrationCoordinator(service)
		if coordinator == nil {
			if destination := n.awaitMigrationSlot(ctx, request); destination != "" {
				return destination, true
			}
			continue
		}
		place, err := n.requestMigrationSlot(ctx, coordinator, request)
		if err != nil {
			if ctx.Err() == nil {
				n.peerFailed(coordinator.Name())
				n.log.Info("no turn could be asked for, the generation is moved without one",
					"home", coordinator.Name(), "run", request.Run, "why", err.Error())
			}
			return "", false
		}
		if place != "" {
			return place, true
		}
	}
	return "", false
}

func (n *Node) requestMigrationSlot(ctx context.Context, coordinator *mgmember.Member, request mgmigration.Ask) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, slotTimeout.Duration())
	defer cancel()
	var names []string
	var costs, spans []float64
	for _, candidate := range request.Places {
		names = append(names, candidate.Name)
		costs = append(costs, candidate.Cost)
		spans = append(spans, candidate.Span)
	}
	reply, err := n.peerClient(coordinator.PeerAddr()).Turn(ctx, &mgrpc.TurnRequest{
		Source: request.Source,
		Run:    request.Run,
		Worth:  request.Worth,
		Places: names,
		Costs:  costs,
		Spans:  spans,
	})
	if err != nil {
		return "", err
	}
	return reply.GetPlace(), nil
}

// endTurn gives a turn back. A lost message costs the next run the turn's span.
func (n *Node) releaseMigrationSlot(service, source, run string) {
	coordinator := n.migrationCoordinator(service)
	if coordinator == nil {
		n.migrationSlots.End(source, run)
		return
	}
	ctx, cancel := context.WithTimeout(n.killed, slotTimeout.Duration())
	defer cancel()
	_, err := n.peerClient(coordinator.PeerAddr()).Turn(ctx, &mgrpc.TurnRequest{
		Source: source,
		Run:    run,
		End:    true,
	})
	if err != nil {
		n.log.Info("a turn could not be given back and runs out by itself", "home", coordinator.Name(), "run", run, "why", err.Error())
	}
}

// turnHome returns the entry that gives the turns of a service, or nil where it
// is this one. Entries that know different others may choose differently; their
// moves then share a link, which costs time and nothing else.
func (n *Node) migrationCoordinator(service string) *mgmember.Member {
	return n.rendezvousFirst("turns " + service)
}

// first returns the first by rendezvous of the processes of this cell that are
// known here and well, or nil where it is this one.
func (n *Node) rendezvousFirst(key string) *mgmember.Member {
	eligible, self := n.eligiblePeers()
	return nilIfSelf(mgmember.Rank(key, eligible, 1)[0], self)
}

// hubPeer returns the process of this cell that works for all, or nil where it is this
// one.
func (n *Node) hubPeer() *mgmember.Member {
	eligible, self := n.eligiblePeers()
	return nilIfSelf(mgmember.RankHub(eligible, 1)[0], self)
}

// able returns the processes of this cell that may work for all: those that are
// known here and well, and this one. One that stops does so only where it is
// alone. Its peers pass it over; were it to go on for itself, two would give the
// turns of one source, and the copies that share the source's link would all end
// after it was reclaimed.
func (n *Node) eligiblePeers() (eligible []*mgmember.Member, self *mgmember.Member) {
	cell := n.members.View().Cell(n.settings.Name, n.settings.Region)
	self = mgmember.Self(n.settings.Name, n.settings.Zone, int(n.settings.Power))
	if n.leaving.Load() && len(cell.Peers) > 0 {
		return cell.Peers, self
	}
	return append(cell.Peers, self), self
}

// other returns a member, or nil where it is self.
func nilIfSelf(m, self *mgmember.Member) *mgmember.Member {
	if m == self {
		return nil
	}
	return m
}

// holdTurn waits a while for a turn that this entry gives.
func (n *Node) awaitMigrationSlot(ctx context.Context, request mgmigration.Ask) string {
	deadline := n.clock.Now() + slotHoldTimeout
	for {
		now := n.clock.Now()
		if destination, ok := n.migrationSlots.Ask(now, request); ok {
			return destination
		}
		if now >= deadline || !n.clock.Sleep(ctx, slotPollInterval) {
			return ""
		}
	}
}

// Turn gives an entry a turn, or takes it back.
func (p peerServer) Turn(ctx context.Context, r *mgrpc.TurnRequest) (*mgrpc.TurnReply, error) {
	if r.GetEnd() {
		p.node.migrationSlots.End(r.GetSource(), r.GetRun())
		return &mgrpc.TurnReply{}, nil
	}
	var candidates []mgmigration.Spot
	for i, name := range r.GetPlaces() {
		candidate := mgmigration.Spot{Name: name}
		if i < len(r.GetCosts()) {
			candidate.Cost = r.GetCosts()[i]
		}
		if i < len(r.GetSpans()) {
			candidate.Span = r.GetSpans()[i]
		}
		candidates = append(candidates, candidate)
	}
	destination := p.node.awaitMigrationSlot(ctx, mgmigration.Ask{
		Source: r.GetSource(),
		Run:    r.GetRun(),
		Worth:  r.GetWorth(),
		Places: candidates,
	})
	return &mgrpc.TurnReply{
		Place: destination,
	}, nil
}
