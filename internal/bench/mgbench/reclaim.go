package mgbench

import (
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/marjoramgauge/marjoramgauge/internal/bench/mgmodel"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgload"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgmigration"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgwaitlist"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

const (
	// resumeDelay is the time in ms from the end of a copy to the token that
	// follows it: the network paths between entry and engines, and one step.
	resumeDelay = 30.0
	// reportInterval is the interval in ms at which entries exchange the loads
	// that they sent.
	reportInterval = 200.0
	// foresightTime is how much earlier, in ms, the strategy with foresight
	// learns that an engine leaves.
	foresightTime = 1000.0
)

// migrator routes calls by the loads that all entries report, reclaims engines
// and migrates their generations.
type migrator struct {
	driver               *driver
	spec                 ReclaimSpec
	strategy             moveStrategy
	slots                mgmigration.Slots
	hub                  mgload.Hub
	counts               []mgload.Tracker // by entry
	otherReports         []mgload.Report
	linkFreeAt           []float64 // by upstream, time at which its link is free
	random               *rand.Rand
	waitingList          *mgwaitlist.WaitingList // nil if requests wait at engines
	isPlacementScheduled bool                    // the next placement round is scheduled
}

func newMigrator(d *driver, strategy moveStrategy, seed uint64) *migrator {
	spec := d.workload.scenario.Reclaim
	entries := max(spec.Entries, 1)
	m := &migrator{
		driver:       d,
		spec:         spec,
		strategy:     strategy,
		counts:       make([]mgload.Tracker, entries),
		otherReports: make([]mgload.Report, entries),
		linkFreeAt:   make([]float64, len(d.upstreams)),
		random:       rand.New(rand.NewPCG(seed, randomStream+1)),
	}
	if strategy == strategyWaitingList {
		m.waitingList = &mgwaitlist.WaitingList{}
	}
	return m
}

// scheduleAll schedules the reclaims and the reports between entries.
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

// exchangeReports exchanges the loads that the entries sent.
func (m *migrator) exchangeReports(now float64) {
	for i := range m.counts {
		m.otherReports[i] = m.hub.Exchange(toClock(now), strconv.Itoa(i), mgload.Report{
			Loads: m.counts[i].Loads(),
		})
	}
}

// reclaim gives notice to randomly chosen engines.
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

// removeEngine removes an engine. Its remaining generations are lost for good.
func (m *migrator) removeEngine(now float64, u *upstream) {
	for _, c := range slices.Clone(u.calls) {
		m.driver.meter.countLostForGood(now, c)
		m.slots.Release(upstreamName(u), c.sequence.ID)
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

// expectedOutputShare is the fraction of an expected output that is counted as
// used memory: what a generation has produced on average while it runs.
const expectedOutputShare = 0.5

// countedMemory returns the tokens of memory that load reports count for a
// call.
func (c *call) countedMemory() int {
	return c.sequence.Prompt + int(expectedOutputShare*float64(c.expectedOutput()))
}

// addToWaitingList adds a call to the waiting list, and returns false if calls
// wait at engines instead.
func (m *migrator) addToWaitingList(now float64, c *call) bool {
	if m == nil || m.waitingList == nil {
		return false
	}
	promptTime := float64(c.sequence.Prompt)/promptReadRate + firstTokenSlack
	m.waitingList.Add(mgwaitlist.Request{
		Name:     c.sequence.ID,
		Account:  m.driver.workload.scenario.Accounts[c.account].Name,
		Need:     c.countedMemory(),
		Duration: toClock(promptTime + tokenInterval*float64(c.expectedOutput())),
		Due:      toClock(c.arrival + c.spec.FirstTokenLimit*1000 - promptTime),
		Arrived:  toClock(c.arrival),
		GiveUpAt: toClock(c.deadline),
	})
	m.placeWaiting(now)
	return true
}

// Times of the engine model by which calls on the waiting list are placed, in
// ms unless noted otherwise.
const (
	promptReadRate    = 14.0 // prompt tokens that are computed per ms
	firstTokenSlack   = 60.0 // from a call's placement to its first token, without computing the prompt
	tokenInterval     = 8.0  // per output token
	grantDelay        = 2.0  // from a grant to its use
	placementInterval = 10.0 // between two placement rounds
)

// placeWaiting assigns placements to calls on the waiting list.
func (m *migrator) placeWaiting(now float64) {
	var placements []mgwaitlist.Place
	for _, u := range m.driver.upstreams {
		if u.isLeaving {
			continue
		}
		row := m.counts[0].Load(upstreamName(u)).Add(m.otherReports[0].Loads[upstreamName(u)])
		placements = append(placements, mgwaitlist.Place{
			Name:    upstreamName(u),
			Cost:    mgload.Cost(mgload.State{Load: row}, mgload.Query{}),
			Free:    u.engine.Spec().Memory - row.Memory,
			Pending: row.Pending,
		})
	}
	for _, grant := range m.waitingList.Assign(toClock(now), placements) {
		if grant.Place == "" {
			continue // given up at its deadline, when its client hangs up anyway
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

// upstreamByName returns the upstream that a decision names.
func (m *migrator) upstreamByName(name string) *upstream {
	index, err := strconv.Atoi(name)
	if err != nil {
		panic("mgbench: unknown placement: " + name)
	}
	return m.driver.upstreams[index]
}

// removeWaiting removes a call from the waiting list.
func (m *migrator) removeWaiting(c *call) {
	if m != nil && m.waitingList != nil {
		m.waitingList.Remove(c.sequence.ID)
	}
}

// countCall adds a call to the load of its upstream, or subtracts it if sign
// is -1.
func (m *migrator) countCall(c *call, sign int) {
	if m == nil {
		return
	}
	pending := 0
	if c.produced == 0 {
		pending = c.sequence.Prompt
	}
	m.counts[m.entryOf(c)].Add(upstreamName(c.upstream), mgload.Load{
		Runs:    sign,
		Pending: sign * pending,
		Memory:  sign * c.countedMemory(),
	})
}

// countPromptRead subtracts a call's prompt from the pending tokens of its
// upstream, once its first token is produced.
func (m *migrator) countPromptRead(c *call) {
	if m != nil && c.produced == 0 {
		m.counts[m.entryOf(c)].Add(upstreamName(c.upstream), mgload.Load{
			Pending: -c.sequence.Prompt,
		})
	}
}

// expectedOutput returns the output length that entries assume, in tokens.
func (c *call) expectedOutput() int { return int(c.spec.Output.Median) }

// route chooses the upstream of the lowest cost for a call.
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

// cost returns the cost of a request at an upstream according to the load that
// an entry knows.
func (m *migrator) cost(u *upstream, entry int, query mgload.Query) float64 {
	row := m.counts[entry].Load(upstreamName(u)).Add(m.otherReports[entry].Loads[upstreamName(u)])
	return mgload.Cost(mgload.State{
		Load: row,
		Zone: m.zone(u.index),
	}, query)
}

// copyWhileRunning is the first phase of a move: it copies the memory produced
// so far while the generation continues to run.
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
			v.HandleReply(mgmigration.Reply{
				Outcome: mgmigration.Copied,
				Handle:  v.call.sequence.ID,
			})
			m.stopAndCopyRest(at, v)
		}
	})
}
