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
	resumeDelay = 30.0
	// hubSpan is how often entries tell each other what they sent, in ms.
	reportInterval = 200.0
	// foresight is how much earlier the oracle of moves knows of a leaving, in ms.
	foresightTime = 1000.0
)

// moves places calls by what all entries sent, takes engines away and moves
// their generations.
type migrator struct {
	driver               *driver
	spec                 ReclaimSpec
	strategy             moveStrategy
	slots                mgmigration.Turns
	hub                  mgload.Hub
	counts               []mgload.Count // by entry
	otherReports         []mgload.Report
	linkFreeAt           []float64 // by upstream, when its link is free
	random               *rand.Rand
	waitingList          *mgroom.Room // nil where requests wait at engines
	isPlacementScheduled bool         // the room is looked at again soon
}

func newMigrator(d *driver, strategy moveStrategy, seed uint64) *migrator {
	spec := d.workload.scenario.Reclaim
	entries := max(spec.Entries, 1)
	m := &migrator{
		driver:       d,
		spec:         spec,
		strategy:     strategy,
		counts:       make([]mgload.Count, entries),
		otherReports: make([]mgload.Report, entries),
		linkFreeAt:   make([]float64, len(d.upstreams)),
		random:       rand.New(rand.NewPCG(seed, randomStream+1)),
	}
	if strategy == strategyWaitingList {
		m.waitingList = &mgroom.Room{}
	}
	return m
}

// enter puts reclaims and the entries' messages on the agenda.
func (m *migrator) scheduleAll() {
	duration := m.driver.workload.scenario.Duration * 1000
	for at := 0.0; at < duration; at += reportInterval {
		m.driver.events.schedule(at, m.exchangeReports)
	}
	if m.spec.Interval == 0 {
		return
	}
	for at := m.spec.Interval * 500; at < duration; at += m.spec.Interval * 1000 {
		m.driver.events.schedule(at, m.reclaim)
	}
}

// tell exchanges what the entries sent.
func (m *migrator) exchangeReports(now float64) {
	for i := range m.counts {
		m.otherReports[i] = m.hub.Tell(toClock(now), strconv.Itoa(i), mgload.Report{
			Rows: m.counts[i].Rows(),
		})
	}
}

// reclaim gives some engines notice.
func (m *migrator) reclaim(now float64) {
	remaining := m.spec.Engines
	for _, i := range m.random.Perm(len(m.driver.upstreams)) {
		u := m.driver.upstreams[i]
		if remaining == 0 || u.isLeaving {
			continue
		}
		remaining--
		notice := (m.spec.MinNotice + m.spec.MaxExtraNotice*m.random.Float64()) * 1000
		if m.strategy == strategyForeseen {
			notice += foresightTime
		}
		m.driver.noticeLeaving(now, u)
		m.startMoves(now, u)
		m.driver.events.schedule(now+notice, func(at float64) { m.removeEngine(at, u) })
	}
}

// take takes an engine away; what is left there is cut.
func (m *migrator) removeEngine(now float64, u *upstream) {
	for _, c := range slices.Clone(u.calls) {
		m.driver.meter.countLostForGood(now, c)
		m.slots.End(upstreamName(u), c.sequence.ID)
		m.driver.removeFromUpstream(now, c)
		c.state = ended
	}
	u.isGone = true
	m.driver.events.schedule(now+m.spec.Downtime*1000, func(float64) {
		u.engine = mgmodel.New(m.driver.workload.scenario.Model)
		u.isGone = false
		u.isLeaving = false
	})
}

func upstreamName(u *upstream) string { return strconv.Itoa(u.index) }

func (m *migrator) entryOf(c *call) int { return c.index % len(m.counts) }

// memoryPart is the part of an expected output that counts as taken: what a
// generation has made on average while it runs.
const expectedOutputShare = 0.5

// need returns the tokens of memory that a call is counted with.
func (c *call) countedMemory() int {
	return c.sequence.Prompt + int(expectedOutputShare*float64(c.expectedOutput()))
}

// hold has a call wait for its place, unless calls wait at engines.
func (m *migrator) addToWaitingList(now float64, c *call) bool {
	if m == nil || m.waitingList == nil {
		return false
	}
	promptTime := float64(c.sequence.Prompt)/promptReadRate + firstTokenSlack
	m.waitingList.Add(mgroom.Wait{
		Name:    c.sequence.ID,
		Account: m.driver.workload.scenario.Accounts[c.account].Name,
		Need:    c.countedMemory(),
		Span:    toClock(promptTime + tokenInterval*float64(c.expectedOutput())),
		Due:     toClock(c.arrival + c.spec.FirstTokenLimit*1000 - promptTime),
		Came:    toClock(c.arrival),
		End:     toClock(c.deadline),
	})
	m.placeWaiting(now)
	return true
}

