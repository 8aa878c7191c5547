package mgquarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgquarantine"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	sec    = mgclock.Second
	minute = mgclock.Minute
)

func digestOf(name string) mgquarantine.Digest {
	return mgquarantine.DigestOf("account", "host", "/path", []byte(name))
}

// observation is one crash as a process sees it, or an answer where upstream is empty.
type observation struct {
	at       mgclock.Millis
	request  string
	upstream string
	waiting  bool // the upstream had not begun the request
	sent     mgclock.Millis
}

func record(q *mgquarantine.Quarantine, observations []observation) {
	for _, s := range observations {
		if s.upstream == "" {
			q.RecordAnswer(s.at, digestOf(s.request))
			continue
		}
		q.RecordCrash(s.at, mgquarantine.Crash{
			Digest:   digestOf(s.request),
			Request:  s.request,
			Upstream: s.upstream,
			Begun:    !s.waiting,
			Sent:     s.sent,
		})
	}
}

// answerAt returns an upstream's answer to a request.
func answerAt(at mgclock.Millis, request string) observation {
	return observation{
		at:      at,
		request: request,
	}
}

// crashesFrom returns crashes of a request, one each second from the given time.
func crashesFrom(at mgclock.Millis, request string, upstreams ...string) []observation {
	var all []observation
	for i, upstream := range upstreams {
		all = append(all, observation{
			at:       at + sec*mgclock.Millis(i),
			request:  request,
			upstream: upstream,
			sent:     at + sec*mgclock.Millis(i) - 100,
		})
	}
	return all
}

