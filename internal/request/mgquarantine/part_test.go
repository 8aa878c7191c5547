package mgquarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgquarantine"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// partsNamed returns the digests of parts.
func partsNamed(names ...string) []mgquarantine.Digest {
	var parts []mgquarantine.Digest
	for _, name := range names {
		parts = append(parts, mgquarantine.PartDigestOf("service", "model", name))
	}
	return parts
}

// partCrash is a crash of an upstream of its own under a request of its own with these parts.
func partCrash(q *mgquarantine.Quarantine, at mgclock.Millis, request string, parts ...string) {
	q.RecordCrash(at, mgquarantine.Crash{
		Digest:   digestOf(request),
		Parts:    partsNamed(parts...),
		Request:  request,
		Upstream: "engine of " + request,
		Begun:    true,
		Sent:     at - 100,
	})
}

// partAnswer is an answer to a request with these parts.
func partAnswer(q *mgquarantine.Quarantine, at mgclock.Millis, request string, parts ...string) {
	q.RecordAnswer(at, digestOf(request), partsNamed(parts...)...)
}

// A part that crashes engines must be held, and neither the parts that sound requests have in common
// with it nor those of one body that crashes engines by itself.
func TestWrongPartsHeld(t *testing.T) {
	cases := []struct {
		name string
		play func(q *mgquarantine.Quarantine)
		held []string
	}{
		{
			name: "two crashes",
			play: func(q *mgquarantine.Quarantine) {
				partCrash(q, 0, "1", "shared", "bad")
				partCrash(q, sec, "2", "shared", "bad")
			},
		},
		{
			name: "three crashes, with a shared part that no answer has cleared yet",
			play: func(q *mgquarantine.Quarantine) {
				for i := range 3 {
					partCrash(q, sec*mgclock.Millis(i), fmt.Sprint(i), "shared", "bad")
				}
			},
			held: []string{"bad"},
		},
		{
			name: "a crash of another cause beside them",
			play: func(q *mgquarantine.Quarantine) {
				for i := range 4 {
					partCrash(q, sec*mgclock.Millis(i), fmt.Sprint(i), "shared", "bad")
				}
				partCrash(q, 5*sec, "another", "shared", "sound")
			},
			held: []string{"bad"},
		},
		{
			name: "the first part is the cause, and the others differ",
			play: func(q *mgquarantine.Quarantine) {
				for i := range 4 {
					partCrash(q, sec*mgclock.Millis(i), fmt.Sprint(i), "bad", fmt.Sprint("sound-", i))
				}
			},
			held: []string{"bad"},
		},
		{
			name: "the first part is the cause, and sound requests with the second are answered",
			play: func(q *mgquarantine.Quarantine) {
				for i := range 4 {
					partCrash(q, sec*mgclock.Millis(i), fmt.Sprint(i), "bad", "sound")
				}
				partAnswer(q, 4*sec, "answered", "shared", "sound")
			},
			held: []string{"bad"},
		},
		{
			name: "one body again and again",
			play: func(q *mgquarantine.Quarantine) {
				for i := range 3 {
					partCrash(q, sec*mgclock.Millis(i), "same", "shared", "sound")
				}
			},
		},
		{
			name: "a part that was answered just before",
			play: func(q *mgquarantine.Quarantine) {
				for i := range 6 {
					at := sec * mgclock.Millis(i)
					partAnswer(q, at, "answered", "shared")
					partCrash(q, at+sec/2, fmt.Sprint(i), "shared")
				}
			},
		},
		{
			name: "answered once it was held",
			play: func(q *mgquarantine.Quarantine) {
				for i := range 3 {
					partCrash(q, sec*mgclock.Millis(i), fmt.Sprint(i), "sound")
				}
				partAnswer(q, 3*sec, "answered", "sound")
			},
		},
		{
			name: "engines that are lost at one moment",
			play: func(q *mgquarantine.Quarantine) {
				for i := range 12 {
					partCrash(q, sec+mgclock.Millis(i), fmt.Sprint(i), "sound")
				}
			},
		},
		{
			name: "requests that overlap, at two moments",
			play: func(q *mgquarantine.Quarantine) {
				partCrash(q, sec, "1", "bad")
				partCrash(q, sec+10, "2", "bad")
				partCrash(q, sec+400, "3", "bad")
			},
			held: []string{"bad"},
		},
		{
			name: "parts at another model",
			play: func(q *mgquarantine.Quarantine) {
				for i := range 3 {
					q.RecordCrash(sec*mgclock.Millis(i), mgquarantine.Crash{
						Digest:   digestOf(fmt.Sprint(i)),
						Parts:    []mgquarantine.Digest{mgquarantine.PartDigestOf("service", "another", "bad")},
						Upstream: fmt.Sprint(i),
						Begun:    true,
					})
				}
			},
		},
	}
	Convey("Which parts are held", t, func() {
		for _, c := range cases {
			Convey("after "+c.name, func() {
				q := mgquarantine.New("life", nil)
				c.play(q)
				var held []string
				for _, name := range []string{"bad", "shared", "sound"} {
					if _, is := q.Held(6*sec, digestOf("new"), partsNamed(name)...); is {
						held = append(held, name)
					}
				}
				So(held, ShouldResemble, c.held)
			})
		}
	})
}

