package mgrelay

import (
	"context"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgload"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgmigration"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Run moves generations away from upstreams that leave and cancels requests that
// become held, until ctx is done.
func (y *Relay) Run(ctx context.Context) {
	go y.watchHeld(ctx)
	if y.spec.Move == nil {
		return
	}
	go y.probeWhileStale(ctx)
	go y.probeForAll(ctx)
	for ctx.Err() == nil {
		changed := y.spec.LeavingChanged()
		added := y.generations.nextAdded()
		isStaying := func(upstream string) bool { return !y.spec.IsLeaving(upstream) }
		// Forget drops all upstreams except those that stay.
		y.backoffs.Forget(isStaying)
		y.permitWaits.Forget(isStaying)
		y.localPermits.Forget(isStaying)
		for _, host := range y.generations.hostsNotEvacuating() {
			if y.spec.IsLeaving(host.Name) {
				y.generations.setEvacuating(host.Name, true)
				go y.evacuate(ctx, host)
			}
		}
		select {
		case <-changed:
		case <-added:
		case <-ctx.Done():
		}
	}
}

// lateStartWindow is how long evacuate waits for generations that start on an upstream
// after its departure began, because the departure became known too late to send them
// elsewhere.
const lateStartWindow = 3 * mgclock.Second

// evacuate moves the generations of one upstream one after another, since they share
// its link.
func (y *Relay) evacuate(ctx context.Context, host Host) {
	name := host.Name
	defer y.generations.setEvacuating(name, false)
	if y.awaitRelisting(ctx, host) {
		return
	}
	until := y.spec.Clock.Now() + lateStartWindow
	for ctx.Err() == nil && y.spec.Clock.Now() < until {
		if r := y.generations.claimNext(y.spec.Clock.Now(), name); r != nil {
			y.moveGeneration(r)
			continue
		}
		if !y.generations.hasAny(name) && !y.spec.IsLeaving(name) {
			return
		}
		y.spec.Clock.Sleep(ctx, mgmigration.RetryDelay)
	}
}

// moveGeneration moves one generation.
func (y *Relay) moveGeneration(r *generation) {
	if service := r.exchange.call.Table.Service(r.exchange.service); service == nil || !service.CanMigrate() {
		close(r.moveDone)
		return
	}
	startedAt := y.spec.Clock.Now()
	if !y.isVersionCertain(r.ctx, r.stated, r.host, r.addedAt) {
		close(r.moveDone)
		return
	}
	m := migration{
		tried: map[string]bool{},
	}
	m.destination, m.hasDestination = y.findDestination(r, m.tried)
	m.slotWait = y.spec.Clock.Now() - startedAt
	y.executeMove(r, &m)
	r.resumePoints = resumePointsOf(&m.move, r.host, m.destination)
	r.isStopped = m.move.MayHaveStopped()
	m.duration = y.spec.Clock.Now() - startedAt
	// The stream continues first: releasing the slot may have to wait for an entry
	// process that is dead.
	close(r.moveDone)
	y.releaseSlot(r)
	y.recordMove(r, &m)
}

// migration is a move in progress: the steps of the move, its destination, and what is
// recorded of it.
type migration struct {
	move           mgmigration.Move
	destination    Host
	hasDestination bool
	tried          map[string]bool // destinations not to try; cleared after each wait of mgmigration.RetryDelay
	refusedCount   int             // destinations without memory
	lastReply      mgmigration.Reply
	slotWait       mgclock.Millis // time until a migration slot and destination were found
	duration       mgclock.Millis
}

// executeMove executes the steps of a move until it is done or the generation's
// stream has ended.
func (y *Relay) executeMove(r *generation, m *migration) {
	for m.hasDestination && r.ctx.Err() == nil && m.move.Step() != mgmigration.Done {
		if y.isDestinationCordoned(m) {
			// Requests may be barred there by the time that the generation is
			// stopped.
			m.tried[m.destination.Name] = true
			m.move = mgmigration.Move{}
			m.destination, m.hasDestination = y.findDestination(r, m.tried)
			continue
		}
		if m.move.Step() == mgmigration.Wait {
			y.spec.Clock.Sleep(r.ctx, mgmigration.RetryDelay)
			m.move.EndWait()
			y.retryDestinations(r, m)
			continue
		}
		order := MoveOrder{
			Request: r.exchange.id,
			To:      m.destination.Addr,
			Stop:    m.move.Step() == mgmigration.Stop,
		}
		r.ordered.Store(true)
		r.stopOrdered.Store(order.Stop)
		m.lastReply = y.spec.Move(r.ctx, r.host, order)
		m.move.HandleReply(m.lastReply)
		if m.move.Step() != mgmigration.Stop && m.lastReply.Outcome == mgmigration.NoCapacity {
			m.refusedCount++
			m.tried[m.destination.Name] = true
		}
		if m.move.Step() == mgmigration.Copy && m.lastReply.Outcome == mgmigration.NoCapacity {
			m.destination, m.hasDestination = y.findDestination(r, m.tried)
		}
		if !m.hasDestination {
			y.spec.Clock.Sleep(r.ctx, mgmigration.RetryDelay)
			y.retryDestinations(r, m)
		}
	}
}

// isDestinationCordoned reports whether a move's destination was cordoned before the
// generation was stopped.
func (y *Relay) isDestinationCordoned(m *migration) bool {
	if y.spec.CordonAge == nil || m.move.Stopped() {
		return false
	}
	_, cordoned := y.spec.CordonAge(m.destination.Name)
	return cordoned
}

// retryDestinations looks for a destination again, including those that had no
// memory before.
func (y *Relay) retryDestinations(r *generation, m *migration) {
	if len(m.tried) == 0 {
		return
	}
	clear(m.tried)
	m.destination, m.hasDestination = y.findDestination(r, m.tried)
}

// recordMove counts and logs a move.
func (y *Relay) recordMove(r *generation, m *migration) {
	y.spec.Metrics.Counter("relay.moves").Inc(1)
	y.spec.Metrics.Histogram("relay.move.ms").Update(int64(m.duration))
	what := "a generation was moved"
	if len(r.resumePoints) == 0 {
		what = "a generation was not moved"
	}
	y.spec.Log.Info(what, append(y.dataVersionKeys(),
		mglog.Request, r.exchange.id, mglog.Upstream, r.host.Name, "to", m.destination.Name, "found", m.hasDestination,
		"begun", r.host.SoftwareVersion, "software", m.destination.SoftwareVersion,
		"outcome", m.lastReply.Outcome.String(), "tried", m.refusedCount, "stopped", m.move.Stopped(),
		"places", len(r.resumePoints), "ms", int64(m.duration), "waited", int64(m.slotWait))...)
}

// resumePointsOf returns where a generation can continue after its move, the best
// first.
func resumePointsOf(move *mgmigration.Move, source, to Host) []resumePoint {
	var points []resumePoint
	for _, at := range move.Places() {
		host := to
		if at == mgmigration.AtSource {
			host = source
		}
		points = append(points, resumePoint{
			host:    host,
			copyRef: source.Addr + "/" + move.Handle(),
		})
	}
	return points
}

// findDestination waits for a migration slot and returns where to move a generation:
// an upstream of its service that isn't leaving. While the list may be stale, the
// upstream itself confirms that.
func (y *Relay) findDestination(r *generation, tried map[string]bool) (Host, bool) {
	for {
		host, found := y.acquireDestination(r, tried)
		if !found || y.canTakeOver(r.ctx, host) {
			return host, found
		}
		if r.ctx.Err() != nil {
			return Host{}, false
		}
		tried[host.Name] = true
	}
}

// acquireDestination waits for a migration slot and returns the best destination by
// the list. The slot belongs to the generation, not to the destination:
// moveGeneration releases it once, after the move.
func (y *Relay) acquireDestination(r *generation, tried map[string]bool) (Host, bool) {
	request := mgmigration.SlotRequest{
		Source:  r.host.Name,
		Run:     r.exchange.id,
		Benefit: r.state(y.spec.Clock.Now()).Benefit(),
	}
	byName := map[string]Host{}
	copyTime := r.copyTime()
	origin := y.originAt(r.exchange.service, r.host)
	hosts := y.upstreamsFor(r.exchange.service, origin)
	for _, c := range y.candidatesOf(r.exchange, mgload.Query{Zone: r.host.Zone, Copy: true}, hosts) {
		if c.host.Name == r.host.Name || tried[c.host.Name] {
			continue
		}
		byName[c.host.Name] = c.host
		request.Destinations = append(request.Destinations, mgmigration.Destination{
			Name:     c.host.Name,
			Cost:     c.cost,
			CopyTime: copyTime * crossZoneFactor(c.host.Zone != r.host.Zone),
		})
	}
	if len(request.Destinations) == 0 {
		return Host{}, false
	}
	if y.spec.AcquireSlot != nil {
		if name, ok := y.spec.AcquireSlot(r.ctx, r.exchange.service, request); ok {
			host, known := byName[name]
			return host, known
		}
	}
	return byName[request.Destinations[0].Name], true
}

// copyTime returns the time in ms to copy the generation's memory within an
// availability zone.
func (r *generation) copyTime() float64 {
	service := r.exchange.call.Table.Service(r.exchange.service)
	if service == nil {
		return 0
	}
	tokens := r.exchange.size.prompt + r.tokensPerEvent()*int(r.eventCount.Load())
	return float64(tokens) * float64(service.CopyMicros()) / 1000
}

// crossZoneFactor is how many times as long a copy to another availability zone
// takes.
func crossZoneFactor(crossZone bool) float64 {
	if crossZone {
		return 2
	}
	return 1
}

func (y *Relay) releaseSlot(r *generation) {
	if y.spec.ReleaseSlot != nil {
		y.spec.ReleaseSlot(r.exchange.service, r.host.Name, r.exchange.id)
	}
}
