package mgbench

import (
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/marjoramgauge/marjoramgauge/internal/bench/mgmodel"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgload"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgmigration"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgroom"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

const (
	// resumeSpan is the time from the end of a copy to the first token that
	// follows it: the ways between entry and engines, and a step, in ms.
	resumeSpan = 30.0
	// hubSpan is how often entries tell each other what they sent, in ms.
	hubSpan = 200.0
	// foresight is how much earlier the oracle of moves knows of a leaving, in ms.
	foresight = 1000.0
)

// moves places calls by what all entries sent, takes engines away and moves
// their generations.
type moves struct {
	driver *driver
	spec   ReclaimSpec
	way    way
	turns  mgmigration.Turns
	hub    mgload.Hub
	counts []mgload.Count // by entry
	others []mgload.Report
	links  []float64 // by upstream, when its link is free
	random *rand.Rand
	room   *mgroom.Room // nil where requests wait at engines
	looks  bool         // the room is looked at again soon
}

func newMoves(d *driver, w way, seed uint64) *moves {
	spec := d.workload.scenario.Reclaim
	entries := max(spec.Entries, 1)
	m := &moves{
		driver: d,
		spec:   spec,
		way:    w,
		counts: make([]mgload.Count, entries),
		others: make([]mgload.Report, entries),
		links:  make([]float64, len(d.upstreams)),
		random: rand.New(rand.NewPCG(seed, stream+1)),
	}
	if w == wayRoom {
		m.room = &mgroom.Room{}
	}
	return m
}

// enter puts reclaims and the entries' messages on the agenda.
func (m *moves) enter() {
	span := m.driver.workload.scenario.Span * 1000
	for at := 0.0; at < span; at += hubSpan {
		m.driver.agenda.add(at, m.tell)
	}
	if m.spec.Every == 0 {
		return
	}
	for at := m.spec.Every * 500; at < span; at += m.spec.Every * 1000 {
		m.driver.agenda.add(at, m.reclaim)
	}
}

// tell exchanges what the entries sent.
func (m *moves) tell(now float64) {
	for i := range m.counts {
		m.others[i] = m.hub.Tell(millis(now), strconv.Itoa(i), mgload.Report{
			Rows: m.counts[i].Rows(),
		})
	}
}

// reclaim gives some engines notice.
func (m *moves) reclaim(now float64) {
	left := m.spec.Engines
	for _, i := range m.random.Perm(len(m.driver.upstreams)) {
		u := m.driver.upstreams[i]
		if left == 0 || u.leaving {
			continue
		}
		left--
		notice := (m.spec.Notice + m.spec.More*m.random.Float64()) * 1000
		if m.way == wayForeseen {
			notice += foresight
		}
		m.driver.notice(now, u)
		m.leave(now, u)
		m.driver.agenda.add(now+notice, func(at float64) { m.take(at, u) })
	}
}

// take takes an engine away; what is left there is cut.
func (m *moves) take(now float64, u *upstream) {
	for _, c := range slices.Clone(u.calls) {
		m.driver.meter.sever(now, c)
		m.turns.End(name(u), c.sequence.ID)
		m.driver.drop(now, c)
		c.state = ended
	}
	u.gone = true
	m.driver.agenda.add(now+m.spec.Away*1000, func(float64) {
		u.engine = mgmodel.New(m.driver.workload.scenario.Model)
		u.gone = false
		u.leaving = false
	})
}

func name(u *upstream) string { return strconv.Itoa(u.index) }

func (m *moves) entryOf(c *call) int { return c.index % len(m.counts) }

// memoryPart is the part of an expected output that counts as taken: what a
// generation has made on average while it runs.
const memoryPart = 0.5

// need returns the tokens of memory that a call is counted with.
func (c *call) need() int { return c.sequence.Prompt + int(memoryPart*float64(c.expected())) }

// hold has a call wait for its place, unless calls wait at engines.
func (m *moves) hold(now float64, c *call) bool {
	if m == nil || m.room == nil {
		return false
	}
	read := float64(c.sequence.Prompt)/readRate + firstSlack
	m.room.Add(mgroom.Wait{
		Name:    c.sequence.ID,
		Account: m.driver.workload.scenario.Accounts[c.account].Name,
		Need:    c.need(),
		Span:    millis(read + tokenSpan*float64(c.expected())),
		Due:     millis(c.arrival + c.spec.Aim*1000 - read),
		Came:    millis(c.arrival),
		End:     millis(c.deadline),
	})
	m.look(now)
	return true
}

// The times by which a call is held, in ms: those of the engines' model.
const (
	readRate   = 14.0 // prompt tokens that are read in a ms
	firstSlack = 60.0 // between a call's place and its first token, beside the reading
	tokenSpan  = 8.0  // of each token
	grantSpan  = 2.0  // until a place that was given is used
	lookSpan   = 10.0 // between two looks
)

// look gives places to calls that wait.
func (m *moves) look(now float64) {
	var places []mgroom.Place
	for _, u := range m.driver.upstreams {
		if u.leaving {
			continue
		}
		row := m.counts[0].Row(name(u)).Add(m.others[0].Rows[name(u)])
		places = append(places, mgroom.Place{
			Name:    name(u),
			Cost:    mgload.Cost(mgload.State{Row: row}, mgload.Query{}),
			Free:    u.engine.Spec().Memory - row.Memory,
			Pending: row.Pending,
		})
	}
	for _, g := range m.room.Look(millis(now), places) {
		if g.Place == "" {
			continue // given up at its deadline, at which its caller hangs up
		}
		c, u := m.driver.named(g.Name), m.named(g.Place)
		m.driver.agenda.add(now+grantSpan, func(at float64) { m.driver.submit(at, c, u) })
	}
	if !m.looks && m.room.Len() > 0 {
		m.looks = true
		m.driver.agenda.add(now+lookSpan, func(at float64) {
			m.looks = false
			m.look(at)
		})
	}
}

// named returns the upstream that a decision names.
func (m *moves) named(name string) *upstream {
	index, err := strconv.Atoi(name)
	if err != nil {
		panic("mgbench: a place that the driver didn't name: " + name)
	}
	return m.driver.upstreams[index]
}

// drop forgets a call that waits for its place.
func (m *moves) drop(c *call) {
	if m != nil && m.room != nil {
		m.room.Drop(c.sequence.ID)
	}
}

// carry counts a call at its upstream, or takes it away from there.
func (m *moves) carry(c *call, sign int) {
	if m == nil {
		return
	}
	pending := 0
	if c.produced == 0 {
		pending = c.sequence.Prompt
	}
	m.counts[m.entryOf(c)].Add(name(c.upstream), mgload.Row{
		Runs:    sign,
		Pending: sign * pending,
		Memory:  sign * c.need(),
	})
}

// read counts a call's prompt as read, before its first token.
func (m *moves) read(c *call) {
	if m != nil && c.produced == 0 {
		m.counts[m.entryOf(c)].Add(name(c.upstream), mgload.Row{
			Pending: -c.sequence.Prompt,
		})
	}
}

// expected returns the output that entries expect, tokens.
func (c *call) expected() int { return int(c.spec.Output.Median) }

// route sends a call to the cheapest upstream.
func (m *moves) route(_ mgclock.Millis, c *call) (*upstream, *mgproblem.Problem) {
	entry := m.entryOf(c)
	query := m.query(c, m.zone(entry))
	return least(m.driver.upstreams, func(u *upstream, _ *call) float64 {
		return m.cost(u, entry, query)
	})(0, c)
}

func (m *moves) zone(index int) string { return strconv.Itoa(index % max(m.spec.Zones, 1)) }

func (m *moves) query(c *call, zone string) mgload.Query {
	return mgload.Query{
		Zone:     zone,
		Memory:   c.need(),
		Capacity: m.driver.upstreams[0].engine.Spec().Memory,
		Tokens:   c.expected(),
	}
}

// cost returns what a request costs at an upstream by what an entry knows.
func (m *moves) cost(u *upstream, entry int, query mgload.Query) float64 {
	row := m.counts[entry].Row(name(u)).Add(m.others[entry].Rows[name(u)])
	return mgload.Cost(mgload.State{
		Row:  row,
		Zone: m.zone(u.index),
	}, query)
}

// copy does the first step, while the generation goes on.
func (m *moves) copy(now float64, v *move) {
	if !v.hold(v.call.held()) {
		m.fail(now, v)
		return
	}
	v.copied = v.call.held()
	m.send(now, v, v.copied, func(at float64) {
		switch {
		case !v.here():
			m.end(at, v)
		case !v.there():
			m.fail(at, v)
		default:
			v.Take(mgmigration.Reply{
				Outcome: mgmigration.Copied,
				Handle:  v.call.sequence.ID,
			})
			m.stop(at, v)
		}
	})
}
