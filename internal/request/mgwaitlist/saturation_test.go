package mgwaitlist

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/bench/mgmodel"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgload"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// callKind is a kind of request of the simulated callers.
type callKind struct {
	rank         int
	share        float64 // of all requests
	prompt       float64 // mean, tokens
	promptSpread float64 // standard deviation of the logarithm
	output       float64 // mean, tokens
	outputSpread float64
	maxOutput    int
	goal         mgclock.Millis // until the first token
	deadline     mgclock.Millis
}

// The kinds of requests. Their mix takes about as much of the engines' prefill time as of their
// memory.
const (
	report = iota
	note
	kindCount
)

var callKinds = [kindCount]callKind{
	report: {
		rank:         0,
		share:        0.472,
		prompt:       3079,
		promptSpread: 0.35,
		output:       748,
		outputSpread: 1.092,
		maxOutput:    1768,
		goal:         4000,
		deadline:     39_000,
	},
	note: {
		rank:         1,
		share:        0.528,
		prompt:       2550,
		promptSpread: 0.6,
		output:       9,
		outputSpread: 1.157,
		maxOutput:    32,
		goal:         1500,
		deadline:     6000,
	},
}

const (
	simulatedEngines = 12
	simulatedEntries = 8
	simulatedMemory  = 26_868
	simulatedSpan    = 60 * mgclock.Second
	warmUp           = 10 * mgclock.Second
	// saturation is the number of requests a second at which the engines just serve all on time.
	saturation = 18.0
	// lateWorth is the worth of a late answer, relative to one on time.
	lateWorth = 0.2
)

// simulatedCaller is a caller and its request.
type simulatedCaller struct {
	kind         int
	prompt       int
	output       int
	hint         int            // its own estimate of output
	arrived      mgclock.Millis // of its first try
	tries        int
	entry        int
	isPending    bool // its prompt counts as unread
	firstTokenAt mgclock.Millis
	isPreempted  bool
	isComplete   bool
}

// size is the size of the caller's answer, relative to the mean of its kind.
func (c *simulatedCaller) size() float64 {
	k := callKinds[c.kind]
	return 0.3 + 0.7*float64(c.prompt+10*c.output)/(k.prompt+10*k.output)
}

func (c *simulatedCaller) isOnTime() bool {
	return c.isComplete && !c.isPreempted && c.firstTokenAt <= c.arrived+callKinds[c.kind].goal
}

func (c *simulatedCaller) memory() int { return c.prompt + int(OutputShare*float64(c.hint)) }

// saturationModel simulates a service's engines, the entries that send requests to them, and a
// hub that assigns placements by the entries' reports. Callers who are refused come back once.
type saturationModel struct {
	random   *rand.Rand
	list     WaitingList
	engines  [simulatedEngines]*mgmodel.Engine
	nextStep [simulatedEngines]float64
	entries  [simulatedEntries]mgload.Tracker
	hub      mgload.Hub
	callers  []*simulatedCaller
	byName   map[string]*simulatedCaller
	returns  map[mgclock.Millis][]*simulatedCaller
	isOracle bool // outputs are known
	reclaims bool // a sixth of the engines is replaced every 3.3 s
	leaving  [simulatedEngines]bool
	nextLoss int
}

func newSaturationModel(seed uint64) *saturationModel {
	m := &saturationModel{
		random:  rand.New(rand.NewPCG(seed, 7)),
		byName:  map[string]*simulatedCaller{},
		returns: map[mgclock.Millis][]*simulatedCaller{},
	}
	for i := range m.engines {
		m.engines[i] = newSimulatedEngine()
	}
	return m
}

func newSimulatedEngine() *mgmodel.Engine {
	return mgmodel.New(mgmodel.Spec{
		Memory:       simulatedMemory,
		MaxBatch:     24,
		MaxChunk:     112,
		CacheTokens:  16,
		BlockTokens:  16,
		StepCost:     7,
		SequenceCost: 0.12,
		ContextCost:  0.004,
		PrefillCost:  1000.0 / 14,
	})
}

