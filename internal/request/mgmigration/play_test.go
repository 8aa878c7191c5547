package mgmigration

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// way is how runs leave an engine in a play.
type way string

const (
	stay     way = "no move"
	oneStep  way = "stopped, copied, all at once"
	eachSelf way = "each entry for itself, two steps"
	byTurns  way = "by turns"
	foreseen way = "by turns, a second of notice more"
)

// The play's figures are those of a deployment of twelve engines: a step of 8 ms,
// 55 µs to copy a token's memory, reports of 3,000 tokens and 940 more on
// average, a sixth of the engines reclaimed every 3.3 s.
const (
	playEngines = 12
	playEntries = 5
	playTick    = mgclock.Millis(5)
	playSpan    = 120 * mgclock.Second
	tokenTime   = 8.0
	copyTime    = 0.0546
	resumeTime  = 30.0
	pauseLimit  = 180.0
)

// playRun is a report of a play.
type playRun struct {
	name    string
	entry   int
	engine  int
	prompt  float64
	made    float64
	total   float64
	claimed bool
	stopped mgclock.Millis // when it was stopped, or 0
	late    bool
}

// job is a copy on a source's link.
type job struct {
	run  *playRun
	left float64 // ms of the link
	last bool
}

// play is a day of reclaims in virtual time.
type play struct {
	way    way
	r      *rand.Rand
	now    mgclock.Millis
	runs   []*playRun
	gone   [playEngines]mgclock.Millis // when it is reclaimed, or 0
	back   [playEngines]mgclock.Millis
	links  [playEngines][]*job
	turns  Turns
	number int

	done, cut, late int
}

func (p *play) day() {
	reclaim, arrival := 1500*mgclock.Millis(1), mgclock.Millis(0)
	for p.now = 0; p.now < playSpan; p.now += playTick {
		for p.now >= arrival {
			p.arrive()
			arrival += mgclock.Millis(p.r.ExpFloat64() * 217) // 4.6 a second
		}
		if p.now >= reclaim {
			p.give()
			p.give()
			reclaim += 3300
		}
		p.work()
		p.move()
		p.copies()
		p.take()
	}
}

// live reports whether an engine takes new work.
func (p *play) live(engine int) bool {
	return p.gone[engine] == 0 && p.now >= p.back[engine]
}

// least returns the live engine with the fewest runs.
func (p *play) least() int {
	count := make([]int, playEngines)
	for _, r := range p.runs {
		count[r.engine]++
	}
	best := -1
	for _, e := range p.r.Perm(playEngines) {
		if p.live(e) && (best < 0 || count[e] < count[best]) {
			best = e
		}
	}
	return best
}

func (p *play) arrive() {
	p.number++
	p.runs = append(p.runs, &playRun{
		name:   fmt.Sprint(p.number),
		entry:  p.r.IntN(playEntries),
		engine: p.least(),
		prompt: 3000 * math.Exp(0.35*p.r.NormFloat64()-0.06),
		total:  min(940*math.Exp(0.84*p.r.NormFloat64()-0.35), 2200),
	})
}

// give gives a live engine notice of 1.5 to 2.1 s.
func (p *play) give() {
	for _, e := range p.r.Perm(playEngines) {
		if !p.live(e) {
			continue
		}
		notice := mgclock.Millis(1500 + p.r.IntN(600))
		if p.way == foreseen {
			notice += mgclock.Second
		}
		p.gone[e] = p.now + notice
		return
	}
}

// work makes tokens.
func (p *play) work() {
	kept := p.runs[:0]
	for _, r := range p.runs {
		if r.stopped == 0 {
			r.made += float64(playTick) / tokenTime
		}
		if r.made >= r.total {
			p.done++
			if r.late {
				p.late++
			}
			p.turns.End(fmt.Sprint(r.engine), r.name)
			continue
		}
		kept = append(kept, r)
	}
	p.runs = kept
}

