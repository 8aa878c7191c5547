package mgspeed_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/marjoramgauge/marjoramgauge/internal/bench/mgmodel"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgload"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgspeed"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgwaitlist"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	engineMemory = 26868 // tokens
	entryCount   = 6
	service      = "engines"
	stride       = 4 // tokens per event
	// pairRate is how many pairs of a long and a short request a plain engine bears in a
	// second: a long one holds 3,823 tokens of its memory for 9 s.
	pairRate = 0.75
)

// speedAt returns the factor by which an engine's steps are faster at a time, with some of
// its memory used.
type speedAt func(now float64, used int) float64

func constant(speed float64) speedAt { return func(float64, int) float64 { return speed } }

// bending returns an engine that slows down when three quarters of its memory are used.
func bending(_ float64, used int) float64 {
	if used > engineMemory*3/4 {
		return 0.55
	}
	return 1
}

// inSpells returns an engine that is 2.5 times as slow for 15 % of the time, in spells of
// 200 to 600 ms.
func inSpells(seed uint64) speedAt {
	random := rand.New(rand.NewPCG(seed, 15))
	var from, to float64
	return func(now float64, _ int) float64 {
		for now >= to {
			length := 200 + 400*random.Float64()
			from = to + random.ExpFloat64()*length*0.85/0.15
			to = from + length
		}
		if now >= from {
			return 1 / 2.5
		}
		return 1
	}
}

// changing returns an engine whose speed changes at a time.
func changing(before, after, at float64) speedAt {
	return func(now float64, _ int) float64 {
		if now < at {
			return before
		}
		return after
	}
}

// play is a play in virtual time of entries that place requests at engines.
type play struct {
	engines  []*playEngine
	entries  [entryCount]playEntry
	loads    mgload.Hub
	hub      mgspeed.Hub
	speeds   *mgspeed.Speeds
	waiting  mgwaitlist.WaitingList
	requests map[string]*playRequest
	policy   policy

	places       []mgwaitlist.Place
	placesReadAt mgclock.Millis

	onTime, late, refused int
	finishSum             float64
	finished              int
	deviating             []int // number of engines that deviate, by second
}

type playEntry struct {
	tracker mgload.Tracker
	learner mgspeed.Learner
	others  mgload.Report
}

type playEngine struct {
	name    string
	speed   speedAt
	start   func(now float64) int64
	engine  *mgmodel.Engine
	readyAt float64
	result  mgmodel.Result
}

type playRequest struct {
	entry       int
	prompt      int
	output      int
	expected    int
	goal        mgclock.Millis
	arrived     mgclock.Millis
	sentAt      mgclock.Millis
	before      mgspeed.State
	engine      *playEngine
	firstAt     mgclock.Millis
	lastEventAt mgclock.Millis
	tokens      int // since lastEventAt
}

// policy returns the speed of an engine as the hub assumes it.
type policy func(p *play, now mgclock.Millis, e *playEngine) (mgspeed.Deviation, bool)

func byConstants(*play, mgclock.Millis, *playEngine) (mgspeed.Deviation, bool) {
	return mgspeed.Deviation{}, false
}

func byModel(p *play, now mgclock.Millis, e *playEngine) (mgspeed.Deviation, bool) {
	return p.speeds.Of(e.id(now))
}

// byTruth is the oracle: it knows each engine's speed at the time.
func byTruth(_ *play, now mgclock.Millis, e *playEngine) (mgspeed.Deviation, bool) {
	level := 1 / e.speed(float64(now), e.engine.Used())
	return mgspeed.Deviation{
		Step: (level - 1) * (mgspeed.DefaultStep + 4),
		Run:  (level - 1) * mgspeed.DefaultPerRun,
		Read: (level - 1) / mgspeed.DefaultReadRate,
	}, math.Abs(level-1) > 1e-9
}

func (e *playEngine) id(now mgclock.Millis) mgspeed.Engine {
	start := int64(1)
	if e.start != nil {
		start = e.start(float64(now))
	}
	return mgspeed.Engine{
		Upstream: e.name,
		Service:  service,
		Start:    start,
	}
}

