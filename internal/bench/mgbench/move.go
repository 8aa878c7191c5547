package mgbench

import (
	"slices"

	"github.com/marjoramgauge/marjoramgauge/internal/bench/mgmodel"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgload"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgmigration"
)

// move is the migration of one generation to another engine.
type move struct {
	mgmigration.Move
	call       *call
	from, to   *upstream
	entry      int
	engine     *mgmodel.Engine // at the destination when its memory was reserved
	copied     int             // tokens already copied to the destination
	heldMemory int             // reserved at the destination, tokens
}

// startMoves starts migrating generations away from an upstream.
func (m *migrator) startMoves(now float64, u *upstream) {
	switch m.strategy {
	case strategyStay:
	case strategyOnce:
		for _, c := range slices.Clone(u.calls) {
			if c.produced > 0 {
				m.stopAtOnce(now, c)
			}
		}
	default:
		for entry := range m.counts {
			m.startNextMove(now, u, entry)
		}
	}
}

// stopAtOnce stops a generation before copying, and then copies all of its
// memory.
func (m *migrator) stopAtOnce(now float64, c *call) {
	v := m.newMove(c)
	if v.to = m.cheapest(v); v.to == nil {
		return
	}
	if !v.reserveMemory(c.heldTokens()) {
		return
	}
	v.HandleReply(mgmigration.Reply{
		Outcome: mgmigration.Copied,
		Handle:  c.sequence.ID,
	})
	m.stopAndCopyRest(now, v)
}

func (m *migrator) newMove(c *call) *move {
	c.moveStarted = true
	return &move{
		call:  c,
		from:  c.upstream,
		entry: m.entryOf(c),
	}
}

// startNextMove starts an entry's next move away from u, or retries later.
func (m *migrator) startNextMove(now float64, u *upstream, entry int) {
	if u.isGone || !u.isLeaving {
		return
	}
	c := m.mostValuable(now, u, entry)
	if c == nil {
		m.retryLater(now, func(at float64) { m.startNextMove(at, u, entry) })
		return
	}
	to := m.destination(now, c)
	if to == nil {
		m.retryLater(now, func(at float64) { m.startNextMove(at, u, entry) })
		return
	}
	v := m.newMove(c)
	v.to = to
	m.copyWhileRunning(now, v)
}

func (m *migrator) retryLater(now float64, retry func(at float64)) {
	m.driver.events.schedule(now+float64(mgmigration.RetryDelay), retry)
}

// mostValuable returns the generation of an entry that is most worth moving
// next.
func (m *migrator) mostValuable(now float64, u *upstream, entry int) *call {
	var chosen *call
	for _, c := range u.calls {
		if c.moveStarted || c.produced == 0 || m.entryOf(c) != entry {
			continue
		}
		if chosen == nil || moveWorth(now, c) > moveWorth(now, chosen) {
			chosen = c
		}
	}
	return chosen
}

func moveWorth(now float64, c *call) float64 {
	return mgmigration.Run{
		Prompt:         c.sequence.Prompt,
		ExpectedOutput: c.expectedOutput(),
		Generated:      c.produced,
		Elapsed:        toClock(now - c.firstTokenAt),
	}.Benefit()
}

// destination returns the upstream to which a generation moves, or nil if
// there is none or no migration slot was assigned yet.
func (m *migrator) destination(now float64, c *call) *upstream {
	if m.strategy == strategySelf {
		return m.cheapest(&move{
			call:  c,
			from:  c.upstream,
			entry: m.entryOf(c),
		})
	}
	request := mgmigration.SlotRequest{
		Source:  upstreamName(c.upstream),
		Run:     c.sequence.ID,
		Benefit: moveWorth(now, c),
	}
	query := m.copyQuery(c)
	for _, u := range m.driver.upstreams {
		if u.isLeaving {
			continue
		}
		request.Destinations = append(request.Destinations, mgmigration.Destination{
			Name:     upstreamName(u),
			Cost:     m.cost(u, m.entryOf(c), query),
			CopyTime: m.copyDuration(c.upstream, u, c.heldTokens()),
		})
	}
	placement, ok := m.slots.Acquire(toClock(now), request)
	if !ok {
		return nil
	}
	return m.upstreamByName(placement)
}