// A request that crashes upstreams must be held before it reaches the next one, and a
// request that merely ran beside it must not be held.
func TestWrongRequestsHeld(t *testing.T) {
	cases := []struct {
		name string
		seen []observation
		now  mgclock.Millis
		held []string
	}{
		{
			name: "two crashes",
			seen: crashesFrom(0, "bad", "a", "b"),
			now:  5 * sec,
		},
		{
			name: "three",
			seen: crashesFrom(0, "bad", "a", "b", "c"),
			now:  5 * sec,
			held: []string{"bad"},
		},
		{
			name: "three of one upstream that starts again under its name",
			seen: crashesFrom(0, "bad", "a", "a", "a"),
			now:  5 * sec,
			held: []string{"bad"},
		},
		{
			name: "one, reported three times within a second",
			seen: []observation{
				{
					at:       0,
					request:  "bad",
					upstream: "a",
				},
				{
					at:       400,
					request:  "bad",
					upstream: "a",
				},
				{
					at:       800,
					request:  "bad",
					upstream: "a",
				},
			},
			now: 5 * sec,
		},
		{
			name: "an availability zone that is lost under a request of many callers",
			seen: []observation{
				{
					at:       1000,
					request:  "hot",
					upstream: "a",
					sent:     500,
				},
				{
					at:       1003,
					request:  "hot",
					upstream: "b",
					sent:     600,
				},
				{
					at:       1005,
					request:  "hot",
					upstream: "c",
					sent:     700,
				},
				{
					at:       1040,
					request:  "hot",
					upstream: "d",
					sent:     800,
				},
			},
			now: 5 * sec,
		},
		{
			name: "three within a window, each sent after the one before",
			seen: []observation{
				{
					at:       1000,
					request:  "bad",
					upstream: "a",
					sent:     900,
				},
				{
					at:       1050,
					request:  "bad",
					upstream: "b",
					sent:     1000,
				},
				{
					at:       1099,
					request:  "bad",
					upstream: "c",
					sent:     1051,
				},
			},
			now:  5 * sec,
			held: []string{"bad"},
		},
		{
			name: "three, with an answer in between",
			seen: append(append(crashesFrom(0, "hot", "a", "b"), answerAt(1500, "hot")), crashesFrom(2*sec, "hot", "c")...),
			now:  5 * sec,
		},
		{
			name: "an answer once it was held",
			seen: append(crashesFrom(0, "hot", "a", "b", "c"), answerAt(2500, "hot")),
			now:  5 * sec,
		},
		{
			name: "a neighbour at three of five crashes",
			seen: slices.Concat(crashesFrom(0, "bad", "a", "b", "c", "d", "e"), crashesFrom(2, "neighbour", "a", "b", "c")),
			now:  10 * sec,
			held: []string{"bad"},
		},
		{
			name: "neighbours that waited",
			seen: slices.Concat(crashesFrom(0, "bad", "a", "b", "c"), []observation{
				{
					at:       2,
					request:  "queued",
					upstream: "a",
					waiting:  true,
				},
				{
					at:       1002,
					request:  "queued",
					upstream: "b",
					waiting:  true,
				},
				{
					at:       2002,
					request:  "queued",
					upstream: "c",
					waiting:  true,
				},
			}),
			now:  10 * sec,
			held: []string{"bad"},
		},
		{
			name: "upstreams that end before they report that they began it",
			seen: []observation{
				{
					at:       0,
					request:  "bad",
					upstream: "a",
					waiting:  true,
				},
				{
					at:       1000,
					request:  "bad",
					upstream: "b",
					waiting:  true,
				},
				{
					at:       2000,
					request:  "bad",
					upstream: "c",
					waiting:  true,
				},
			},
			now:  10 * sec,
			held: []string{"bad"},
		},
		{
			name: "two requests that crash different upstreams",
			seen: slices.Concat(crashesFrom(0, "bad", "a", "b", "c"), crashesFrom(200, "worse", "d", "e", "f")),
			now:  10 * sec,
			held: []string{"bad", "worse"},
		},
		{
			name: "three that are far apart",
			seen: []observation{
				{
					at:       0,
					request:  "old",
					upstream: "a",
				},
				{
					at:       11 * minute,
					request:  "old",
					upstream: "b",
				},
				{
					at:       22 * minute,
					request:  "old",
					upstream: "c",
				},
			},
			now: 22*minute + sec,
		},
		{
			name: "three, once the hold is over",
			seen: crashesFrom(0, "bad", "a", "b", "c"),
			now:  33 * sec,
		},
		{
			name: "one more after a hold, for four times as long",
			seen: append(crashesFrom(0, "bad", "a", "b", "c"), crashesFrom(40*sec, "bad", "d")...),
			now:  159 * sec,
			held: []string{"bad"},
		},
		{
			name: "one more after a hold, once that is over",
			seen: append(crashesFrom(0, "bad", "a", "b", "c"), crashesFrom(40*sec, "bad", "d")...),
			now:  161 * sec,
		},
		{
			name: "attempts in progress when the hold began, which don't extend it",
			seen: crashesFrom(0, "bad", "a", "b", "c", "d", "e", "f"),
			now:  33 * sec,
		},
		{
			name: "one more long after a hold",
			seen: append(crashesFrom(0, "bad", "a", "b", "c"), crashesFrom(11*minute, "bad", "d")...),
			now:  11*minute + sec,
		},
	}
	Convey("Which requests are held", t, func() {
		for _, c := range cases {
			Convey("after "+c.name, func() {
				slices.SortStableFunc(c.seen, func(a, b observation) int { return int(a.at - b.at) })
				q := mgquarantine.New("life", nil)
				for _, s := range c.seen {
					q.Tick(s.at)
					record(q, []observation{s})
				}
				q.Tick(c.now)
				var held []string
				for _, name := range []string{"bad", "hot", "neighbour", "old", "queued", "worse"} {
					if _, is := q.Held(c.now, digestOf(name)); is {
						held = append(held, name)
					}
				}
				So(held, ShouldResemble, c.held)
			})
		}
	})
}

