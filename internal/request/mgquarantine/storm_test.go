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

// storm is a fleet with requests of which some have a part that crashes engines.
type storm struct {
	rng        *rand.Rand
	processes  []*mgquarantine.Quarantine
	delay      mgclock.Millis // of the network, at most
	parts      int            // shared by sound requests
	badShare   float64        // of the requests
	zoneLosses int            // that come
	outcome    mgclock.Millis // longest time to a request's answer or to the end of its engine
	pending    []pendingMessage
	ended      int // engines
	fifthAt    mgclock.Millis
	afterFive  int // requests with the part that reached engines after the fifth crash
	afterGrace int // those later than graceAfterFive after it
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
				if s.ended++; s.ended == 5 {
					s.fifthAt = now
				}
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
				if now > s.fifthAt+graceAfterFive {
					s.afterGrace++
				}
			case !bad && !admitted:
				s.heldSound++
				s.sound++
			case !bad:
				s.sound++
			}
		}
		if admitted {
			queue = append(queue, running{
				at:      now + 200 + mgclock.Millis(s.rng.Int64N(int64(s.outcome))),
				sent:    now,
				process: process,
				request: request,
				parts:   parts,
				bad:     bad,
			})
		}
	}
}

// graceAfterFive is the time after the fifth crash from which at most three requests may follow.
const graceAfterFive = 3 * sec

// Guards against trials that overlap where requests wait for long before their engine begins them, so
// that more than three reach engines in the time of two holds.
func TestPartTrialsOverlap(t *testing.T) {
	Convey("In drawn storms at crowded engines at most three requests follow the fifth crash in 90 s", t, func() {
		most, sum, sound, heldSound := 0, 0, 0, 0
		for seed := range uint64(60) {
			rng := rand.New(rand.NewPCG(seed, 1))
			s := storm{
				rng:      rng,
				delay:    50,
				parts:    1 + rng.IntN(20),
				badShare: 0.1 + 0.4*rng.Float64(),
				outcome:  mgclock.Millis(1+rng.IntN(8)) * sec,
			}
			for i := range 1 + rng.IntN(12) {
				s.processes = append(s.processes, mgquarantine.New(fmt.Sprint(i), func(mgquarantine.Digest) int { return i }))
			}
			s.run(90 * sec)
			most = max(most, s.afterGrace)
			sum += s.afterGrace
			sound += s.sound
			heldSound += s.heldSound
		}
		t.Logf("at most %d requests after the grace of the fifth crash, %d in all, %d of %d sound ones held", most, sum, heldSound, sound)
		So(most, ShouldBeLessThanOrEqualTo, 3)
		So(float64(sound-heldSound), ShouldBeGreaterThanOrEqualTo, 0.95*float64(sound))
		So(sound, ShouldBeGreaterThan, 1000)
	})
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
				outcome:    400,
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
