package mglimit

import (
	"math"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

func newRecord(upstream string, rate float64, named mgclock.Millis) Record {
	return Record{
		Upstream: upstream,
		Rate:     rate,
		Named:    named,
	}
}

func withEnd(r Record, unnamed mgclock.Millis) Record {
	r.Ended = true
	r.Unnamed = unnamed
	return r
}

func TestWrongLimitIsActive(t *testing.T) {
	const now = 10 * mgclock.Second
	rate := func(s *Limits, born int64) float64 {
		rate, limited := s.Rate("a", born)
		if !limited {
			return -1
		}
		return rate
	}
	cases := []struct {
		name  string
		apply func(s *Limits)
		born  int64 // from the list
		rate  float64
	}{
		{
			name:  "a named rate is active",
			apply: func(s *Limits) { s.RecordRate(now, "a", 0, 5) },
			rate:  5,
		},
		{
			name: "the last named rate is active",
			apply: func(s *Limits) {
				s.RecordRate(now, "a", 0, 5)
				s.RecordRate(now+1, "a", 0, 0)
			},
			rate: 0,
		},
		{
			name: "an answer to a later request ends it",
			apply: func(s *Limits) {
				s.RecordRate(now, "a", 0, 5)
				s.RecordNoRate(now+20, now+1, "a", 0)
			},
			rate: -1,
		},
		{
			name: "an answer that arrives out of order doesn't",
			apply: func(s *Limits) {
				s.RecordRate(now, "a", 0, 5)
				s.RecordNoRate(now+20, now-1, "a", 0)
			},
			rate: 5,
		},
		{
			name: "it is active again once it is named again",
			apply: func(s *Limits) {
				s.RecordRate(now, "a", 0, 5)
				s.RecordNoRate(now+20, now+1, "a", 0)
				s.RecordRate(now+30, "a", 0, 4)
			},
			rate: 4,
		},
		{
			name: "it doesn't expire while the upstream is listed",
			apply: func(s *Limits) {
				s.RecordRate(now, "a", 0, 5)
				s.Prune(now+mgclock.Minute*60, func(string) bool { return true })
			},
			rate: 5,
		},
		{
			name: "a list that lacks the upstream for a while doesn't end it",
			apply: func(s *Limits) {
				s.RecordRate(now, "a", 0, 5)
				s.Prune(now+10*mgclock.Second, func(string) bool { return false })
			},
			rate: 5,
		},
		{
			name:  "a later incarnation on the list has none",
			apply: func(s *Limits) { s.RecordRate(now, "a", 1, 5) },
			born:  2,
			rate:  -1,
		},
		{
			name:  "a limit of a later incarnation is active while the list is out of date",
			apply: func(s *Limits) { s.RecordRate(now, "a", 2, 5) },
			born:  1,
			rate:  5,
		},
		{
			name: "a late record of an earlier incarnation is ignored",
			apply: func(s *Limits) {
				s.RecordRate(now, "a", 2, 5)
				s.RecordRate(now+1, "a", 1, 50)
				s.RecordNoRate(now+30, now+20, "a", 1)
			},
			born: 2,
			rate: 5,
		},
		{
			name:  "another process's record is active",
			apply: func(s *Limits) { s.Merge(now, []Record{newRecord("a", 5, 300)}) },
			rate:  5,
		},
		{
			name: "an end that another process records counts only where it is certainly later",
			apply: func(s *Limits) {
				s.RecordRate(now, "a", 0, 5)
				s.Merge(now+maxRecordDelay, []Record{withEnd(newRecord("a", 5, 900), 100)})
			},
			rate: 5,
		},
		{
			name: "and then it ends the limit",
			apply: func(s *Limits) {
				s.RecordRate(now, "a", 0, 5)
				s.Merge(now+2*maxRecordDelay, []Record{withEnd(newRecord("a", 5, 900), 100)})
			},
			rate: -1,
		},
		{
			name: "unusable records are ignored",
			apply: func(s *Limits) {
				_, unusable := s.Merge(now, []Record{
					newRecord("", 5, 0),
					newRecord("a", -1, 0),
					newRecord("a", math.NaN(), 0),
					newRecord("a", math.Inf(1), 0),
					newRecord("a", 5, -1),
				})
				So(unusable, ShouldEqual, 5)
			},
			rate: -1,
		},
	}
	Convey("For an upstream's limit", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				var s Limits
				c.apply(&s)
				So(rate(&s, c.born), ShouldEqual, c.rate)
			})
		}
	})
}

// Ages that processes exchange must neither be negative nor decrease.
func TestRecordAgeIsNegativeOrShrinks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := mgclock.Millis(rapid.Int64Range(0, 1000).Draw(t, "now"))
		named := now
		var first Limits
		first.RecordRate(now, "a", 0, 5)
		records := first.Records(now)
		for range rapid.IntRange(1, 4).Draw(t, "hops") {
			now += mgclock.Millis(rapid.Int64Range(0, 500).Draw(t, "delay"))
			var next Limits
			next.Merge(now, records)
			now += mgclock.Millis(rapid.Int64Range(0, 500).Draw(t, "stored"))
			before := records[0].Named
			records = next.Records(now)
			if records[0].Named < before || records[0].Named > now-named {
				t.Fatalf("age is %d ms for a rate named %d ms ago", records[0].Named, now-named)
			}
			if _, unusable := next.Merge(now, records); unusable > 0 {
				t.Fatalf("unusable records: %v", records)
			}
		}
	})
}

// Processes must store the same limit in whatever order, and however often, they receive
// the same records.
func TestRecordOrderChangesLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const now = 10 * mgclock.Second
		drawn := rapid.Custom(func(t *rapid.T) Record {
			w := Record{
				Upstream:         "a",
				IncarnationStart: rapid.Int64Range(1, 2).Draw(t, "born"),
				Named:            mgclock.Millis(rapid.Int64Range(0, 2000).Draw(t, "named")),
			}
			w.Rate = float64(w.Named) // records of one time have one rate
			if w.Ended = rapid.Bool().Draw(t, "ended"); w.Ended {
				w.Unnamed = mgclock.Millis(rapid.Int64Range(0, 2000).Draw(t, "unnamed"))
			}
			return w
		})
		records := rapid.SliceOfN(drawn, 1, 6).Draw(t, "records")
		var one, other Limits
		one.Merge(now, records)
		for _, i := range rapid.Permutation(indexes(len(records))).Draw(t, "order") {
			other.Merge(now, records[i:i+1])
			other.Merge(now, records[i:i+1])
		}
		if a, b := one.Records(now), other.Records(now); len(a) != 1 || len(b) != 1 || a[0] != b[0] {
			t.Fatalf("records differ: %v and %v", a, b)
		}
	})
}

func indexes(count int) []int {
	all := make([]int, count)
	for i := range all {
		all[i] = i
	}
	return all
}
