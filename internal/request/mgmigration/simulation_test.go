package mgmigration

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// strategy is how runs are moved off an engine in a simulation.
type strategy string

const (
	noMove            strategy = "no move"
	stopAndCopy       strategy = "stop and copy, all at once"
	uncoordinated     strategy = "uncoordinated entries, two steps"
	oneSlot           strategy = "one slot per source"
	oneSlotLongNotice strategy = "one slot per source, a second more notice"
)

// The figures are those of a deployment of twelve engines: a decoding step of
// 8 ms, 55 µs to copy a token's memory, prompts of 3,000 tokens and outputs of
// 940 on average, a sixth of the engines reclaimed every 3.3 s.
const (
	engineCount        = 12
	entryCount         = 5
	tick               = mgclock.Millis(5)
	simulatedTime      = 120 * mgclock.Second
	tokenMillis        = 8.0
	copyMillisPerToken = 0.0546
	resumeMillis       = 30.0
	maxPauseMillis     = 180.0
)

// simulatedRun is one generation of a simulation.
type simulatedRun struct {
	name          string
	entry         int
	engine        int
	prompt        float64
	generated     float64
	total         float64
	moving        bool
	stopped       mgclock.Millis // time of the stop, 0 while it runs
	pausedTooLong bool           // it paused for more than maxPauseMillis
}

// job is a copy that waits for or uses a source's link.
type job struct {
	run  *simulatedRun
	left float64 // remaining ms on the link
	last bool    // copy of the stopped run
}

// simulation simulates reclaims of engines in virtual time.
type simulation struct {
	strategy  strategy
	r         *rand.Rand
	now       mgclock.Millis
	runs      []*simulatedRun
	reclaimAt [engineCount]mgclock.Millis // time of the reclaim, or 0
	returnAt  [engineCount]mgclock.Millis
	links     [engineCount][]*job
	slots     Slots
	runCount  int

	done, cut, longPauseCount int
}

func (p *simulation) run() {
	reclaim, arrival := 1500*mgclock.Millis(1), mgclock.Millis(0)
	for p.now = 0; p.now < simulatedTime; p.now += tick {
		for p.now >= arrival {
			p.arrive()
			arrival += mgclock.Millis(p.r.ExpFloat64() * 217) // 4.6 a second
		}
		if p.now >= reclaim {
			p.giveNotice()
			p.giveNotice()
			reclaim += 3300
		}
		p.generate()
		p.startMoves()
		p.advanceCopies()
		p.reclaimEngines()
	}
}

// acceptsWork reports whether an engine accepts new runs.
func (p *simulation) acceptsWork(engine int) bool {
	return p.reclaimAt[engine] == 0 && p.now >= p.returnAt[engine]
}

// leastLoaded returns the accepting engine with the fewest runs, or -1.
func (p *simulation) leastLoaded() int {
	count := make([]int, engineCount)
	for _, r := range p.runs {
		count[r.engine]++
	}
	best := -1
	for _, e := range p.r.Perm(engineCount) {
		if p.acceptsWork(e) && (best < 0 || count[e] < count[best]) {
			best = e
		}
	}
	return best
}

func (p *simulation) arrive() {
	p.runCount++
	p.runs = append(p.runs, &simulatedRun{
		name:   fmt.Sprint(p.runCount),
		entry:  p.r.IntN(entryCount),
		engine: p.leastLoaded(),
		prompt: 3000 * math.Exp(0.35*p.r.NormFloat64()-0.06),
		total:  min(940*math.Exp(0.84*p.r.NormFloat64()-0.35), 2200),
	})
}

// giveNotice gives an accepting engine notice of 1.5 to 2.1 s, a second more
// for oneSlotLongNotice.
func (p *simulation) giveNotice() {
	for _, e := range p.r.Perm(engineCount) {
		if !p.acceptsWork(e) {
			continue
		}
		notice := mgclock.Millis(1500 + p.r.IntN(600))
		if p.strategy == oneSlotLongNotice {
			notice += mgclock.Second
		}
		p.reclaimAt[e] = p.now + notice
		return
	}
}

// generate advances all runs by one tick and removes those that end.
func (p *simulation) generate() {
	kept := p.runs[:0]
	for _, r := range p.runs {
		if r.stopped == 0 {
			r.generated += float64(tick) / tokenMillis
		}
		if r.generated >= r.total {
			p.done++
			if r.pausedTooLong {
				p.longPauseCount++
			}
			p.slots.Release(fmt.Sprint(r.engine), r.name)
			continue
		}
		kept = append(kept, r)
	}
	p.runs = kept
}