// run simulates callers who send rate new requests a second.
func (m *saturationModel) run(rate float64) {
	nextArrival := 0.0
	for now := mgclock.Millis(0); now < simulatedSpan+10*mgclock.Second; now++ {
		for now < simulatedSpan && nextArrival <= float64(now) {
			m.arrive(now)
			nextArrival += m.random.ExpFloat64() * 1000 / rate
		}
		for _, c := range m.returns[now] {
			m.send(now, c)
		}
		delete(m.returns, now)
		for i := range m.engines {
			if m.nextStep[i] <= float64(now) {
				m.step(now, i)
			}
		}
		m.report(now)
		if m.reclaims && now%3300 == 1650 {
			m.giveNotice()
		}
		if m.reclaims && now%3300 == 3300-1 {
			m.replaceLeaving()
		}
		if now%10 == 0 {
			m.place(now)
		}
	}
}

func (m *saturationModel) arrive(now mgclock.Millis) {
	kind := report
	if m.random.Float64() >= callKinds[report].share {
		kind = note
	}
	k := callKinds[kind]
	c := &simulatedCaller{
		kind:    kind,
		prompt:  min(max(m.logNormal(k.prompt, k.promptSpread), 16), 6000),
		output:  min(max(m.logNormal(k.output, k.outputSpread), 1), k.maxOutput),
		arrived: now,
	}
	c.hint = c.output
	if !m.isOracle {
		c.hint = min(max(m.logNormal(float64(c.output)*1.4, 0.8), 1), k.maxOutput)
	}
	m.callers = append(m.callers, c)
	m.send(now, c)
}

func (m *saturationModel) logNormal(mean, spread float64) int {
	return int(mean * math.Exp(spread*m.random.NormFloat64()-spread*spread/2))
}

// send adds the caller's request to the waiting list. Its time counts from its first try.
func (m *saturationModel) send(now mgclock.Millis, c *simulatedCaller) {
	k := callKinds[c.kind]
	c.tries++
	c.entry = m.random.IntN(simulatedEntries)
	name := strconv.Itoa(len(m.byName))
	m.byName[name] = c
	promptTime := mgclock.Millis(float64(c.prompt)/mgload.ReadRate) + 100
	m.list.Add(Request{
		Name:     name,
		Account:  strconv.Itoa(len(m.byName) % 24),
		Rank:     k.rank,
		Need:     c.memory(),
		Output:   c.hint,
		Duration: promptTime + 9*mgclock.Millis(c.hint),
		Due:      c.arrived + k.goal - promptTime,
		Arrived:  c.arrived,
		GiveUpAt: now + 3*k.goal,
	})
}

func engineName(i int) string { return strconv.Itoa(i) }

// step runs one iteration of an engine.
func (m *saturationModel) step(now mgclock.Millis, i int) {
	result := m.engines[i].Step()
	end := now + max(mgclock.Millis(result.Duration()), 1)
	for _, token := range result.Tokens() {
		c := m.byName[token.ID()]
		if c.firstTokenAt == 0 {
			c.firstTokenAt = end
		}
		if c.isPending {
			c.isPending = false
			m.entries[c.entry].Add(engineName(i), mgload.Load{
				Pending: -c.prompt,
			})
		}
	}
	for _, name := range result.Finished() {
		c := m.byName[name]
		c.isComplete = true
		m.entries[c.entry].Add(engineName(i), mgload.Load{
			Runs:   -1,
			Memory: -c.memory(),
		})
	}
	for _, name := range result.Preempted() {
		m.byName[name].isPreempted = true
	}
	m.nextStep[i] = float64(end)
}

