package mgquarantine_test

import (
	"fmt"
	"strconv"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgquarantine"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Two crashes seen by two processes must count the same at every process, whether or not a
// clock proves their order.
func TestProcessesCountCrashesDifferently(t *testing.T) {
	// The first crash is seen at 0 by one process, whose record reaches the other at 150.
	// The other process sees the second crash at 500.
	cases := []struct {
		name        string
		second      mgquarantine.Crash
		receivedAt  mgclock.Millis // when the other process receives the first record, if not at 150
		pause       mgclock.Millis // when the other process resumes after a pause
		occurrences int
	}{
		{
			name: "sent after the first was received",
			second: mgquarantine.Crash{
				Upstream: "b",
				Sent:     160,
			},
			occurrences: 2,
		},
		{
			name: "sent before the first was received, and seen more than a window after",
			second: mgquarantine.Crash{
				Upstream: "b",
				Sent:     100,
			},
			occurrences: 2,
		},
		{
			name: "sent before the first was received, and possibly ended within a window of it",
			second: mgquarantine.Crash{
				Upstream: "b",
				Sent:     100,
				Delay:    60,
			},
			occurrences: 1,
		},
		{
			name: "sent before, and seen within a window of the receipt of the first",
			second: mgquarantine.Crash{
				Upstream: "b",
				Sent:     100,
			},
			receivedAt:  250,
			occurrences: 1,
		},
		{
			name: "of which the first is received only later",
			second: mgquarantine.Crash{
				Upstream: "b",
				Sent:     450,
			},
			receivedAt:  510,
			occurrences: 1,
		},
		{
			name: "of the same upstream, which may have had one crash only",
			second: mgquarantine.Crash{
				Upstream: "a",
				Sent:     100,
			},
			occurrences: 1,
		},
		{
			name: "of the same upstream, sent after the first was received",
			second: mgquarantine.Crash{
				Upstream: "a",
				Sent:     160,
			},
			occurrences: 2,
		},
		{
			name: "sent before a pause of the process that saw it",
			second: mgquarantine.Crash{
				Upstream: "b",
				Sent:     160,
			},
			pause:       490,
			occurrences: 1,
		},
	}
	Convey("Of two crashes, seen by two processes", t, func() {
		for _, c := range cases {
			Convey(fmt.Sprintf("%s: %d occurrences", c.name, c.occurrences), func() {
				first, other, third := mgquarantine.New("first", nil), mgquarantine.New("other", nil), mgquarantine.New("third", nil)
				first.RecordCrash(0, mgquarantine.Crash{
					Digest:   digestOf("bad"),
					Upstream: "a",
					Begun:    true,
					Sent:     -100,
				})
				sent := first.MissingRecords(0, nil)
				c.second.Digest, c.second.Begun = digestOf("bad"), true
				if c.receivedAt == 0 {
					c.receivedAt = 150
				}
				if c.receivedAt < 500 {
					other.Merge(c.receivedAt, sent)
				}
				if c.pause > 0 {
					other.RecordPause(c.pause)
				}
				other.RecordCrash(500, c.second)
				if c.receivedAt >= 500 {
					other.Merge(c.receivedAt, sent)
				}
				for _, q := range []*mgquarantine.Quarantine{first, third} {
					So(q.Merge(5*sec, other.MissingRecords(600, nil)), ShouldBeEmpty)
				}
				So(other.Occurrences(digestOf("bad")), ShouldEqual, c.occurrences)
				So(first.Occurrences(digestOf("bad")), ShouldEqual, c.occurrences)
				So(third.Occurrences(digestOf("bad")), ShouldEqual, c.occurrences)
			})
		}
	})
}

// The first copy of a record arrives too late to prove the order of two crashes. A copy
// that arrives later on a faster path must prove it.
func TestFasterCopyIsIgnored(t *testing.T) {
	Convey("A second crash whose attempt was sent before the record of the first arrived", t, func() {
		first, other, third := mgquarantine.New("first", nil), mgquarantine.New("other", nil), mgquarantine.New("third", nil)
		record(first, []observation{{
			request:  "bad",
			upstream: "a",
			sent:     -100,
		}})
		record(other, []observation{{
			at:       400,
			request:  "bad",
			upstream: "b",
			sent:     300,
		}})
		other.Merge(790, first.MissingRecords(400, nil)) // 390 ms network delay
		So(other.Occurrences(digestOf("bad")), ShouldEqual, 1)
		So(len(third.Merge(900, other.MissingRecords(800, nil))), ShouldEqual, 0)
		So(third.Occurrences(digestOf("bad")), ShouldEqual, 1)

		other.Merge(1000, first.MissingRecords(800, nil)) // 200 ms network delay
		So(other.Occurrences(digestOf("bad")), ShouldEqual, 2)
		So(third.Merge(1300, other.MissingRecords(1000, third.Checksums())), ShouldBeEmpty)
		So(third.Occurrences(digestOf("bad")), ShouldEqual, 2)
	})
}

// Upstreams that crash together must count once at every process, whatever the network
// delays and clock offsets.
func TestOneMomentCountsMoreThanOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const count = 4
		occurrences := rapid.IntRange(1, 3).Draw(t, "moments")
		delayRange := rapid.Int64Range(0, rapid.SampledFrom([]int64{3, 200, 400, 1500}).Draw(t, "slowest"))
		var all [count]*mgquarantine.Quarantine
		var offset [count]mgclock.Millis // of each process's clock
		for i := range all {
			all[i] = mgquarantine.New(strconv.Itoa(i), nil)
			offset[i] = mgclock.Millis(rapid.Int64Range(0, 100000).Draw(t, "offset"))
		}
		now := mgclock.Millis(10000)
		exchange := func(times int) {
			for range times {
				from, to := rapid.IntRange(0, count-1).Draw(t, "from"), rapid.IntRange(0, count-1).Draw(t, "to")
				if from == to {
					continue
				}
				sent := all[from].MissingRecords(now+offset[from], nil)
				now += mgclock.Millis(delayRange.Draw(t, "delay"))
				all[to].Merge(now+offset[to], sent)
			}
		}
		for moment := range occurrences {
			for i := range count {
				if !rapid.Bool().Draw(t, "sees") {
					continue
				}
				at := now + offset[i]
				all[i].RecordCrash(at, mgquarantine.Crash{
					Digest:   digestOf("sound"),
					Upstream: fmt.Sprintf("engine-%d-%d", moment, rapid.IntRange(0, 3).Draw(t, "engine")),
					Begun:    true,
					Sent:     at - 1 - mgclock.Millis(rapid.Int64Range(0, 2000).Draw(t, "age")),
				})
			}
			exchange(rapid.IntRange(0, 12).Draw(t, "exchanges"))
			if rapid.Bool().Draw(t, "stands still") {
				i := rapid.IntRange(0, count-1).Draw(t, "which")
				now += 5 * sec
				offset[i] -= 5 * sec
				all[i].RecordPause(now + offset[i])
			}
			now += 6 * sec
		}
		exchange(20)
		for i, q := range all {
			if q.Occurrences(digestOf("sound")) > occurrences {
				t.Fatalf("process %d counts %d occurrences for %d moments", i, q.Occurrences(digestOf("sound")), occurrences)
			}
		}
	})
}

