package mgnode

import (
	"context"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgmigration"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// slotHoldTimeout is how long the coordinator holds a request while no slot is
	// free, so that a slot is returned as soon as it is free and not at the next
	// request.
	slotHoldTimeout = 100 * mgclock.Millis(1)
	// slotPollInterval is the interval at which it checks whether a slot is free.
	slotPollInterval = 5 * mgclock.Millis(1)
	// slotTimeout limits the wait for the coordinator's response. A coordinator that
	// doesn't respond is dead or cut off, and an upstream gives only one or two
	// seconds' notice before it goes.
	slotTimeout = slotHoldTimeout + 150
)

// acquireMigrationSlot asks the coordinator of a service until it grants a slot, and
// returns the destination of the copy. It returns false if the coordinator doesn't
// respond or ctx has ended.
func (n *Node) acquireMigrationSlot(ctx context.Context, service string, request mgmigration.SlotRequest) (string, bool) {
	for ctx.Err() == nil {
		coordinator := n.migrationCoordinator(service)
		if coordinator == nil {
			if destination := n.awaitMigrationSlot(ctx, request); destination != "" {
				return destination, true
			}
			continue
		}
		destination, err := n.requestMigrationSlot(ctx, coordinator, request)
		if err != nil && n.recordHandover(coordinator, err) {
			continue
		}
		if err != nil {
			if ctx.Err() == nil {
				n.peerFailed(coordinator.Name())
				n.log.Info("a request for a migration slot failed, the generation is moved without one",
					"home", coordinator.Name(), "run", request.Run, "why", err.Error())
			}
			return "", false
		}
		if destination != "" {
			return destination, true
		}
	}
	return "", false
}

func (n *Node) requestMigrationSlot(ctx context.Context, coordinator *mgmember.Member, request mgmigration.SlotRequest) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, slotTimeout.Duration())
	defer cancel()
	var names []string
	var costs, spans []float64
	for _, candidate := range request.Destinations {
		names = append(names, candidate.Name)
		costs = append(costs, candidate.Cost)
		spans = append(spans, candidate.CopyTime)
	}
	reply, err := n.peerClient(coordinator.PeerAddr()).Turn(ctx, &mgrpc.TurnRequest{
		Source: request.Source,
		Run:    request.Run,
		Worth:  request.Benefit,
		Places: names,
		Costs:  costs,
		Spans:  spans,
	})
	if err != nil {
		return "", err
	}
	return reply.GetPlace(), nil
}

// releaseMigrationSlot releases a slot. If the message is lost, the next generation
// waits until the slot expires.
func (n *Node) releaseMigrationSlot(service, source, generation string) {
	coordinator := n.migrationCoordinator(service)
	if coordinator == nil {
		n.migrationSlots.Release(source, generation)
		return
	}
	ctx, cancel := context.WithTimeout(n.killed, slotTimeout.Duration())
	defer cancel()
	_, err := n.peerClient(coordinator.PeerAddr()).Turn(ctx, &mgrpc.TurnRequest{
		Source: source,
		Run:    generation,
		End:    true,
	})
	if err != nil {
		n.log.Info("a migration slot could not be released and expires by itself", "home", coordinator.Name(), "run", generation, "why", err.Error())
	}
}

// migrationCoordinator returns the process that grants the migration slots of a
// service, or nil if it is this one. Entries that know different peers may choose
// different coordinators. Copies that these allow at the same time share the source's
// link and take longer; see eligibleProcesses.
func (n *Node) migrationCoordinator(service string) *mgmember.Member {
	return n.rendezvousFirst("turns " + service)
}

// rendezvousFirst returns the process that ranks first for a key by rendezvous hashing
// among the eligible processes of this cell, or nil if it is this one.
func (n *Node) rendezvousFirst(key string) *mgmember.Member {
	eligible, self := n.eligibleProcesses()
	return nilIfSelf(mgmember.Rank(key, eligible, 1)[0], self)
}

// hubPeer returns the hub of this cell, or nil if it is this process.
func (n *Node) hubPeer() *mgmember.Member {
	eligible, self := n.eligibleProcesses()
	return nilIfSelf(mgmember.RankHub(eligible, 1)[0], self)
}

// eligibleProcesses returns the processes of this cell that may be its hub or a
// coordinator: the known peers that are neither suspected nor leaving, and this
// process. While this process is leaving it is not eligible, because its peers no
// longer choose it; it stays eligible if it is alone. If it still chose itself, two
// processes would grant slots for one source. The copies would share the source's
// link, and all of them would end after the source is reclaimed. Power is the relative
// capacity of this process's VM.
func (n *Node) eligibleProcesses() (eligible []*mgmember.Member, self *mgmember.Member) {
	cell := n.members.View().Cell(n.settings.Name, n.settings.Region)
	self = mgmember.Self(n.settings.Name, n.settings.Zone, int(n.settings.Power))
	if n.leaving.Load() && len(cell.Peers) > 0 {
		return cell.Peers, self
	}
	return append(cell.Peers, self), self
}

// nilIfSelf returns a member, or nil if it is self.
func nilIfSelf(m, self *mgmember.Member) *mgmember.Member {
	if m == self {
		return nil
	}
	return m
}

// awaitMigrationSlot waits for a slot that this process grants, for slotHoldTimeout at
// most. It returns the destination, or "" without a slot.
func (n *Node) awaitMigrationSlot(ctx context.Context, request mgmigration.SlotRequest) string {
	deadline := n.clock.Now() + slotHoldTimeout
	for {
		now := n.clock.Now()
		if destination, ok := n.migrationSlots.Acquire(now, request); ok {
			return destination
		}
		if now >= deadline || !n.clock.Sleep(ctx, slotPollInterval) {
			return ""
		}
	}
}

// Turn grants an entry a migration slot, or releases it. A run is a generation.
func (p peerServer) Turn(ctx context.Context, r *mgrpc.TurnRequest) (*mgrpc.TurnReply, error) {
	if r.GetEnd() {
		p.node.migrationSlots.Release(r.GetSource(), r.GetRun())
		return &mgrpc.TurnReply{}, nil
	}
	if p.node.hasHandedOver() {
		return nil, errHandedOver
	}
	var candidates []mgmigration.Destination
	for i, name := range r.GetPlaces() {
		candidate := mgmigration.Destination{Name: name}
		if i < len(r.GetCosts()) {
			candidate.Cost = r.GetCosts()[i]
		}
		if i < len(r.GetSpans()) {
			candidate.CopyTime = r.GetSpans()[i]
		}
		candidates = append(candidates, candidate)
	}
	destination := p.node.awaitMigrationSlot(ctx, mgmigration.SlotRequest{
		Source:       r.GetSource(),
		Run:          r.GetRun(),
		Benefit:      r.GetWorth(),
		Destinations: candidates,
	})
	return &mgrpc.TurnReply{
		Place: destination,
	}, nil
}
