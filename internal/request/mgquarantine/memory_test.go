package mgquarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgquarantine"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Guards against processes that forget what crashed upstreams, all at once, and let it crash as many
// again; and against holding requests at a first crash for longer than that needs.
func TestLostRecordsAreIgnored(t *testing.T) {
	// crash is a crash of an upstream of its own under a request that had run for a time.
	crash := func(q *mgquarantine.Quarantine, at, ran mgclock.Millis, waiting bool) {
		q.RecordCrash(at, mgquarantine.Crash{
			Digest:   digestOf("x"),
			Upstream: fmt.Sprint("engine ", at),
			Begun:    !waiting,
			Sent:     at - ran - 100,
			Ran:      ran,
		})
	}
	cases := []struct {
		name string
		play func(q *mgquarantine.Quarantine)
		held bool
	}{
		{
			name: "one crash as the request began",
			play: func(q *mgquarantine.Quarantine) { crash(q, 2*sec, 0, false) },
			held: true,
		},
		{
			name: "one crash while it waited",
			play: func(q *mgquarantine.Quarantine) { crash(q, 2*sec, 0, true) },
		},
		{
			name: "one crash in the middle of its answer",
			play: func(q *mgquarantine.Quarantine) { crash(q, 2*sec, sec, false) },
		},
		{
			name: "two crashes in the middle of its answers",
			play: func(q *mgquarantine.Quarantine) {
				crash(q, 2*sec, sec, false)
				crash(q, 3*sec+400, sec, false)
			},
			held: true,
		},
		{
			name: "one of many crashes at one moment",
			play: func(q *mgquarantine.Quarantine) {
				for i := range mgclock.Millis(5) {
					crash(q, 2*sec+i, 0, false)
				}
			},
		},
		{
			name: "one crash, after which another upstream answers",
			play: func(q *mgquarantine.Quarantine) {
				crash(q, 2*sec, 0, false)
				q.RecordAnswer(3*sec, digestOf("x"))
			},
		},
		{
			name: "one crash, of a process that has the records of one that runs on",
			play: func(q *mgquarantine.Quarantine) {
				q.AdoptMemory(sec, minute, nil)
				crash(q, 2*sec, 0, false)
			},
		},
		{
			name: "one crash, of a process that lacks some of them",
			play: func(q *mgquarantine.Quarantine) {
				other := mgquarantine.New("other", nil)
				crash(other, sec, 0, false)
				q.AdoptMemory(sec, minute, other.Checksums())
				crash(q, 2*sec, 0, false)
			},
			held: true,
		},
	}
	Convey("A process that has just started, after", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				q := mgquarantine.New("life", nil)
				q.Begin(sec, 30*sec)
				c.play(q)
				_, held := q.Held(3*sec+500, digestOf("x"))
				So(held, ShouldEqual, c.held)
			})
		}
	})
	Convey("A hold lasts beyond the time in which requests are held sooner", t, func() {
		q := mgquarantine.New("life", nil)
		q.Begin(sec, 30*sec)
		crash(q, 28*sec, 0, false)
		crash(q, 31*sec, 0, false)
		q.RecordCrash(50*sec, mgquarantine.Crash{
			Digest:   digestOf("another"),
			Upstream: "another",
			Begun:    true,
		})
		_, held := q.Held(55*sec, digestOf("x"))
		So(held, ShouldBeTrue)
		crash(q, 62*sec, 0, false)
		_, held = q.Held(150*sec, digestOf("x"))
		So(held, ShouldBeTrue)
	})
	Convey("A second crash within the first short hold begins a usual one", t, func() {
		q := mgquarantine.New("life", nil)
		q.Begin(sec, 30*sec)
		crash(q, 5*sec, 0, false)
		crash(q, 6*sec, 0, false)
		_, held := q.Held(20*sec, digestOf("x"))
		So(held, ShouldBeTrue)
	})
	Convey("A process that has run for a while holds nothing after one crash", t, func() {
		q := mgquarantine.New("life", nil)
		q.Begin(sec, 30*sec)
		crash(q, 40*sec, 0, false)
		_, held := q.Held(41*sec, digestOf("x"))
		So(held, ShouldBeFalse)
	})
}

// Guards, in drawn fleets that lose all processes at once, against a request that reaches further
// engines, and against holding sound ones.
func TestLostRecordsStorm(t *testing.T) {
	Convey("Where all processes are lost after ten seconds", t, func() {
		most, sound, held := 0, 0, 0
		for seed := range uint64(12) {
			rng := rand.New(rand.NewPCG(seed, 7))
			f := newFleet(seed, fleetSpec{
				engines:    12 + rng.IntN(2)*12,
				runs:       []int{4, 12}[rng.IntN(2)],
				processes:  1 + rng.IntN(6),
				delay:      []mgclock.Millis{5, 50}[rng.IntN(2)],
				endsAfter:  []mgclock.Millis{100, 1000}[rng.IntN(2)],
				deadlyRate: 0.5,
				hotShare:   0.02,
				soloEnds:   []mgclock.Millis{0, 6 * sec}[rng.IntN(2)],
				zoneLosses: rng.IntN(2),
			})
			f.play(10 * sec)
			f.loseProcesses()
			f.play(15 * sec)
			t.Logf("seed %d: %d ends, %d after, %d of %d held", seed, f.deadlyEnds, f.lateStarts, f.held, f.sound)
			most = max(most, f.lateStarts)
			sound += f.sound
			held += f.held
		}
		t.Logf("at most %d requests after the third end, %d of %d sound ones held", most, held, sound)
		So(most, ShouldBeLessThanOrEqualTo, 3)
		So(float64(sound-held), ShouldBeGreaterThanOrEqualTo, 0.95*float64(sound))
		So(sound, ShouldBeGreaterThan, 1000)
	})
}