// Guards against crashes within one millisecond that count more than once, or in a false order.
func TestOneMillisecondCountsMore(t *testing.T) {
	crash := func(upstream string, nextNumber uint64) mgquarantine.Crash {
		return mgquarantine.Crash{
			Digest:     digestOf("bad"),
			Upstream:   upstream,
			Begun:      true,
			Sent:       10,
			NextNumber: nextNumber,
		}
	}
	cases := []struct {
		name        string
		crashes     []mgquarantine.Crash
		occurrences int
	}{
		{
			name:        "two, the second sent after the first was recorded",
			crashes:     []mgquarantine.Crash{crash("a", 1), crash("b", 2)},
			occurrences: 2,
		},
		{
			name:        "two, both sent before any was recorded",
			crashes:     []mgquarantine.Crash{crash("a", 1), crash("b", 1)},
			occurrences: 1,
		},
		{
			name:        "three, the last two sent after the first was recorded",
			crashes:     []mgquarantine.Crash{crash("a", 1), crash("b", 2), crash("c", 2)},
			occurrences: 2,
		},
		{
			name:        "two of one upstream, the second sent after the first was recorded",
			crashes:     []mgquarantine.Crash{crash("a", 1), crash("a", 2)},
			occurrences: 2,
		},
		{
			name:        "two of a release that doesn't say when they were sent",
			crashes:     []mgquarantine.Crash{crash("a", 0), crash("b", 0)},
			occurrences: 2,
		},
	}
	Convey("Of crashes sent and seen within one millisecond", t, func() {
		for _, c := range cases {
			Convey(fmt.Sprintf("%s: %d occurrences", c.name, c.occurrences), func() {
				own, other := mgquarantine.New("own", nil), mgquarantine.New("other", nil)
				for _, crash := range c.crashes {
					own.RecordCrash(10, crash)
				}
				So(own.Occurrences(digestOf("bad")), ShouldEqual, c.occurrences)
				So(other.Merge(1000, own.MissingRecords(20, nil)), ShouldBeEmpty)
				So(other.Occurrences(digestOf("bad")), ShouldEqual, c.occurrences)
			})
		}
	})
}

