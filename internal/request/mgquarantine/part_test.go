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

// storm is a fleet with requests of which some have a part that crashes engines.
type storm struct {
	rng        *rand.Rand
	processes  []*mgquarantine.Quarantine
	delay      mgclock.Millis // of the network, at most
	parts      int            // shared by sound requests
	badShare   float64        // of the requests
	zoneLosses int            // that come
	pending    []pendingMessage
	ended      int // engines
	afterFive  int // requests with the part that reached engines after the fifth crash
	sound      int // requests after the fifth crash
	heldSound  int // of these
}

// pendingMessage holds records that reach a process at a time.
type pendingMessage struct {
	at      mgclock.Millis
	to      int
	records []mgquarantine.Record
}

// spread sends a process's recent records to all others.
func (s *storm) spread(now mgclock.Millis, from int) {
	for to := range s.processes {
		if to != from {
			s.pending = append(s.pending, pendingMessage{
				at:      now + 1 + mgclock.Millis(s.rng.Int64N(int64(s.delay))),
				to:      to,
				records: s.processes[from].RecentRecords(now),
			})
		}
	}
}

// loseZone ends a dozen engines at one moment, under sound requests that had just begun.
func (s *storm) loseZone(now mgclock.Millis) {
	for i := range 12 {
		from := s.rng.IntN(len(s.processes))
		s.processes[from].RecordCrash(now, mgquarantine.Crash{
			Digest:   digestOf(fmt.Sprint("lost ", now, i)),
			Parts:    partsNamed("shared", fmt.Sprint("sound-", s.rng.IntN(s.parts))),
			Upstream: fmt.Sprint("lost engine ", now, i),
			Begun:    true,
			Sent:     now - 100,
		})
		s.spread(now, from)
	}
}

// run plays requests, ten a second, each of which is answered or ends its engine after a while.
func (s *storm) run(length mgclock.Millis) {
	type running struct {
		at, sent mgclock.Millis
		process  int
		request  string
		parts    []string
		bad      bool
	}
	var queue []running
	for now := mgclock.Millis(10 * sec); now < 10*sec+length; now += 10 {
		s.pending = slices.DeleteFunc(s.pending, func(m pendingMessage) bool {
			if m.at <= now {
				s.processes[m.to].Merge(now, m.records)
			}
			return m.at <= now
		})
		queue = slices.DeleteFunc(queue, func(r running) bool {
			if r.at > now {
				return false
			}
			q := s.processes[r.process]
			if !r.bad {
				partAnswer(q, now, r.request, r.parts...)
			} else {
				s.ended++
				q.RecordCrash(now, mgquarantine.Crash{
					Digest:   digestOf(r.request),
					Parts:    partsNamed(r.parts...),
					Upstream: fmt.Sprint("engine-", s.ended),
					Begun:    true,
					Sent:     r.sent,
				})
				// A neighbour that had just begun at the same engine.
				q.RecordCrash(now, mgquarantine.Crash{
					Digest:   digestOf("neighbour of " + r.request),
					Parts:    partsNamed("shared", fmt.Sprint("sound-", s.rng.IntN(s.parts))),
					Upstream: fmt.Sprint("engine-", s.ended),
					Begun:    true,
					Sent:     r.sent,
				})
			}
			s.spread(now, r.process)
			return true
		})
		if s.zoneLosses > 0 && now%(4*sec) == 0 {
			s.zoneLosses--
			s.loseZone(now)
		}
		if now%100 != 0 {
			continue
		}
		process := s.rng.IntN(len(s.processes))
		bad := s.rng.Float64() < s.badShare
		parts := []string{"shared", fmt.Sprint("sound-", s.rng.IntN(s.parts))}
		if bad {
			parts[1] = "bad"
		}
		request := fmt.Sprint("request-", now)
		_, admitted := s.processes[process].Admit(now, digestOf(request), partsNamed(parts...)...)
		if s.ended >= 5 {
			switch {
			case bad && admitted:
				s.afterFive++
			case !bad && !admitted:
				s.heldSound++
				s.sound++
			case !bad:
				s.sound++
			}
		}
		if admitted {
			queue = append(queue, running{
				at:      now + 200 + mgclock.Millis(s.rng.IntN(400)),
				sent:    now,
				process: process,
				request: request,
				parts:   parts,
				bad:     bad,
			})
		}
	}
}

// Guards, in drawn storms, against requests with a part that crashes engines which reach further
// ones, and against sound requests that are held.
func TestPartStorm(t *testing.T) {
	Convey("In drawn storms at most three requests follow the fifth crash, and sound ones begin", t, func() {
		maxAfter, sound, heldSound := 0, 0, 0
		for seed := range uint64(60) {
			rng := rand.New(rand.NewPCG(seed, 0))
			s := storm{
				rng:        rng,
				delay:      []mgclock.Millis{5, 50, 200}[rng.IntN(3)],
				parts:      1 + rng.IntN(20),
				badShare:   0.1 + 0.4*rng.Float64(),
				zoneLosses: rng.IntN(4),
			}
			for i := range 1 + rng.IntN(12) {
				s.processes = append(s.processes, mgquarantine.New(fmt.Sprint(i), func(mgquarantine.Digest) int { return i }))
			}
			s.run(25 * sec)
			maxAfter = max(maxAfter, s.afterFive)
			sound += s.sound
			heldSound += s.heldSound
		}
		t.Logf("at most %d requests after the fifth crash, %d of %d sound ones held", maxAfter, heldSound, sound)
		So(maxAfter, ShouldBeLessThanOrEqualTo, 3)
		So(float64(sound-heldSound), ShouldBeGreaterThanOrEqualTo, 0.95*float64(sound))
		So(sound, ShouldBeGreaterThan, 1000)
	})
}