// Guards against a held request's body that hides the part which crashes engines, and the reverse.
func TestBodyHidesPart(t *testing.T) {
	Convey("Where one body crashes three engines and then others with the same part do", t, func() {
		q := mgquarantine.New("life", nil)
		for i := range 3 {
			partCrash(q, sec*mgclock.Millis(i), "same", "shared", "bad")
		}
		_, held := q.Held(3*sec, digestOf("same"))
		So(held, ShouldBeTrue)
		partCrash(q, 4*sec, "other", "shared", "bad")
		_, held = q.Held(5*sec, digestOf("new"), partsNamed("shared", "bad")...)
		So(held, ShouldBeTrue)
		_, held = q.Held(5*sec, digestOf("new"), partsNamed("shared")...)
		So(held, ShouldBeFalse)
	})
}

// Guards against a sound part that stays held because the process that suspects it has seen no
// answer, and against a flood of answers from all that have.
func TestAnswersElsewhereIgnored(t *testing.T) {
	Convey("Of processes that have seen answers to a part", t, func() {
		first, second := mgquarantine.New("first", nil), mgquarantine.New("second", func(mgquarantine.Digest) int { return 1 })
		fresh := mgquarantine.New("fresh", func(mgquarantine.Digest) int { return 2 })
		for _, q := range []*mgquarantine.Quarantine{first, second} {
			q.RecordPartAnswers(sec, partsNamed("sound")...)
		}
		partCrash(fresh, 2*sec, "1", "sound")
		records := fresh.MissingRecords(2*sec, nil)
		first.Merge(2*sec, records)
		second.Merge(2*sec, records)
		Convey("the one that ranks first tells it", func() {
			So(len(first.MissingRecords(2*sec, fresh.Checksums())), ShouldBeGreaterThan, 0)
			So(second.MissingRecords(2*sec, fresh.Checksums()), ShouldBeEmpty)
			fresh.Merge(2*sec, first.MissingRecords(2*sec, nil))
			So(fresh.Occurrences(partsNamed("sound")[0]), ShouldEqual, 0)
		})
		Convey("any one does where the part is held", func() {
			second.RecordPartAnswers(4*sec, partsNamed("sound")...)
			for i := range 3 {
				partCrash(fresh, 3*sec+400*mgclock.Millis(i), fmt.Sprint("more-", i), "sound")
			}
			_, held := fresh.Held(4*sec, digestOf("new"), partsNamed("sound")...)
			So(held, ShouldBeTrue)
			second.Merge(4*sec, fresh.MissingRecords(4*sec, nil))
			fresh.Merge(4*sec, second.MissingRecords(4*sec, fresh.Checksums()))
			_, held = fresh.Held(4*sec, digestOf("new"), partsNamed("sound")...)
			So(held, ShouldBeFalse)
		})
	})
}

// Guards against trials of a part that crash engine after engine, at one process or at many.
func TestPartTriedTooOften(t *testing.T) {
	Convey("Requests with a part that crashes engines, which come for four hours", t, func() {
		const processes = 64
		all := make([]*mgquarantine.Quarantine, processes)
		for i := range all {
			all[i] = mgquarantine.New(fmt.Sprint(i), func(mgquarantine.Digest) int { return i })
		}
		rng := rand.New(rand.NewPCG(1, 0))
		reached := 0
		for now := mgclock.Millis(0); now < 240*minute; now += 250 {
			q := all[rng.IntN(processes)]
			request := fmt.Sprint(now)
			if _, ok := q.Admit(now, digestOf(request), partsNamed("bad")...); !ok {
				continue
			}
			reached++
			partCrash(q, now, request, "bad")
			for _, other := range all {
				other.Merge(now, q.RecentRecords(now))
				other.Tick(now)
			}
		}
		So(reached, ShouldBeLessThanOrEqualTo, 3+3)
	})
}
