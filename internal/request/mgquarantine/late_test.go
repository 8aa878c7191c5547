package mgquarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgquarantine"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// runCrash is a crash of an upstream of its own under an attempt that had run for a time.
func runCrash(q *mgquarantine.Quarantine, at, sent, ran mgclock.Millis) {
	q.RecordCrash(at, mgquarantine.Crash{
		Digest:   digestOf("x"),
		Parts:    partsNamed("part"),
		Request:  "request",
		Upstream: fmt.Sprint("engine ", at),
		Begun:    true,
		Sent:     sent,
		Ran:      ran,
	})
}

// runFor is a generation that has run for a time.
func runFor(q *mgquarantine.Quarantine, at, sent, ran mgclock.Millis) {
	q.RecordProgress(at, mgquarantine.Run{
		Digest:  digestOf("x"),
		Parts:   partsNamed("part"),
		Request: "request",
		Sent:    sent,
		Ran:     ran,
	})
}

// Guards against a generation that clears a request though it may end its upstream yet, and against
// suspecting one that upstreams survive.
func TestRunClearsTooMuch(t *testing.T) {
	cases := []struct {
		name        string
		play        func(q *mgquarantine.Quarantine)
		occurrences int
	}{
		{
			name: "no other run",
			play: func(*mgquarantine.Quarantine) {},
			// the crash of each case
			occurrences: 1,
		},
		{
			name:        "a run that has not passed the place",
			play:        func(q *mgquarantine.Quarantine) { runFor(q, 4*sec, 2*sec, sec) },
			occurrences: 1,
		},
		{
			name: "a run that has",
			play: func(q *mgquarantine.Quarantine) { runFor(q, 5*sec, 2*sec, 3*sec) },
		},
		{
			name: "a run that had passed it, and ended its upstream later",
			play: func(q *mgquarantine.Quarantine) {
				runFor(q, 5*sec, 2*sec, 3*sec)
				runCrash(q, 6*sec, 2*sec, 4*sec)
			},
			occurrences: 2,
		},
		{
			name: "an answer that has ended",
			play: func(q *mgquarantine.Quarantine) {
				q.RecordAnswer(3*sec, digestOf("x"), partsNamed("part")...)
			},
		},
	}
	Convey("An upstream that ended under a request a second after its first event, and then", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				q := mgquarantine.New("life", nil)
				runCrash(q, 2*sec, sec/2, sec)
				c.play(q)
				So(q.Occurrences(digestOf("x")), ShouldEqual, c.occurrences)
				other := mgquarantine.New("other", nil)
				other.Merge(7*sec, q.MissingRecords(7*sec, nil))
				So(other.Occurrences(digestOf("x")), ShouldEqual, c.occurrences)
			})
		}
	})
}

// Guards against a loss of many engines that fills the records with all that ran there, and against
// leaving out a request that was at an earlier end.
func TestZoneLossFillsRecords(t *testing.T) {
	Convey("Where 60 engines with 24 generations each end at one moment", t, func() {
		q := mgquarantine.New("life", nil)
		crash := func(now mgclock.Millis, request, upstream string) {
			q.RecordCrash(now, mgquarantine.Crash{
				Digest:   digestOf(request),
				Request:  request,
				Upstream: upstream,
				Begun:    true,
				Sent:     now - 5*sec,
				Ran:      4 * sec,
			})
		}
		crash(sec, "repeated", "first")
		for engine := range 60 {
			for n := range 24 {
				crash(20*sec, fmt.Sprint(engine, " ", n), fmt.Sprint("engine-", engine))
			}
		}
		crash(20*sec+10, "repeated", "another")
		So(len(q.MissingRecords(21*sec, nil)), ShouldBeLessThanOrEqualTo, 2+2*24)
		So(q.Occurrences(digestOf("repeated")), ShouldEqual, 2)
	})
}

// fleetSpec describes engines that end under requests of one body, and for other reasons.
type fleetSpec struct {
	engines    int
	runs       int            // on each engine, about
	processes  int            // that send requests
	delay      mgclock.Millis // of the network, at most
	endsAfter  mgclock.Millis // the time that a deadly request runs before its engine ends, 0 for no such request
	deadlyRate float64        // deadly requests a second
	deadlyPart bool           // no two deadly requests are alike, and they share a part
	hotShare   float64        // part of the sound requests that have one body
	soloEnds   mgclock.Millis // mean time between ends of engines for another reason, 0 for none
	zoneLosses int            // a third of the engines each, ten seconds apart
}

// fleetRun is a request at an engine.
type fleetRun struct {
	engine, process int
	request         string // body
	parts           []mgquarantine.Digest
	sent, begins    mgclock.Millis
	length          mgclock.Millis // of its answer
	deadly          bool
	attempts        int // of its caller's and of the process's
	reported        mgclock.Millis
}

// ran returns how long it has run since its first event.
func (r *fleetRun) ran(now mgclock.Millis) mgclock.Millis { return max(now-r.begins, 0) }