// Guards against an order of two processes' crashes that only the rounding to 1 ms shows.
func TestRoundingReversesOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const usPerMillis = 1000
		var clocks [3]int64 // offset of each process's clock, us
		var all [3]*mgquarantine.Quarantine
		for i := range all {
			clocks[i] = rapid.Int64Range(0, 5*usPerMillis).Draw(t, "clock")
			all[i] = mgquarantine.New(strconv.Itoa(i), nil)
		}
		now := int64(10 * sec * usPerMillis) // us
		at := func(process int) mgclock.Millis { return mgclock.Millis((now + clocks[process]) / usPerMillis) }
		pass := func(name string) { now += rapid.Int64Range(0, 2*usPerMillis).Draw(t, name) }
		last := len(all) - 1
		sent := at(last)
		pass("until the first crash")
		all[0].RecordCrash(at(0), mgquarantine.Crash{
			Digest:   digestOf("sound"),
			Upstream: "first",
			Begun:    true,
		})
		for i := range last {
			pass("until it is sent on")
			records := all[i].MissingRecords(at(i), nil)
			pass("delay")
			all[i+1].Merge(at(i+1), records)
		}
		pass("until the second crash")
		all[last].RecordCrash(at(last), mgquarantine.Crash{
			Digest:   digestOf("sound"),
			Upstream: "second",
			Begun:    true,
			Sent:     sent,
		})
		if count := all[last].Occurrences(digestOf("sound")); count != 1 {
			t.Fatalf("%d occurrences", count)
		}
	})
}

// Guards against a crash that an earlier answer of the same millisecond voids.
func TestEarlierAnswerVoidsCrash(t *testing.T) {
	Convey("Of a crash, an answer and another crash within one millisecond", t, func() {
		own, other := mgquarantine.New("own", nil), mgquarantine.New("other", nil)
		record(own, []observation{
			{
				at:       10,
				request:  "bad",
				upstream: "a",
				sent:     5,
			},
			answerAt(10, "bad"),
			{
				at:       10,
				request:  "bad",
				upstream: "b",
				sent:     10,
			},
		})
		Convey("the last one counts", func() {
			So(own.Occurrences(digestOf("bad")), ShouldEqual, 1)
			So(other.Merge(1000, own.MissingRecords(20, nil)), ShouldBeEmpty)
			So(other.Occurrences(digestOf("bad")), ShouldEqual, 1)
		})
	})
}