// startMoves starts the moves that the strategy allows now.
func (p *simulation) startMoves() {
	if p.strategy == noMove {
		return
	}
	busy := map[[2]int]bool{} // by engine and entry
	for _, r := range p.runs {
		if r.moving {
			busy[[2]int{r.engine, r.entry}] = true
		}
	}
	for _, r := range p.runs {
		if p.reclaimAt[r.engine] == 0 || r.moving {
			continue
		}
		switch p.strategy {
		case stopAndCopy:
			r.stopped = p.now
			p.startCopy(r, true)
		case uncoordinated:
			if !busy[[2]int{r.engine, r.entry}] {
				busy[[2]int{r.engine, r.entry}] = true
				p.startCopy(r, false)
			}
		default:
			state := Run{
				Prompt:         int(r.prompt),
				ExpectedOutput: int(r.total),
				Generated:      int(r.generated) + 1,
				Elapsed:        mgclock.Millis(r.generated*tokenMillis) + 1,
			}
			a := SlotRequest{
				Source:       fmt.Sprint(r.engine),
				Run:          r.name,
				Benefit:      state.Benefit(),
				Destinations: []Destination{{Name: "any"}},
			}
			if _, ok := p.slots.Acquire(p.now, a); ok {
				p.startCopy(r, false)
			}
		}
	}
}

func (p *simulation) startCopy(r *simulatedRun, last bool) {
	r.moving = true
	p.links[r.engine] = append(p.links[r.engine], &job{
		run:  r,
		left: copyMillisPerToken * (r.prompt + r.generated),
		last: last,
	})
}

// advanceCopies spends one tick of each link on its jobs, in order.
func (p *simulation) advanceCopies() {
	for e := range p.links {
		budget := float64(tick)
		for len(p.links[e]) > 0 && budget > 0 {
			j := p.links[e][0]
			step := min(budget, j.left)
			j.left -= step
			budget -= step
			if j.left > 0 {
				break
			}
			p.links[e] = p.links[e][1:]
			p.copied(e, j)
		}
	}
}

func (p *simulation) copied(engine int, j *job) {
	r := j.run
	if r.generated >= r.total || r.engine != engine {
		return
	}
	if !j.last {
		r.stopped = p.now
		p.links[engine] = append(p.links[engine], &job{
			run:  r,
			left: copyMillisPerToken * 30, // tokens generated during the pre-copy
			last: true,
		})
		return
	}
	if float64(p.now-r.stopped)+resumeMillis > maxPauseMillis {
		r.pausedTooLong = true
	}
	p.slots.Release(fmt.Sprint(engine), r.name)
	r.engine = p.leastLoaded()
	r.stopped = 0
	r.moving = false
}

// reclaimEngines removes the engines whose notice has ended and cuts the runs
// that are still there.
func (p *simulation) reclaimEngines() {
	for e := range p.reclaimAt {
		if p.reclaimAt[e] == 0 || p.now < p.reclaimAt[e] {
			continue
		}
		kept := p.runs[:0]
		for _, r := range p.runs {
			if r.engine != e {
				kept = append(kept, r)
				continue
			}
			p.cut++
			p.slots.Release(fmt.Sprint(e), r.name)
		}
		p.runs = kept
		p.links[e] = nil
		p.reclaimAt[e] = 0
		p.returnAt[e] = p.now + 4000
	}
}

// Guards against cut and paused streams: generations of eight seconds run on
// engines that are reclaimed at two seconds' notice, two of twelve every 3.3 s.
// Measures how many of a hundred are cut, and how many pause for more than 180
// ms.
func TestReclaimCutsOrPausesRuns(t *testing.T) {
	cut, longPauses := map[strategy]float64{}, map[strategy]float64{}
	for _, s := range []strategy{noMove, stopAndCopy, uncoordinated, oneSlot, oneSlotLongNotice} {
		for seed := range uint64(5) {
			p := simulation{
				strategy: s,
				r:        rand.New(rand.NewPCG(seed, 7)),
			}
			p.run()
			cut[s] += 100 * float64(p.cut) / float64(p.done+p.cut) / 5
			longPauses[s] += 100 * float64(p.longPauseCount) / float64(p.done+p.cut) / 5
		}
		t.Logf("%-36s cut %5.2f late %5.2f of 100", s, cut[s], longPauses[s])
	}
	Convey("With one slot per source", t, func() {
		Convey("hardly any run is cut", func() {
			So(cut[noMove], ShouldBeGreaterThan, 20)
			So(cut[oneSlot], ShouldBeLessThan, 1)
		})
		Convey("and few pause, where the other strategies pause many", func() {
			So(longPauses[oneSlot], ShouldBeLessThan, 1)
			So(longPauses[stopAndCopy], ShouldBeGreaterThan, 10*longPauses[oneSlot])
			So(longPauses[uncoordinated], ShouldBeGreaterThan, 5*longPauses[oneSlot])
		})
		Convey("as with one more second of notice", func() {
			So(cut[oneSlot]-cut[oneSlotLongNotice], ShouldBeLessThan, 1)
		})
	})
}