// The times by which a call is held, in ms: those of the engines' model.
const (
	promptReadRate    = 14.0 // prompt tokens that are read in a ms
	firstTokenSlack   = 60.0 // between a call's place and its first token, beside the reading
	tokenInterval     = 8.0  // of each token
	grantDelay        = 2.0  // until a place that was given is used
	placementInterval = 10.0 // between two looks
)

// look gives places to calls that wait.
func (m *migrator) placeWaiting(now float64) {
	var placements []mgroom.Place
	for _, u := range m.driver.upstreams {
		if u.isLeaving {
			continue
		}
		row := m.counts[0].Row(upstreamName(u)).Add(m.otherReports[0].Rows[upstreamName(u)])
		placements = append(placements, mgroom.Place{
			Name:    upstreamName(u),
			Cost:    mgload.Cost(mgload.State{Row: row}, mgload.Query{}),
			Free:    u.engine.Spec().Memory - row.Memory,
			Pending: row.Pending,
		})
	}
	for _, grant := range m.waitingList.Look(toClock(now), placements) {
		if grant.Place == "" {
			continue // given up at its deadline, at which its caller hangs up
		}
		c, u := m.driver.callByID(grant.Name), m.upstreamByName(grant.Place)
		m.driver.events.schedule(now+grantDelay, func(at float64) { m.driver.submit(at, c, u) })
	}
	if !m.isPlacementScheduled && m.waitingList.Len() > 0 {
		m.isPlacementScheduled = true
		m.driver.events.schedule(now+placementInterval, func(at float64) {
			m.isPlacementScheduled = false
			m.placeWaiting(at)
		})
	}
}

// named returns the upstream that a decision names.
func (m *migrator) upstreamByName(name string) *upstream {
	index, err := strconv.Atoi(name)
	if err != nil {
		panic("mgbench: a place that the driver didn't name: " + name)
	}
	return m.driver.upstreams[index]
}

// drop forgets a call that waits for its place.
func (m *migrator) removeWaiting(c *call) {
	if m != nil && m.waitingList != nil {
		m.waitingList.Drop(c.sequence.ID)
	}
}

// carry counts a call at its upstream, or takes it away from there.
func (m *migrator) countCall(c *call, sign int) {
	if m == nil {
		return
	}
	pending := 0
	if c.produced == 0 {
		pending = c.sequence.Prompt
	}
	m.counts[m.entryOf(c)].Add(upstreamName(c.upstream), mgload.Row{
		Runs:    sign,
		Pending: sign * pending,
		Memory:  sign * c.countedMemory(),
	})
}

// read counts a call's prompt as read, before its first token.
func (m *migrator) countPromptRead(c *call) {
	if m != nil && c.produced == 0 {
		m.counts[m.entryOf(c)].Add(upstreamName(c.upstream), mgload.Row{
			Pending: -c.sequence.Prompt,
		})
	}
}

// expected returns the output that entries expect, tokens.
func (c *call) expectedOutput() int { return int(c.spec.Output.Median) }

// route sends a call to the cheapest upstream.
func (m *migrator) route(_ mgclock.Millis, c *call) (*upstream, *mgproblem.Problem) {
	entry := m.entryOf(c)
	query := m.query(c, m.zone(entry))
	return lowestCost(m.driver.upstreams, func(u *upstream, _ *call) float64 {
		return m.cost(u, entry, query)
	})(0, c)
}

func (m *migrator) zone(index int) string { return strconv.Itoa(index % max(m.spec.Zones, 1)) }

func (m *migrator) query(c *call, zone string) mgload.Query {
	return mgload.Query{
		Zone:     zone,
		Memory:   c.countedMemory(),
		Capacity: m.driver.upstreams[0].engine.Spec().Memory,
		Tokens:   c.expectedOutput(),
	}
}

// cost returns what a request costs at an upstream by what an entry knows.
func (m *migrator) cost(u *upstream, entry int, query mgload.Query) float64 {
	row := m.counts[entry].Row(upstreamName(u)).Add(m.otherReports[entry].Rows[upstreamName(u)])
	return mgload.Cost(mgload.State{
		Row:  row,
		Zone: m.zone(u.index),
	}, query)
}

// copy does the first step, while the generation goes on.
func (m *migrator) copyWhileRunning(now float64, v *move) {
	if !v.reserveMemory(v.call.heldTokens()) {
		m.abandonMove(now, v)
		return
	}
	v.copied = v.call.heldTokens()
	m.transfer(now, v, v.copied, func(at float64) {
		switch {
		case !v.isAtSource():
			m.endMove(at, v)
		case !v.isDestinationValid():
			m.abandonMove(at, v)
		default:
			v.Take(mgmigration.Reply{
				Outcome: mgmigration.Copied,
				Handle:  v.call.sequence.ID,
			})
			m.stopAndCopyRest(at, v)
		}
	})
}