// fleet plays a fleetSpec in virtual time.
type fleet struct {
	fleetSpec
	rng       *rand.Rand
	now       mgclock.Millis
	members   []*mgquarantine.Quarantine
	pending   []pendingMessage
	lives     []int // of each engine
	downUntil []mgclock.Millis
	running   []*fleetRun
	next      int // number of the next sound request

	deadlyEnds    int
	lateStarts    int // deadly requests that reached engines after the third had ended
	sound, held   int // sound requests sent, and of these held
	soundStopped  int // sound runs that were stopped
	deadlyStopped int
}

func newFleet(seed uint64, spec fleetSpec) *fleet {
	f := &fleet{
		fleetSpec: spec,
		rng:       rand.New(rand.NewPCG(seed, 53)),
		now:       10 * sec,
		lives:     make([]int, spec.engines),
		downUntil: make([]mgclock.Millis, spec.engines),
	}
	for i := range spec.processes {
		f.members = append(f.members, mgquarantine.New(fmt.Sprint(i), func(mgquarantine.Digest) int { return i }))
	}
	return f
}

// loseProcesses ends all processes with what they run and know, and starts others.
func (f *fleet) loseProcesses() {
	f.pending, f.running = nil, nil
	for i := range f.members {
		f.members[i] = mgquarantine.New(fmt.Sprint("second ", i), func(mgquarantine.Digest) int { return i })
		f.members[i].Begin(f.now, 30*sec)
	}
}

// spread sends a process's recent records to all others.
func (f *fleet) spread(from int) {
	records := f.members[from].RecentRecords(f.now)
	if len(records) == 0 {
		return
	}
	for to := range f.members {
		if to != from {
			f.pending = append(f.pending, pendingMessage{
				at:      f.now + 1 + mgclock.Millis(f.rng.Int64N(int64(f.delay))),
				to:      to,
				records: records,
			})
		}
	}
}

// send sends a request from a random process, unless it is held there.
func (f *fleet) send(r fleetRun) {
	r.process = f.rng.IntN(len(f.members))
	_, admitted := f.members[r.process].Admit(f.now, digestOf(r.request), r.parts...)
	if !r.deadly {
		f.sound++
		if !admitted {
			f.held++
		}
	}
	if admitted {
		f.place(r)
	}
}

// place starts a request at a random engine that is up.
func (f *fleet) place(r fleetRun) {
	var up []int
	for i, until := range f.downUntil {
		if until <= f.now {
			up = append(up, i)
		}
	}
	if len(up) == 0 {
		return
	}
	r.engine = up[f.rng.IntN(len(up))]
	r.sent = f.now
	r.begins = f.now + 50 + mgclock.Millis(f.rng.IntN(300))
	r.reported = r.begins
	r.attempts++
	if r.deadly && f.deadlyEnds >= 3 {
		f.lateStarts++
	}
	f.running = append(f.running, &r)
}

// end ends an engine with all that it runs. Callers of sound requests send them again, twice at most.
func (f *fleet) end(engine int) {
	f.lives[engine]++
	f.downUntil[engine] = f.now + 3*sec
	name := fmt.Sprintf("engine-%d-%d", engine, f.lives[engine])
	var cut []*fleetRun
	f.running = slices.DeleteFunc(f.running, func(r *fleetRun) bool {
		if r.engine == engine {
			cut = append(cut, r)
		}
		return r.engine == engine
	})
	for _, r := range cut {
		f.members[r.process].RecordCrash(f.now, mgquarantine.Crash{
			Digest:   digestOf(r.request),
			Parts:    r.parts,
			Request:  r.request,
			Upstream: name,
			Begun:    r.begins <= f.now,
			Sent:     r.sent,
			Ran:      r.ran(f.now),
		})
	}
	for i := range f.members {
		f.spread(i)
	}
	for _, r := range cut {
		q := f.members[r.process]
		_, isHeld := q.Held(f.now, digestOf(r.request), r.parts...)
		switch {
		case r.deadly && r.attempts < 2 && !isHeld && q.Retryable(digestOf(r.request), r.parts...):
			f.place(*r)
		case !r.deadly && r.attempts < 3:
			f.send(*r)
		}
	}
}

// step advances the time by 10 ms.
func (f *fleet) step() {
	f.now += 10
	f.pending = slices.DeleteFunc(f.pending, func(m pendingMessage) bool {
		if m.at <= f.now {
			f.members[m.to].Merge(f.now, m.records)
		}
		return m.at <= f.now
	})
	var ending []int
	f.running = slices.DeleteFunc(f.running, func(r *fleetRun) bool { return f.advance(r, &ending) })
	for _, engine := range ending {
		f.deadlyEnds++
		f.end(engine)
	}
	if f.soloEnds > 0 && f.rng.Int64N(int64(f.soloEnds)) < 10 {
		f.end(f.rng.IntN(f.engines))
	}
	if f.zoneLosses > 0 && f.now%(10*sec) == 0 {
		f.zoneLosses--
		for i := range f.engines / 3 {
			f.end(3 * i)
		}
	}
}