// report has one entry after another report its load to the hub, each five times a second.
func (m *saturationModel) report(now mgclock.Millis) {
	for entry := 1; entry < simulatedEntries; entry++ {
		if int(now)%200 == entry*200/simulatedEntries {
			m.hub.Exchange(now, strconv.Itoa(entry), mgload.Report{
				Loads: m.entries[entry].Loads(),
			})
		}
	}
}

// giveNotice has a sixth of the engines leave. Their runs end there: what is measured is the
// capacity that is left, and not moves.
func (m *saturationModel) giveNotice() {
	for range simulatedEngines / 6 {
		m.leaving[m.nextLoss%simulatedEngines] = true
		m.nextLoss++
	}
}

func (m *saturationModel) replaceLeaving() { m.leaving = [simulatedEngines]bool{} }

// place assigns the engines' capacity to the waiting requests.
func (m *saturationModel) place(now mgclock.Millis) {
	others := m.hub.Others(now, "0")
	var places []Place
	for i := range m.engines {
		if m.leaving[i] {
			continue
		}
		load := m.entries[0].Load(engineName(i)).Add(others.Loads[engineName(i)])
		places = append(places, Place{
			Name:     engineName(i),
			Cost:     mgload.Cost(mgload.State{Load: load}, mgload.Query{}),
			Free:     simulatedMemory - load.Memory,
			Capacity: simulatedMemory,
			Pending:  load.Pending,
		})
	}
	for _, g := range m.list.Assign(now, places) {
		c := m.byName[g.Name]
		if g.Place == "" {
			m.refuse(now, c, g.Retry)
			continue
		}
		i, err := strconv.Atoi(g.Place)
		if err != nil {
			panic("unknown place: " + g.Place)
		}
		c.isPending = true
		m.entries[c.entry].Add(g.Place, mgload.Load{
			Runs:    1,
			Pending: c.prompt,
			Memory:  c.memory(),
		})
		m.engines[i].Add(mgmodel.Sequence{
			ID:       g.Name,
			Prompt:   c.prompt,
			Output:   c.output,
			Priority: 0,
		})
	}
}

// refuse has a caller come back once, after the time that it was given, but after a third of its
// time left at most.
func (m *saturationModel) refuse(now mgclock.Millis, c *simulatedCaller, retry mgclock.Millis) {
	left := c.arrived + callKinds[c.kind].deadline - now
	if c.tries > 1 || left <= 0 {
		return
	}
	at := now + max(min(retry, left/3), 1)
	m.returns[at] = append(m.returns[at], c)
}

// outcome is what the callers of a kind got.
type outcome struct {
	asked         float64
	served        float64
	onTime        float64
	worth         float64
	largestServed float64 // part of the largest tenth that was served
}

func (m *saturationModel) outcome(kind int) outcome {
	var o outcome
	var callers []*simulatedCaller
	for _, c := range m.callers {
		if c.kind != kind || c.arrived < warmUp {
			continue
		}
		callers = append(callers, c)
		o.asked++
		switch {
		case c.isOnTime():
			o.served++
			o.onTime++
			o.worth += c.size()
		case c.isComplete:
			o.served++
			o.worth += lateWorth * c.size()
		}
	}
	slices.SortFunc(callers, func(a, b *simulatedCaller) int { return cmp.Compare(b.size(), a.size()) })
	largest := callers[:len(callers)/10]
	for _, c := range largest {
		if c.isComplete {
			o.largestServed += 1 / float64(len(largest))
		}
	}
	return o
}

// add sums up the outcomes of several seeds.
func (o outcome) add(p outcome, runs float64) outcome {
	return outcome{
		asked:         o.asked + p.asked/runs,
		served:        o.served + p.served/runs,
		onTime:        o.onTime + p.onTime/runs,
		worth:         o.worth + p.worth/runs,
		largestServed: o.largestServed + p.largestServed/runs,
	}
}

