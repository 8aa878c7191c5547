package mgprobe

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Guards against engines that are asked twice or never, as entries take over too early, too late or not at all.
func TestTakeoverTooEarlyOrLate(t *testing.T) {
	cases := []struct {
		name      string
		rank      int
		runsHere  bool
		isAlarmed bool
		age       mgclock.Millis
		never     bool
	}{
		{
			name: "the first in rank asks at the interval",
			age:  350,
		},
		{
			name: "the second in rank asks when the answer is overdue",
			rank: 1,
			age:  550,
		},
		{
			name: "the third one asks after the second one",
			rank: 2,
			age:  650,
		},
		{
			name:     "another one doesn't ask, as it receives no answers",
			rank:     3,
			runsHere: true,
			never:    true,
		},
		{
			name:      "another one doesn't ask for others while an entry doesn't respond",
			rank:      3,
			isAlarmed: true,
			never:     true,
		},
		{
			name:      "another one asks for itself while an entry doesn't respond",
			rank:      3,
			runsHere:  true,
			isAlarmed: true,
			age:       750,
		},
	}
	Convey("When an entry asks an engine:", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				age, probes := dueAge(c.rank, c.runsHere, c.isAlarmed)
				So(probes, ShouldEqual, !c.never)
				if probes {
					So(age, ShouldEqual, c.age)
				}
			})
		}
	})
}

// Guards against a takeover by an entry that isn't the next in rank, and against an assignment that changes more than
// needed or is uneven.
func TestAssignmentChangesWithEntries(t *testing.T) {
	var entries []string
	for i := range 22 {
		entries = append(entries, entryName(i))
	}
	// first returns the first in rank for a slot.
	first := func(slot int, entries []string) string { return newRanking("", entries).successors(slot, "")[0] }
	Convey("Without the first entry of a slot the next one in rank is the first, and other slots stay as they are", t, func() {
		lost := first(0, entries)
		left := slices.DeleteFunc(slices.Clone(entries), func(entry string) bool { return entry == lost })
		for slot := range slotCount {
			want := first(slot, entries)
			if want == lost {
				want = newRanking("", entries).successors(slot, "")[1]
			}
			So(first(slot, left), ShouldEqual, want)
		}
	})
	Convey("The ranks of all entries for a slot are all different", t, func() {
		for slot := range slotCount {
			var ranks []int
			for _, entry := range entries {
				ranks = append(ranks, newRanking(entry, entries).ownRanks[slot])
			}
			slices.Sort(ranks)
			for i, rank := range ranks {
				So(rank, ShouldEqual, i)
			}
		}
	})
	Convey("No entry has more than a quarter of the slots", t, func() {
		counts := map[string]int{}
		for slot := range slotCount {
			counts[first(slot, entries)]++
		}
		for _, count := range counts {
			So(count, ShouldBeLessThanOrEqualTo, slotCount/4)
		}
	})
}

// testProber is a prober among three entries, with a manual clock and the messages that it sends.
type testProber struct {
	*Prober
	clock mgclock.Manual
	err   error // of messages
	idle  bool  // responses state that their senders don't probe
	sent  []string
}

func newTestProber(name string) *testProber {
	p := &testProber{}
	p.Prober = New(Spec{
		Name:    name,
		Clock:   p.clock.Clock(),
		Entries: func(bool) []string { return []string{"a", "b", "c"} },
		Send: func(_ context.Context, entry string, _ Message) (Message, error) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.sent = append(p.sent, entry)
			return Message{Entry: entry, Idle: p.idle}, p.err
		},
		OnExcluded: func(string, error) {},
		Count:      func(string, int) {},
	})
	return p
}

// rank returns the rank of the prober's entry for an engine.
func (p *testProber) rank(engine string) int {
	return newRanking(p.spec.Name, p.spec.Entries(true)).ownRanks[slotOf(engine)]
}

// engineOfRank returns an engine for which the prober's entry has a rank.
func (p *testProber) engineOfRank(rank int) Engine {
	for i := 0; ; i++ {
		if name := fmt.Sprint("engine-", i); p.rank(name) == rank {
			return Engine{Name: name}
		}
	}
}

// round runs a round and returns how many engines were asked.
func (p *testProber) round(engines ...Engine) int {
	asked := make(chan string, len(engines))
	p.Round(context.Background(), engines, func(_ context.Context, engine string) (bool, error) {
		asked <- engine
		return false, nil
	})
	return len(asked)
}