// move begins moves.
func (p *play) move() {
	if p.way == stay {
		return
	}
	busy := map[[2]int]bool{}
	for _, r := range p.runs {
		if r.claimed {
			busy[[2]int{r.engine, r.entry}] = true
		}
	}
	for _, r := range p.runs {
		if p.gone[r.engine] == 0 || r.claimed {
			continue
		}
		switch p.way {
		case oneStep:
			r.stopped = p.now
			p.begin(r, true)
		case eachSelf:
			if !busy[[2]int{r.engine, r.entry}] {
				busy[[2]int{r.engine, r.entry}] = true
				p.begin(r, false)
			}
		default:
			state := Run{
				Prompt:  int(r.prompt),
				Output:  int(r.total),
				Made:    int(r.made) + 1,
				Running: mgclock.Millis(r.made*tokenTime) + 1,
			}
			a := Ask{
				Source: fmt.Sprint(r.engine),
				Run:    r.name,
				Worth:  state.Worth(),
				Places: []Spot{{Name: "any"}},
			}
			if _, ok := p.turns.Ask(p.now, a); ok {
				p.begin(r, false)
			}
		}
	}
}

func (p *play) begin(r *playRun, last bool) {
	r.claimed = true
	p.links[r.engine] = append(p.links[r.engine], &job{
		run:  r,
		left: copyTime * (r.prompt + r.made),
		last: last,
	})
}

// copies moves the first job of each link on.
func (p *play) copies() {
	for e := range p.links {
		room := float64(playTick)
		for len(p.links[e]) > 0 && room > 0 {
			j := p.links[e][0]
			step := min(room, j.left)
			j.left -= step
			room -= step
			if j.left > 0 {
				break
			}
			p.links[e] = p.links[e][1:]
			p.copied(e, j)
		}
	}
}

func (p *play) copied(engine int, j *job) {
	r := j.run
	if r.made >= r.total || r.engine != engine {
		return
	}
	if !j.last {
		r.stopped = p.now
		p.links[engine] = append(p.links[engine], &job{
			run:  r,
			left: copyTime * 30, // what came meanwhile
			last: true,
		})
		return
	}
	if float64(p.now-r.stopped)+resumeTime > pauseLimit {
		r.late = true
	}
	p.turns.End(fmt.Sprint(engine), r.name)
	r.engine = p.least()
	r.stopped = 0
	r.claimed = false
}

// take takes the engines away whose time has come, with what still runs there.
func (p *play) take() {
	for e := range p.gone {
		if p.gone[e] == 0 || p.now < p.gone[e] {
			continue
		}
		kept := p.runs[:0]
		for _, r := range p.runs {
			if r.engine != e {
				kept = append(kept, r)
				continue
			}
			p.cut++
			p.turns.End(fmt.Sprint(e), r.name)
		}
		p.runs = kept
		p.links[e] = nil
		p.gone[e] = 0
		p.back[e] = p.now + 4000
	}
}

// Reports of eight seconds run on engines that are reclaimed at two seconds'
// notice, two of twelve every 3.3 s. What their callers get: how many of a
// hundred are cut, and how many pause for more than 180 ms.
func TestReclaims(t *testing.T) {
	cut, late := map[way]float64{}, map[way]float64{}
	for _, w := range []way{stay, oneStep, eachSelf, byTurns, foreseen} {
		for seed := range uint64(5) {
			p := play{
				way: w,
				r:   rand.New(rand.NewPCG(seed, 7)),
			}
			p.day()
			cut[w] += 100 * float64(p.cut) / float64(p.done+p.cut) / 5
			late[w] += 100 * float64(p.late) / float64(p.done+p.cut) / 5
		}
		t.Logf("%-36s cut %5.2f late %5.2f of 100", w, cut[w], late[w])
	}
	Convey("By turns", t, func() {
		Convey("hardly any report is cut", func() {
			So(cut[stay], ShouldBeGreaterThan, 20)
			So(cut[byTurns], ShouldBeLessThan, 1)
		})
		Convey("and few pause, where the other ways pause many", func() {
			So(late[byTurns], ShouldBeLessThan, 1)
			So(late[oneStep], ShouldBeGreaterThan, 10*late[byTurns])
			So(late[eachSelf], ShouldBeGreaterThan, 5*late[byTurns])
		})
		Convey("as with a second of notice more", func() {
			So(cut[byTurns]-cut[foreseen], ShouldBeLessThan, 1)
		})
	})
}