// Processes that receive the same records in different orders must hold the same requests.
func TestRecordOrderChangesHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		origins := make([]*mgquarantine.Quarantine, 4)
		for i := range origins {
			origins[i] = mgquarantine.New(strconv.Itoa(i), nil)
		}
		for i := range rapid.IntRange(0, 40).Draw(t, "events") {
			s := observation{
				at:       mgclock.Millis(i) * 150,
				request:  rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "request"),
				upstream: rapid.SampledFrom([]string{"a", "b", "c", "d", ""}).Draw(t, "upstream"),
				waiting:  rapid.Bool().Draw(t, "waiting"),
			}
			s.sent = s.at - mgclock.Millis(rapid.IntRange(0, 500).Draw(t, "age"))
			record(origins[rapid.IntRange(0, 3).Draw(t, "origin")], []observation{s})
		}
		const now = 10 * sec
		var records []mgquarantine.Record
		for _, q := range origins {
			records = append(records, q.MissingRecords(now, nil)...)
		}
		one, other := mgquarantine.New("one", nil), mgquarantine.New("other", nil)
		one.Merge(now, records)
		for _, at := range rapid.Permutation(indexes(len(records))).Draw(t, "order") {
			other.Merge(now, records[at:at+1])
			other.Merge(now, records[at:at+1])
		}
		if len(one.MissingRecords(now, other.Checksums())) > 0 {
			t.Fatal("the checksums of the same notes differ")
		}
		for _, name := range []string{"x", "y", "z"} {
			left, held := one.Held(now, digestOf(name))
			otherLeft, otherHeld := other.Held(now, digestOf(name))
			if left != otherLeft || held != otherHeld {
				t.Fatalf("request %s: %d ms, %v and %d ms, %v", name, left, held, otherLeft, otherHeld)
			}
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

// A process that misses a record must get that one and a few others, not all records.
func TestAllRecordsSentForOneMissing(t *testing.T) {
	Convey("Of many records a process that misses one gets a small part", t, func() {
		q, other := mgquarantine.New("life", nil), mgquarantine.New("other", nil)
		for i := range 400 {
			record(q, crashesFrom(0, strconv.Itoa(i), fmt.Sprint("engine-", i)))
		}
		So(len(q.MissingRecords(sec, nil)), ShouldEqual, 400)
		other.Merge(sec, q.MissingRecords(sec, nil))
		So(q.MissingRecords(sec, other.Checksums()), ShouldBeEmpty)
		record(q, crashesFrom(sec, "one more", "engine"))
		missing := q.MissingRecords(2*sec, other.Checksums())
		So(len(missing), ShouldBeBetween, 0, 40)
		other.Merge(2*sec, missing)
		So(q.MissingRecords(2*sec, other.Checksums()), ShouldBeEmpty)
	})
}

// A flood of crashes of different requests must neither exceed the record limit nor evict
// the records of a held request.
func TestFloodFillsMemoryOrFreesHeld(t *testing.T) {
	Convey("Of a flood of crashes a bounded number is kept, and a held request stays held", t, func() {
		q := mgquarantine.New("life", nil)
		record(q, crashesFrom(0, "bad", "a", "b", "c"))
		for i := range 2000 {
			record(q, crashesFrom(4*sec+mgclock.Millis(i), strconv.Itoa(i), fmt.Sprint("engine-", i)))
		}
		So(len(q.MissingRecords(10*sec, nil)), ShouldBeLessThanOrEqualTo, 1024)
		_, held := q.Held(10*sec, digestOf("bad"))
		So(held, ShouldBeTrue)
	})
}

// Malformed records, as from a process of another release, must not keep valid ones of the
// same message from being merged.
func TestInvalidRecordStopsOthers(t *testing.T) {
	Convey("Records that can't be parsed are returned and skipped", t, func() {
		q := mgquarantine.New("life", nil)
		valid := mgquarantine.Record{
			Origin:   "other",
			Number:   1,
			Digest:   digestOf("x").String(),
			Upstream: "a",
		}
		invalid := []mgquarantine.Record{valid, valid, valid, valid}
		invalid[0].Digest = "no digest"
		invalid[1].Number = 0
		invalid[2].Age = -5
		invalid[3].NextNumber = 2
		So(len(q.Merge(sec, append(invalid, valid))), ShouldEqual, 4)
		So(q.Occurrences(digestOf("x")), ShouldEqual, 1)
	})
}

// crashLoop simulates a service whose engines are crashed by one request again and again.
type crashLoop struct {
	random   *rand.Rand
	q        *mgquarantine.Quarantine
	now      mgclock.Millis
	engines  int
	held     bool
	ended    int
	innocent map[string]bool
}

// crash ends an engine that runs the request, along with neighbours: other requests at the
// same engine that had just begun or were waiting.
func (s *crashLoop) crash(upstream int) {
	s.ended++
	name := fmt.Sprintf("engine-%d-%d", upstream, s.ended)
	all := []observation{{
		at:       s.now,
		request:  "bad",
		upstream: name,
		sent:     s.now - 800,
	}}
	for range s.random.IntN(24) {
		// Callers repeat requests that failed: few bodies, again and again.
		neighbour := fmt.Sprint("neighbour-", s.random.IntN(60))
		s.innocent[neighbour] = true
		all = append(all, observation{
			at:       s.now + mgclock.Millis(s.random.IntN(5)),
			request:  neighbour,
			upstream: name,
			waiting:  s.random.IntN(10) > 0,
			sent:     s.now - mgclock.Millis(s.random.IntN(1000)),
		})
	}
	record(s.q, all)
}

// A request must not be held because it ran beside one that crashes its upstreams.
func TestNeighbourIsHeld(t *testing.T) {
	Convey("In storms of crashes no neighbour is held, and the cause is held after a few", t, func() {
		wronglyHeld := 0
		maxEnded := 0
		for seed := range uint64(300) {
			s := crashLoop{
				random:   rand.New(rand.NewPCG(seed, 0)),
				q:        mgquarantine.New("life", nil),
				engines:  18,
				innocent: map[string]bool{},
			}
			for s.ended < 40 && !s.held {
				s.now += mgclock.Millis(100 + s.random.IntN(1200))
				s.crash(s.random.IntN(s.engines))
				_, s.held = s.q.Held(s.now, digestOf("bad"))
				for name := range s.innocent {
					if _, held := s.q.Held(s.now, digestOf(name)); held {
						wronglyHeld++
					}
				}
			}
			maxEnded = max(maxEnded, s.ended)
		}
		So(wronglyHeld, ShouldEqual, 0)
		So(maxEnded, ShouldBeLessThanOrEqualTo, 6)
	})
}

// A request that was held without being the cause must be served soon after its hold. A
// request that was the cause must not be tried by all processes at once.
func TestTrialIsMissingOrRepeated(t *testing.T) {
	Convey("Once the hold of a request is over", t, func() {
		mine, other := mgquarantine.New("mine", nil), mgquarantine.New("other", func(mgquarantine.Digest) int { return 1 })
		record(mine, crashesFrom(0, "x", "a", "b", "c"))
		other.Merge(2*sec, mine.MissingRecords(2*sec, nil))
		left, ok := mine.Admit(31*sec, digestOf("x"))
		So(ok, ShouldBeFalse)
		So(left, ShouldEqual, sec)
		_, ok = mine.Admit(31*sec, digestOf("y"))
		So(ok, ShouldBeTrue)
		const over = 33 * sec
		_, ok = mine.Admit(over, digestOf("x"))
		So(ok, ShouldBeTrue)
		Convey("one attempt at a time is admitted, at the process that ranks first", func() {
			_, ok := mine.Admit(over, digestOf("x"))
			So(ok, ShouldBeFalse)
			_, ok = other.Admit(over, digestOf("x"))
			So(ok, ShouldBeFalse)
			_, held := mine.Held(over, digestOf("x"))
			So(held, ShouldBeFalse)
		})
		Convey("an answer ends the quarantine everywhere", func() {
			mine.RecordAnswer(over+sec, digestOf("x"))
			other.Merge(over+sec, mine.MissingRecords(over+sec, nil))
			for range 3 {
				_, ok = mine.Admit(over+sec, digestOf("x"))
				So(ok, ShouldBeTrue)
				_, ok = other.Admit(over+sec, digestOf("x"))
				So(ok, ShouldBeTrue)
			}
		})
		Convey("a crash begins a longer hold", func() {
			record(mine, crashesFrom(over+sec, "x", "d"))
			left, ok := mine.Admit(over+2*sec, digestOf("x"))
			So(ok, ShouldBeFalse)
			So(left, ShouldEqual, 119*sec)
		})
		Convey("another process that knows of the attempt waits for its outcome", func() {
			other.Merge(over, mine.RecentRecords(over))
			left, ok := other.Admit(over+5*sec, digestOf("x"))
			So(ok, ShouldBeFalse)
			So(left, ShouldBeBetweenOrEqual, 25*sec, 26*sec)
			Convey("and admits one if there is none", func() {
				_, ok = other.Admit(over+31*sec, digestOf("x"))
				So(ok, ShouldBeTrue)
			})
		})
		Convey("another process also admits one if it doesn't arrive at the first", func() {
			_, ok := other.Admit(over+5*sec, digestOf("x"))
			So(ok, ShouldBeTrue)
			_, ok = other.Admit(over+5*sec, digestOf("x"))
			So(ok, ShouldBeFalse)
		})
	})
}