func newPlay(speeds []speedAt, choose policy) *play {
	p := &play{
		requests: map[string]*playRequest{},
		policy:   choose,
	}
	for i, speed := range speeds {
		p.engines = append(p.engines, &playEngine{
			name:  fmt.Sprintf("e%02d", i),
			speed: speed,
			engine: mgmodel.New(mgmodel.Spec{
				Memory:       engineMemory,
				MaxBatch:     24,
				MaxChunk:     112,
				StepCost:     mgspeed.DefaultStep,
				SequenceCost: mgspeed.DefaultPerRun,
				ContextCost:  1e-9,
				PrefillCost:  1000 / 14.0,
				CacheTokens:  1,
			}),
		})
	}
	return p
}

// run plays some seconds of load, in pairs of requests a second.
func (p *play) run(seconds int, pairs float64, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	next := [2]float64{}
	number := 0
	for now := mgclock.Millis(0); now < mgclock.Millis(seconds)*mgclock.Second; now++ {
		for _, e := range p.engines {
			p.step(e, now)
		}
		for kind := range next {
			for next[kind] <= float64(now) {
				next[kind] += random.ExpFloat64() * 1000 / pairs
				number++
				p.arrive(now, fmt.Sprint(number), kind == 0, number%entryCount, random)
			}
		}
		if now%200 == 0 {
			p.exchangeLoads(now)
		}
		if now%1000 == 0 {
			p.exchangeSpeeds(now)
		}
		if now%10 == 0 {
			p.assign(now)
		}
	}
}

// arrive enqueues a request.
func (p *play) arrive(now mgclock.Millis, name string, long bool, entry int, random *rand.Rand) {
	scale := math.Exp(0.6*random.NormFloat64() - 0.18)
	r := &playRequest{
		entry:    entry,
		prompt:   int(2550 * math.Exp(0.3*random.NormFloat64()-0.045)),
		output:   9,
		expected: 9,
		goal:     1500,
		arrived:  now,
	}
	if long {
		r.prompt = int(3079 * math.Exp(0.3*random.NormFloat64()-0.045))
		r.output = min(int(744*scale)+1, 3000)
		r.expected = 744
		r.goal = 1800
	}
	p.requests[name] = r
	read := mgclock.Millis(float64(r.prompt)/mgload.ReadRate) + 100
	p.waiting.Add(mgwaitlist.Request{
		Name:     name,
		Need:     r.prompt + r.expected,
		Output:   r.expected,
		Duration: read + 9*mgclock.Millis(r.expected),
		Due:      now + r.goal - read,
		Arrived:  now,
		GiveUpAt: now + 2*r.goal,
	})
}

// assign places waiting requests, as the hub does.
func (p *play) assign(now mgclock.Millis) {
	if p.waiting.Len() == 0 {
		return
	}
	if p.places == nil || now >= p.placesReadAt+placesTTL {
		p.places, p.placesReadAt = p.readPlaces(now), now
	}
	for _, grant := range p.waiting.Assign(now, slices.Clone(p.places)) {
		if grant.Place == "" {
			p.refused++
			delete(p.requests, grant.Name)
			continue
		}
		p.send(now, grant.Name, p.engines[slices.IndexFunc(p.engines, func(e *playEngine) bool { return e.name == grant.Place })])
	}
}

// placesTTL is how long the hub uses what it has read of the engines, as mgnode does.
const placesTTL = 40

// readPlaces returns the state of the engines as the hub knows it.
func (p *play) readPlaces(now mgclock.Millis) []mgwaitlist.Place {
	others := p.loads.Others(now, "0")
	own, paces := p.entries[0].tracker.Loads(), p.entries[0].tracker.Paces(now)
	var known []float64
	for _, e := range p.engines {
		if pace, ok := mgload.Pace(paces, others.Paces, e.name); ok {
			known = append(known, pace)
		}
	}
	penalty := mgload.SlowPenalty(known)
	places := make([]mgwaitlist.Place, 0, len(p.engines))
	for _, e := range p.engines {
		pace, _ := mgload.Pace(paces, others.Paces, e.name)
		state := mgload.State{
			Load:      own[e.name].Add(others.Loads[e.name]),
			TokenCost: penalty(pace),
		}
		if speed, deviates := p.policy(p, now, e); deviates {
			state = state.WithSpeed(speed)
		}
		places = append(places, mgwaitlist.Place{
			Name:      e.name,
			Cost:      mgload.Cost(state, mgload.Query{Capacity: engineMemory, Prompt: 2800}),
			TokenCost: state.TokenCost,
			Free:      engineMemory - state.Load.Memory,
			Pending:   state.PendingAsTypical(),
		})
	}
	return places
}