// advance reports whether a run has ended, and adds its engine to ending if that ends with it.
func (f *fleet) advance(r *fleetRun, ending *[]int) bool {
	q := f.members[r.process]
	ran := r.ran(f.now)
	switch {
	case r.begins > f.now:
		return false
	case q.EndsUpstreams(f.now, ran, digestOf(r.request), r.parts...):
		if r.deadly {
			f.deadlyStopped++
		} else {
			f.soundStopped++
		}
		return true
	case r.deadly && ran >= r.length:
		if !slices.Contains(*ending, r.engine) {
			*ending = append(*ending, r.engine)
		}
		return false
	case ran >= r.length:
		q.RecordAnswer(f.now, digestOf(r.request), r.parts...)
		f.spread(r.process)
		return true
	case f.now >= r.reported+300:
		r.reported = f.now
		q.RecordProgress(f.now, mgquarantine.Run{
			Digest:  digestOf(r.request),
			Parts:   r.parts,
			Request: r.request,
			Sent:    r.sent,
			Ran:     ran,
		})
	}
	return false
}

// play plays the fleet for a time. Sound answers take 0.2 to 10 s.
func (f *fleet) play(length mgclock.Millis) {
	const meanLength = 5.1
	rate := float64(f.engines*f.runs) / meanLength // sound requests a second
	for end := f.now + length; f.now < end; {
		f.step()
		for due := rate / 100; due > 0; due-- {
			if f.rng.Float64() >= due {
				continue
			}
			f.next++
			request, part := fmt.Sprint("sound-", f.next), fmt.Sprint("sound part-", f.rng.IntN(20))
			if f.rng.Float64() < f.hotShare {
				request, part = "hot", "hot part"
			}
			f.send(fleetRun{
				request: request,
				parts:   partsNamed("shared", part),
				length:  200 + mgclock.Millis(f.rng.IntN(9800)),
			})
		}
		if f.endsAfter > 0 && f.rng.Float64() < f.deadlyRate/100 {
			request := "deadly"
			if f.deadlyPart {
				request = fmt.Sprint("deadly-", f.now)
			}
			f.send(fleetRun{
				request: request,
				parts:   partsNamed("shared", "deadly part"),
				deadly:  true,
				length:  f.endsAfter*9/10 + mgclock.Millis(f.rng.Int64N(int64(f.endsAfter/5)+1)),
			})
		}
	}
}

// drawFleet draws a fleet from a seed.
func drawFleet(seed uint64) *fleet {
	rng := rand.New(rand.NewPCG(seed, 0))
	return newFleet(seed, fleetSpec{
		engines:    12 + rng.IntN(3)*12,
		runs:       []int{4, 12, 24}[rng.IntN(3)],
		processes:  1 + rng.IntN(8),
		delay:      []mgclock.Millis{5, 50, 200}[rng.IntN(3)],
		endsAfter:  []mgclock.Millis{100, 500, 1000, 2000, 4000}[rng.IntN(5)],
		deadlyRate: 0.5,
		deadlyPart: rng.IntN(3) == 0,
		hotShare:   []float64{0, 0.02, 0.3}[rng.IntN(3)],
		soloEnds:   []mgclock.Millis{0, 2 * sec, 6 * sec}[rng.IntN(3)],
		zoneLosses: rng.IntN(3),
	})
}

// Guards, in drawn fleets, against a request, or a part of prompts, that ends engines at any place of
// its answer and reaches further ones, and against holding or stopping sound ones beside it.
func TestLateStorm(t *testing.T) {
	Convey("Where requests end their engines after 0.1 to 4 s, and others end for another reason", t, func() {
		most, sound, held, stopped := 0, 0, 0, 0
		for _, seed := range []uint64{0, 1, 4, 5, 6, 7, 13, 23, 27, 43, 62, 82} {
			f := drawFleet(seed)
			spec := f.fleetSpec
			f.play(30 * sec)
			t.Logf("seed %d: %+v: %d ends, %d after, %d of %d held, %d sound and %d deadly runs stopped",
				seed, spec, f.deadlyEnds, f.lateStarts, f.held, f.sound, f.soundStopped, f.deadlyStopped)
			most = max(most, f.lateStarts)
			sound += f.sound
			held += f.held
			stopped += f.soundStopped
		}
		t.Logf("at most %d requests after the third end; %d of %d sound ones held, %d stopped", most, held, sound, stopped)
		So(most, ShouldBeLessThanOrEqualTo, 3)
		So(float64(sound-held-stopped), ShouldBeGreaterThanOrEqualTo, 0.95*float64(sound))
		So(sound, ShouldBeGreaterThan, 1000)
	})
}

// BenchmarkLateStorm measures both sides in fleets that are drawn anew each time: the requests that
// reach engines after the third has ended, and the sound ones that are held or stopped.
func BenchmarkLateStorm(b *testing.B) {
	most, sum, sound, lost := 0, 0, 0, 0
	for n := range b.N {
		f := drawFleet(uint64(n))
		f.play(30 * sec)
		most = max(most, f.lateStarts)
		sum += f.lateStarts
		sound += f.sound
		lost += f.held + f.soundStopped
	}
	b.ReportMetric(float64(most), "most-after")
	b.ReportMetric(float64(sum)/float64(b.N), "mean-after")
	b.ReportMetric(1-float64(lost)/float64(sound), "begun")
}