// loadCurve returns the outcomes of the kinds at multiples of saturation.
func loadCurve(loads []float64, change func(*saturationModel)) [][kindCount]outcome {
	const seeds = 2
	curve := make([][kindCount]outcome, len(loads))
	for i, load := range loads {
		for seed := range uint64(seeds) {
			m := newSaturationModel(seed)
			change(m)
			m.run(load * saturation)
			for kind := range curve[i] {
				curve[i][kind] = curve[i][kind].add(m.outcome(kind), seeds)
			}
		}
	}
	return curve
}

var testLoads = []float64{0.8, 1, 1.3, 1.6, 2, 3}

func logCurve(t *testing.T, name string, curve [][kindCount]outcome) {
	t.Helper()
	for i, row := range curve {
		text := ""
		for _, o := range row {
			text += fmt.Sprintf("; asked %.0f, served %.0f, on time %.0f, worth %.0f, largest served %.2f", o.asked, o.served, o.onTime, o.worth, o.largestServed)
		}
		t.Logf("%s, load %.1f%s", name, testLoads[i], text)
	}
}

// Beyond saturation, requests that can't be on time must not take the capacity of those that can:
// fewer answers would be on time the more callers there are. Nor may the largest be starved.
func TestServedRateFallsBeyondSaturation(t *testing.T) {
	cases := []struct {
		name   string
		change func(m *saturationModel)
	}{
		{
			name:   "steady engines",
			change: func(*saturationModel) {},
		},
		{
			name:   "a sixth of the engines replaced every 3.3 s",
			change: func(m *saturationModel) { m.reclaims = true },
		},
	}
	Convey("With admission", t, func() {
		for _, c := range cases {
			Convey("and "+c.name+", answers on time and their worth don't fall with the load", func() {
				curve := loadCurve(testLoads, func(m *saturationModel) {
					c.change(m)
					m.list.EnableAdmission()
				})
				logCurve(t, c.name, curve)
				maxOnTime, maxWorth := 0.0, 0.0
				for _, row := range curve {
					onTime, worth := row[report].onTime+row[note].onTime, row[report].worth+row[note].worth
					maxOnTime, maxWorth = max(maxOnTime, onTime), max(maxWorth, worth)
					So(onTime, ShouldBeGreaterThanOrEqualTo, 0.95*maxOnTime)
					So(worth, ShouldBeGreaterThanOrEqualTo, 0.95*maxWorth)
					for _, o := range row {
						So(o.largestServed, ShouldBeGreaterThanOrEqualTo, 0.5*o.served/o.asked)
						So(o.served/o.asked, ShouldBeGreaterThanOrEqualTo, 0.25*(row[report].served+row[note].served)/(row[report].asked+row[note].asked))
					}
				}
			})
		}
	})
}

// What admission is worth must be seen beside the order without it, and beside lengths that are known.
func TestAdmissionServesFewerThanWithoutIt(t *testing.T) {
	admission := loadCurve(testLoads, func(m *saturationModel) { m.list.EnableAdmission() })
	without := loadCurve(testLoads, func(*saturationModel) {})
	oracle := loadCurve(testLoads, func(m *saturationModel) {
		m.list.EnableAdmission()
		m.isOracle = true
	})
	logCurve(t, "admission", admission)
	logCurve(t, "without", without)
	logCurve(t, "known lengths", oracle)
	Convey("At and beyond saturation", t, func() {
		for i, load := range testLoads {
			Convey(fmt.Sprintf("at %.1f times the load, as many reports are on time as without admission", load), func() {
				So(admission[i][report].onTime, ShouldBeGreaterThanOrEqualTo, 0.95*without[i][report].onTime)
			})
			Convey(fmt.Sprintf("at %.1f times the load, the worth is near that with known lengths", load), func() {
				So(admission[i][report].worth+admission[i][note].worth, ShouldBeGreaterThanOrEqualTo,
					0.95*(oracle[i][report].worth+oracle[i][note].worth))
			})
		}
	})
}