// send sends a request to its engine.
func (p *play) send(now mgclock.Millis, name string, e *playEngine) {
	r := p.requests[name]
	entry := &p.entries[r.entry]
	load := entry.load(e.name)
	r.engine, r.sentAt = e, now
	r.before = mgspeed.State{
		Runs:    load.Runs,
		Pending: load.Pending,
	}
	entry.tracker.Add(e.name, mgload.Load{
		Runs:    1,
		Pending: r.prompt,
		Memory:  r.prompt + r.expected,
	})
	e.engine.Add(mgmodel.Sequence{
		ID:     name,
		Prompt: r.prompt,
		Output: r.output,
	})
}

func (t *playEntry) load(engine string) mgload.Load {
	return t.tracker.Load(engine).Add(t.others.Loads[engine])
}

// step runs the steps of an engine that end by now.
func (p *play) step(e *playEngine, now mgclock.Millis) {
	for e.readyAt <= float64(now) {
		for _, token := range e.result.Tokens() {
			p.token(now, e, token.ID())
		}
		for _, id := range e.result.Finished() {
			p.finish(now, id)
		}
		e.engine.SetSpeed(e.speed(e.readyAt, e.engine.Used()))
		e.result = e.engine.Step()
		if e.result.Duration() == 0 {
			e.readyAt = float64(now) + 1
			return
		}
		e.readyAt += e.result.Duration()
	}
}

// token counts a token that a request has received.
func (p *play) token(now mgclock.Millis, e *playEngine, id string) {
	r := p.requests[id]
	entry := &p.entries[r.entry]
	if r.firstAt == 0 {
		r.firstAt, r.lastEventAt = now, now
		entry.tracker.Add(e.name, mgload.Load{Pending: -r.prompt})
		entry.learner.RecordFirst(now, e.id(now), r.prompt, now-r.sentAt, r.before)
		return
	}
	if r.tokens++; r.tokens < stride {
		return
	}
	load := entry.load(e.name)
	entry.learner.RecordTokens(now, e.id(now), r.tokens, now-r.lastEventAt, mgspeed.State{
		Runs:    load.Runs,
		Pending: load.Pending,
	})
	entry.tracker.RecordPace(now, e.name, float64(now-r.lastEventAt)/float64(r.tokens))
	r.tokens, r.lastEventAt = 0, now
}

func (p *play) finish(now mgclock.Millis, id string) {
	r := p.requests[id]
	delete(p.requests, id)
	load := mgload.Load{
		Runs:   -1,
		Memory: -r.prompt - r.expected,
	}
	p.entries[r.entry].tracker.Add(r.engine.name, load)
	p.finished++
	p.finishSum += float64(now - r.arrived)
	if r.firstAt-r.arrived <= r.goal && now-r.arrived <= 39*mgclock.Second {
		p.onTime++
	} else {
		p.late++
	}
}

func (p *play) exchangeLoads(now mgclock.Millis) {
	for i := range p.entries {
		t := &p.entries[i]
		t.others = p.loads.Exchange(now, fmt.Sprint(i), mgload.Report{
			Loads: t.tracker.Loads(),
			Paces: t.tracker.Paces(now),
		})
	}
}

func (p *play) exchangeSpeeds(now mgclock.Millis) {
	for i := range p.entries {
		p.hub.Store(now, fmt.Sprint(i), p.entries[i].learner.Sums(now))
	}
	p.speeds = p.hub.Speeds(now)
	for i := range p.entries {
		p.entries[i].learner.Adopt(p.speeds)
	}
	p.deviating = append(p.deviating, len(p.speeds.Report().Speeds))
}

// meanFinish returns the mean time from arrival to the end of an answer, ms.
func (p *play) meanFinish() float64 { return p.finishSum / float64(max(p.finished, 1)) }

// String returns the results and the known speeds.
func (p *play) String() string {
	rows := slices.Clone(p.speeds.Report().Speeds)
	slices.SortFunc(rows, func(a, b mgspeed.Speed) int { return cmp.Compare(a.Upstream, b.Upstream) })
	text := ""
	for _, r := range rows {
		text += fmt.Sprintf(" %s:%.2f+%.2f/%.2f", r.Upstream, r.Level, r.Slope, r.Read)
	}
	return fmt.Sprintf("on time %d late %d refused %d finish %.0f ref %+v%s", p.onTime, p.late, p.refused, p.meanFinish(), p.speeds.Report().References, text)
}
