package mgrelay

import (
	"context"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgload"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgmigration"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Run moves generations away from upstreams that leave and drops requests that come to
// be held, until ctx ends.
func (y *Relay) Run(ctx context.Context) {
	go y.watchHeld(ctx)
	if y.spec.Move == nil {
		return
	}
	go y.ask(ctx)
	for ctx.Err() == nil {
		changed := y.spec.Changed()
		late := y.runs.late()
		stays := func(upstream string) bool { return !y.spec.Leaving(upstream) }
		y.rests.Forget(stays)
		y.waits.Forget(stays)
		y.permits.Forget(stays)
		for _, host := range y.runs.hosts() {
			if y.spec.Leaving(host.Name) {
				y.runs.mover(host.Name, true)
				go y.evacuate(ctx, host)
			}
		}
		select {
		case <-changed:
		case <-late:
		case <-ctx.Done():
		}
	}
}

// lateSpan is how long a mover looks for runs that begin on an upstream whose
// leaving was known too late to send them elsewhere.
const lateSpan = 3 * mgclock.Second

// evacuate moves the runs of one upstream, one after another: they share its
// link.
func (y *Relay) evacuate(ctx context.Context, host Host) {
	name := host.Name
	defer y.runs.mover(name, false)
	if y.returns(ctx, host) {
		return
	}
	until := y.spec.Clock.Now() + lateSpan
	for ctx.Err() == nil && y.spec.Clock.Now() < until {
		if r := y.runs.claim(y.spec.Clock.Now(), name); r != nil {
			y.moveRun(r)
			continue
		}
		if !y.runs.any(name) && !y.spec.Leaving(name) {
			return
		}
		y.spec.Clock.Sleep(ctx, mgmigration.RetrySpan)
	}
}

// moveRun moves one run.
func (y *Relay) moveRun(r *run) {
	if service := r.x.call.Table.Service(r.x.service); service == nil || !service.Move() {
		close(r.ended)
		return
	}
	began := y.spec.Clock.Now()
	m := moving{
		tried: map[string]bool{},
	}
	m.to, m.found = y.destination(r, m.tried)
	m.waited = y.spec.Clock.Now() - began
	y.carryOut(r, &m)
	r.places = placesOf(&m.move, r.host, m.to)
	m.took = y.spec.Clock.Now() - began
	// The stream goes on first: giving the turn back may wait for a dead entry.
	close(r.ended)
	y.endTurn(r)
	y.tellMove(r, &m)
}

// moving is a move under way.
type moving struct {
	move    mgmigration.Move
	to      Host
	found   bool            // there is a destination
	tried   map[string]bool // since the last pause
	refused int             // destinations without room
	last    mgmigration.Reply
	waited  mgclock.Millis // for the turn
	took    mgclock.Millis
}

// carryOut does the move's steps until it is over or the run's stream has ended.
func (y *Relay) carryOut(r *run, m *moving) {
	for m.found && r.ctx.Err() == nil && m.move.Step() != mgmigration.Done {
		if y.destinationCordoned(m) {
			// No request may reach it by the time that the run is stopped.
			m.tried[m.to.Name] = true
			m.move = mgmigration.Move{}
			m.to, m.found = y.destination(r, m.tried)
			continue
		}
		if m.move.Step() == mgmigration.Wait {
			y.spec.Clock.Sleep(r.ctx, mgmigration.RetrySpan)
			m.move.Waited()
			y.lookAgain(r, m)
			continue
		}
		m.last = y.spec.Move(r.ctx, r.host, Order{
			Run:  r.x.id,
			To:   m.to.Addr,
			Last: m.move.Step() == mgmigration.Stop,
		})
		m.move.Take(m.last)
		if m.move.Step() != mgmigration.Stop && m.last.Outcome == mgmigration.NoRoom {
			m.refused++
			m.tried[m.to.Name] = true
		}
		if m.move.Step() == mgmigration.Copy && m.last.Outcome == mgmigration.NoRoom {
			m.to, m.found = y.destination(r, m.tried)
		}
		if !m.found {
			y.spec.Clock.Sleep(r.ctx, mgmigration.RetrySpan)
			y.lookAgain(r, m)
		}
	}
}

// destinationCordoned reports whether a move's destination was cordoned before its run
// was stopped.
func (y *Relay) destinationCordoned(m *moving) bool {
	if y.spec.Cordoned == nil || m.move.Stopped() {
		return false
	}
	_, cordoned := y.spec.Cordoned(m.to.Name)
	return cordoned
}

// lookAgain looks for a destination among those that had no room before, too.
func (y *Relay) lookAgain(r *run, m *moving) {
	if len(m.tried) == 0 {
		return
	}
	clear(m.tried)
	m.to, m.found = y.destination(r, m.tried)
}

// tellMove counts and logs a move.
func (y *Relay) tellMove(r *run, m *moving) {
	y.spec.Metrics.Counter("relay.moves").Inc(1)
	y.spec.Metrics.Histogram("relay.move.ms").Update(int64(m.took))
	what := "a generation was moved"
	if len(r.places) == 0 {
		what = "a generation was not moved"
	}
	y.spec.Log.Info(what, append(y.basis(),
		mglog.Request, r.x.id, mglog.Upstream, r.host.Name, "to", m.to.Name, "found", m.found,
		"outcome", m.last.Outcome.String(), "tried", m.refused, "stopped", m.move.Stopped(),
		"places", len(r.places), "ms", int64(m.took), "waited", int64(m.waited))...)
}

// placesOf returns where a run can go on after its move, the best first.
func placesOf(move *mgmigration.Move, source, to Host) []place {
	var places []place
	for _, at := range move.Places() {
		host := to
		if at == mgmigration.AtSource {
			host = source
		}
		places = append(places, place{
			host: host,
			copy: source.Addr + "/" + move.Handle(),
		})
	}
	return places
}

// destination returns where a run should go, once it is its turn: an upstream of
// its service that stays, by its own word where the list may be stale.
func (y *Relay) destination(r *run, tried map[string]bool) (Host, bool) {
	for {
		host, found := y.choose(r, tried)
		if !found || y.stays(r.ctx, host) {
			return host, found
		}
		if r.ctx.Err() != nil {
			return Host{}, false
		}
		tried[host.Name] = true
	}
}

// choose returns the best destination by the list, once it is the run's turn.
func (y *Relay) choose(r *run, tried map[string]bool) (Host, bool) {
	ask := mgmigration.Ask{
		Source: r.host.Name,
		Run:    r.x.id,
		Worth:  r.state(y.spec.Clock.Now()).Worth(),
	}
	hosts := map[string]Host{}
	span := r.copySpan()
	for _, spot := range y.spots(r.x, mgload.Query{Zone: r.host.Zone, Copy: true}) {
		if spot.host.Name == r.host.Name || tried[spot.host.Name] {
			continue
		}
		hosts[spot.host.Name] = spot.host
		ask.Places = append(ask.Places, mgmigration.Spot{
			Name: spot.host.Name,
			Cost: spot.cost,
			Span: span * farFactor(spot.host.Zone != r.host.Zone),
		})
	}
	if len(ask.Places) == 0 {
		return Host{}, false
	}
	if y.spec.Turn != nil {
		if name, ok := y.spec.Turn(r.ctx, r.x.service, ask); ok {
			host, known := hosts[name]
			return host, known
		}
	}
	return hosts[ask.Places[0].Name], true
}

// copySpan returns the time in ms in which the run's memory is copied within an
// availability zone.
func (r *run) copySpan() float64 {
	service := r.x.call.Table.Service(r.x.service)
	if service == nil {
		return 0
	}
	tokens := r.x.size.prompt + r.stride()*int(r.made.Load())
	return float64(tokens) * float64(service.Copy()) / 1000
}

// farFactor is how many times as long a copy to another availability zone takes.
func farFactor(far bool) float64 {
	if far {
		return 2
	}
	return 1
}

func (y *Relay) endTurn(r *run) {
	if y.spec.EndTurn != nil {
		y.spec.EndTurn(r.x.service, r.host.Name, r.x.id)
	}
}
