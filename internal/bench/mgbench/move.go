package mgbench

import (
	"slices"

	"github.com/marjoramgauge/marjoramgauge/internal/bench/mgmodel"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgload"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgmigration"
)

// move is one generation's move.
type move struct {
	mgmigration.Move
	call     *call
	from, to *upstream
	entry    int
	engine   *mgmodel.Engine // at the destination, whose memory is held
	copied   int             // tokens that the destination has
	held     int             // of the destination's memory
}

// leave begins the moves away from an upstream.
func (m *moves) leave(now float64, u *upstream) {
	switch m.way {
	case wayStay:
	case wayOnce:
		for _, c := range slices.Clone(u.calls) {
			if c.produced > 0 {
				m.stopAtOnce(now, c)
			}
		}
	default:
		for entry := range m.counts {
			m.next(now, u, entry)
		}
	}
}

// stopAtOnce stops a generation and copies all of it.
func (m *moves) stopAtOnce(now float64, c *call) {
	v := m.newMove(c)
	if v.to = m.cheapest(v); v.to == nil {
		return
	}
	if !v.hold(c.held()) {
		return
	}
	v.Take(mgmigration.Reply{
		Outcome: mgmigration.Copied,
		Handle:  c.sequence.ID,
	})
	m.stop(now, v)
}

func (m *moves) newMove(c *call) *move {
	c.claimed = true
	return &move{
		call:  c,
		from:  c.upstream,
		entry: m.entryOf(c),
	}
}

// next begins an entry's next move away from u, or looks again later.
func (m *moves) next(now float64, u *upstream, entry int) {
	if u.gone || !u.leaving {
		return
	}
	c := m.first(now, u, entry)
	if c == nil {
		m.later(now, func(at float64) { m.next(at, u, entry) })
		return
	}
	to := m.place(now, c)
	if to == nil {
		m.later(now, func(at float64) { m.next(at, u, entry) })
		return
	}
	v := m.newMove(c)
	v.to = to
	m.copy(now, v)
}

func (m *moves) later(now float64, do func(at float64)) {
	m.driver.agenda.add(now+float64(mgmigration.RetrySpan), do)
}

// first returns the generation that an entry moves next.
func (m *moves) first(now float64, u *upstream, entry int) *call {
	var chosen *call
	for _, c := range u.calls {
		if c.claimed || c.produced == 0 || m.entryOf(c) != entry {
			continue
		}
		if chosen == nil || worth(now, c) > worth(now, chosen) {
			chosen = c
		}
	}
	return chosen
}

func worth(now float64, c *call) float64 {
	return mgmigration.Run{
		Prompt:  c.sequence.Prompt,
		Output:  c.expected(),
		Made:    c.produced,
		Running: millis(now - c.first),
	}.Worth()
}

// place returns where a generation goes, or nil while it is not its turn.
func (m *moves) place(now float64, c *call) *upstream {
	if m.way == waySelf {
		return m.cheapest(&move{
			call:  c,
			from:  c.upstream,
			entry: m.entryOf(c),
		})
	}
	ask := mgmigration.Ask{
		Source: name(c.upstream),
		Run:    c.sequence.ID,
		Worth:  worth(now, c),
	}
	query := m.copyQuery(c)
	for _, u := range m.driver.upstreams {
		if u.leaving {
			continue
		}
		ask.Places = append(ask.Places, mgmigration.Spot{
			Name: name(u),
			Cost: m.cost(u, m.entryOf(c), query),
			Span: m.span(c.upstream, u, c.held()),
		})
	}
	place, ok := m.turns.Ask(millis(now), ask)
	if !ok {
		return nil
	}
	return m.named(place)
}

func (m *moves) copyQuery(c *call) mgload.Query {
	query := m.query(c, m.zone(c.upstream.index))
	query.Copy = true
	return query
}

// cheapest returns the cheapest destination by what the entry knows.
func (m *moves) cheapest(v *move) *upstream {
	query := m.copyQuery(v.call)
	u, _ := least(m.driver.upstreams, func(u *upstream, _ *call) float64 {
		return m.cost(u, v.entry, query)
	})(0, v.call)
	return u
}

// span returns the time in ms that a copy of some tokens takes.
func (m *moves) span(from, to *upstream, tokens int) float64 {
	span := m.spec.Copy * float64(tokens)
	if m.zone(from.index) != m.zone(to.index) {
		return 2 * span
	}
	return span
}

// send copies tokens behind what the links carry already, and goes on at the end.
func (m *moves) send(now float64, v *move, tokens int, then func(at float64)) {
	begin := max(now, m.links[v.from.index], m.links[v.to.index])
	end := begin + m.span(v.from, v.to, tokens)
	m.links[v.from.index] = end
	m.links[v.to.index] = end
	m.driver.agenda.add(end, then)
}

// here reports whether the move's generation is still at its source.
func (v *move) here() bool {
	return v.call.upstream == v.from && (v.call.state == running || v.call.state == moving)
}

// fail takes that the destination had no room or left, and looks for another.
func (m *moves) fail(now float64, v *move) {
	v.call.claimed = false
	m.giveBack(v)
	m.later(now, func(at float64) { m.next(at, v.from, v.entry) })
}

// stop does the second step: the generation stands still until it goes on at
// the destination.
func (m *moves) stop(now float64, v *move) {
	c := v.call
	c.state = moving
	v.from.engine.Cancel(c.sequence.ID)
	m.send(now, v, max(c.held()-v.copied, 0), func(at float64) {
		if !v.here() || !v.there() {
			m.end(at, v) // without a destination its memory goes with its source
			return
		}
		m.driver.agenda.add(at+resumeSpan, func(at float64) { m.resume(at, v) })
	})
}

// resume goes on at the destination.
func (m *moves) resume(now float64, v *move) {
	c := v.call
	usable := v.here() && v.there()
	m.end(now, v)
	if !usable {
		return
	}
	m.driver.detach(c)
	m.driver.attach(c, v.to)
	c.state = running
	c.moved = true
	c.claimed = false
	if !v.to.engine.Resume(c.sequence, c.produced, 1) {
		panic("mgbench: the model refuses " + c.sequence.ID)
	}
	m.driver.wake(now, v.to)
	if v.to.leaving {
		m.leave(now, v.to)
	}
}

// hold takes memory at the destination.
func (v *move) hold(tokens int) bool {
	if !v.to.engine.Hold(tokens) {
		return false
	}
	v.engine, v.held = v.to.engine, tokens
	return true
}

// there reports whether the destination is still the engine that was chosen.
func (v *move) there() bool { return !v.to.gone && v.to.engine == v.engine }

// giveBack gives back the memory and the turn that a move holds.
func (m *moves) giveBack(v *move) {
	if v.held > 0 {
		v.engine.Release(v.held)
		v.held = 0
	}
	m.turns.End(name(v.from), v.call.sequence.ID)
}

// end ends a move and begins the entry's next one.
func (m *moves) end(now float64, v *move) {
	m.giveBack(v)
	if m.way != wayOnce {
		m.next(now, v.from, v.entry)
	}
}