func (m *migrator) copyQuery(c *call) mgload.Query {
	query := m.query(c, m.zone(c.upstream.index))
	query.Copy = true
	return query
}

// cheapest returns the destination of the lowest cost according to the entry's
// load reports.
func (m *migrator) cheapest(v *move) *upstream {
	query := m.copyQuery(v.call)
	u, _ := lowestCost(m.driver.upstreams, func(u *upstream, _ *call) float64 {
		return m.cost(u, v.entry, query)
	})(0, v.call)
	return u
}

// copyDuration returns the time in ms that a copy of tokens takes.
func (m *migrator) copyDuration(from, to *upstream, tokens int) float64 {
	duration := m.spec.CopyPerToken * float64(tokens)
	if m.zone(from.index) != m.zone(to.index) {
		return 2 * duration
	}
	return duration
}

// transfer copies tokens after the copies that are already queued on both
// links, and calls done at the end.
func (m *migrator) transfer(now float64, v *move, tokens int, done func(at float64)) {
	begin := max(now, m.linkFreeAt[v.from.index], m.linkFreeAt[v.to.index])
	end := begin + m.copyDuration(v.from, v.to, tokens)
	m.linkFreeAt[v.from.index] = end
	m.linkFreeAt[v.to.index] = end
	m.driver.events.schedule(end, done)
}

// isAtSource reports whether the generation is still at its source.
func (v *move) isAtSource() bool {
	return v.call.upstream == v.from && (v.call.state == running || v.call.state == moving)
}

// abandonMove releases a move whose destination had no memory or left, and
// retries with another destination later.
func (m *migrator) abandonMove(now float64, v *move) {
	v.call.moveStarted = false
	m.releaseMove(v)
	m.retryLater(now, func(at float64) { m.startNextMove(at, v.from, v.entry) })
}

// stopAndCopyRest is the second phase of a move: it stops the generation and
// copies the remaining tokens, before the generation resumes at the
// destination.
func (m *migrator) stopAndCopyRest(now float64, v *move) {
	c := v.call
	c.state = moving
	v.from.engine.Cancel(c.sequence.ID)
	m.transfer(now, v, max(c.heldTokens()-v.copied, 0), func(at float64) {
		if !v.isAtSource() || !v.isDestinationValid() {
			m.endMove(at, v) // without a valid destination, the generation's memory is lost with the source
			return
		}
		m.driver.events.schedule(at+resumeDelay, func(at float64) { m.resumeAtDestination(at, v) })
	})
}

// resumeAtDestination resumes the generation at the destination.
func (m *migrator) resumeAtDestination(now float64, v *move) {
	c := v.call
	usable := v.isAtSource() && v.isDestinationValid()
	m.endMove(now, v)
	if !usable {
		return
	}
	m.driver.detach(c)
	m.driver.attach(c, v.to)
	c.state = running
	c.resumedElsewhere = true
	c.moveStarted = false
	if !v.to.engine.Resume(c.sequence, c.produced, 1) {
		panic("mgbench: the engine model refuses sequence " + c.sequence.ID)
	}
	m.driver.scheduleStep(now, v.to)
	if v.to.isLeaving {
		m.startMoves(now, v.to)
	}
}

// reserveMemory reserves memory at the destination.
func (v *move) reserveMemory(tokens int) bool {
	if !v.to.engine.Reserve(tokens) {
		return false
	}
	v.engine, v.heldMemory = v.to.engine, tokens
	return true
}

// isDestinationValid reports whether the destination still runs the engine on
// which memory was reserved.
func (v *move) isDestinationValid() bool { return !v.to.isGone && v.to.engine == v.engine }

// releaseMove releases the memory and the migration slot of a move.
func (m *migrator) releaseMove(v *move) {
	if v.heldMemory > 0 {
		v.engine.Release(v.heldMemory)
		v.heldMemory = 0
	}
	m.slots.Release(upstreamName(v.from), v.call.sequence.ID)
}

// endMove ends a move and starts the entry's next one.
func (m *migrator) endMove(now float64, v *move) {
	m.releaseMove(v)
	if m.strategy != strategyOnce {
		m.startNextMove(now, v.from, v.entry)
	}
}