// Guards against a generation that moves to an engine that left after its answer, and against a number of probes that
// the answers of others don't reduce.
func TestAnswerOfOthersIsIgnoredOrTooOld(t *testing.T) {
	cases := []struct {
		name   string
		age    mgclock.Millis // in the message
		usable bool
		asked  int // by the first in rank, 100 ms later
	}{
		{
			name:   "a new answer",
			age:    10,
			usable: true,
		},
		{
			name:   "an answer that is due",
			age:    250,
			usable: true,
			asked:  1,
		},
		{
			name:  "an old answer",
			age:   401,
			asked: 1,
		},
		{
			name:  "an answer of the future",
			age:   -1,
			asked: 1,
		},
		{
			name:  "an answer of an earlier outage",
			age:   mgclock.Minute,
			asked: 1,
		},
	}
	for _, c := range cases {
		Convey("An entry receives "+c.name, t, func() {
			p := newTestProber("a")
			engine := p.engineOfRank(0)
			p.clock.Advance(mgclock.Minute)
			p.Handle(Message{
				Entry:   "b",
				Answers: map[string]mgclock.Millis{engine.Name: c.age},
			})
			p.clock.Advance(100)
			age, usable := p.Age(engine.Name)
			So(usable, ShouldEqual, c.usable)
			if usable {
				So(age, ShouldEqual, c.age+100)
			}
			So(p.round(engine), ShouldEqual, c.asked)
		})
	}
	Convey("An older answer doesn't replace a newer one", t, func() {
		p := newTestProber("a")
		p.Record(p.clock.Now(), "engine")
		p.Handle(Message{
			Entry:   "b",
			Answers: map[string]mgclock.Millis{"engine": 400},
		})
		age, usable := p.Age("engine")
		So(usable, ShouldBeTrue)
		So(age, ShouldEqual, 0)
	})
}

// Guards against an entry that is counted upon though it doesn't respond or its release doesn't probe for others, and
// against one that stays left out after its return.
func TestUnresponsiveEntryKeepsItsEngines(t *testing.T) {
	cases := []struct {
		name   string
		err    error
		window mgclock.Millis
	}{
		{
			name:   "that doesn't respond",
			err:    errors.New("no response"),
			window: silenceWindow,
		},
		{
			name:   "of the previous release",
			err:    fmt.Errorf("peer b: %w", ErrUnsupported),
			window: unsupportedWindow,
		},
	}
	for _, c := range cases {
		Convey("An entry sends an answer to one "+c.name, t, func() {
			p := newTestProber("a")
			p.err = c.err
			p.round(p.engineOfRank(0))
			So(p.sent, ShouldContain, "b")
			second := p.engineOfRank(1)
			p.clock.Advance(10)
			So(p.round(second), ShouldEqual, 1) // as the first in rank
			So(p.State().Excluded, ShouldResemble, map[string]mgclock.Millis{
				"b": c.window - 10,
				"c": c.window - 10,
			})
			Convey("and ranks it again after its message", func() {
				p.Handle(Message{Entry: "b"})
				p.Handle(Message{Entry: "c"})
				So(p.State().Excluded, ShouldBeEmpty)
			})
			Convey("and ranks it again after a while", func() {
				p.clock.Advance(c.window)
				p.err = nil
				p.round()
				So(p.State().Excluded, ShouldBeEmpty)
			})
		})
	}
}

// Guards against an entry that counts upon others whose lists aren't stale, so that nobody asks, and against entries
// that ask all engines at the begin of an outage as they don't count upon others.
func TestConfirmedEntryIsCountedUpon(t *testing.T) {
	cases := []struct {
		name  string
		idle  bool
		after mgclock.Millis // time since the first round
		asked bool
	}{
		{
			name:  "that doesn't probe isn't counted upon",
			idle:  true,
			after: startWindow,
			asked: true,
		},
		{
			name:  "that doesn't probe yet is counted upon",
			idle:  true,
			after: startWindow - 100,
		},
		{
			name:  "that probes is counted upon",
			after: startWindow,
		},
	}
	Convey("An entry has a message to one", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				p := newTestProber("a")
				p.idle = c.idle
				own, others := p.engineOfRank(0), p.engineOfRank(1)
				p.round(own)
				p.clock.Advance(c.after)
				p.round(own)
				p.Record(p.clock.Now(), own.Name)
				So(p.round(own, others), ShouldEqual, btoi(c.asked))
			})
		}
	})
	Convey("An entry states that it doesn't probe while it has had no round for a while", t, func() {
		p := newTestProber("a")
		p.round()
		p.clock.Advance(idleAfter - 1)
		So(p.Handle(Message{Entry: "b"}).Idle, ShouldBeFalse)
		p.clock.Advance(1)
		So(p.Handle(Message{Entry: "b"}).Idle, ShouldBeTrue)
	})
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Guards against entries that ask all engines at the begin of an outage.
func TestNewEngineIsAskedByAll(t *testing.T) {
	Convey("At the begin of an outage an engine is asked by the first in rank only, by the second one 200 ms later", t, func() {
		p := newTestProber("a")
		first, second, third := p.engineOfRank(0), p.engineOfRank(1), p.engineOfRank(2)
		So(p.round(first, second, third), ShouldEqual, 1)
		p.clock.Advance(takeoverDelay - 1)
		So(p.round(first, second, third), ShouldEqual, 0)
		p.clock.Advance(1)
		So(p.round(first, second, third), ShouldEqual, 1)
		So(p.State().Assigned, ShouldResemble, []string{first.Name})
	})
}
