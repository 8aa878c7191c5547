package mgbackup

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// fleet returns engines e0, e1 and so on in two availability zones.
func fleet(count int) []Engine {
	engines := make([]Engine, 0, count)
	for i := range count {
		engines = append(engines, Engine{
			Name:  fmt.Sprintf("e%d", i),
			Zone:  []string{"north", "south"}[i%2],
			Start: 1,
		})
	}
	return engines
}

func hasLeft(string) bool { return true }

// longRun is a generation of an average length: 7.3 s.
func longRun() Run {
	return Run{
		ID:       "r1",
		Prompt:   3079,
		Output:   748,
		Duration: 7332,
		Version:  "v1",
		Source: Engine{
			Name: "e0",
			Zone: "north",
		},
	}
}

// Guards against backups in deployments whose engines stay, and against none where engines
// are reclaimed in waves or crash.
func TestLossesMisjudged(t *testing.T) {
	cases := []struct {
		name   string
		record func(l *Losses)
		now    mgclock.Millis
		stale  bool
		reason Reason
	}{
		{
			name:   "no engine was lost",
			record: func(*Losses) {},
			reason: Safe,
		},
		{
			name: "a wave of departures",
			record: func(l *Losses) {
				l.Observe(1000, "llm", fleet(33), hasLeft)
			},
			now:    1000,
			reason: Named,
		},
		{
			name: "one departure",
			record: func(l *Losses) {
				l.Observe(1000, "llm", fleet(39), hasLeft)
			},
			now:    1000,
			reason: Safe,
		},
		{
			name: "two departures while the list is stale",
			record: func(l *Losses) {
				l.Observe(1000, "llm", fleet(38), hasLeft)
			},
			now:    1000,
			stale:  true,
			reason: Named,
		},
		{
			name: "as many departures while the list is confirmed",
			record: func(l *Losses) {
				l.Observe(1000, "llm", fleet(38), hasLeft)
			},
			now:    1000,
			reason: Safe,
		},
		{
			name: "a third of a minute after a few departures",
			record: func(l *Losses) {
				l.Observe(1000, "llm", fleet(36), hasLeft)
			},
			now:    21_000,
			reason: Safe,
		},
		{
			name: "engines that are cordoned and have not left",
			record: func(l *Losses) {
				l.Observe(1000, "llm", fleet(20), func(string) bool { return false })
			},
			now:    1000,
			reason: Safe,
		},
		{
			name: "engines that were missed while nothing was observed",
			record: func(l *Losses) {
				l.Observe(60_000, "llm", fleet(20), hasLeft)
			},
			now:    60_000,
			reason: Safe,
		},
		{
			name: "an engine that broke off generations",
			record: func(l *Losses) {
				l.RecordBreak(1000, "llm", fleet(1)[0])
			},
			now:    1000,
			reason: Named,
		},
		{
			name: "a minute after it",
			record: func(l *Losses) {
				for range 20 { // all of one engine
					l.RecordBreak(1000, "llm", fleet(1)[0])
				}
			},
			now:    61_000,
			reason: Safe,
		},
		{
			name: "the losses of another service",
			record: func(l *Losses) {
				l.RecordBreak(1000, "other", fleet(1)[0])
			},
			now:    1000,
			reason: Safe,
		},
	}
	Convey("A long generation after", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				var l Losses
				l.Observe(0, "llm", fleet(40), hasLeft)
				c.record(&l)
				So(longRun().Justifies(l.Rates(c.now, "llm", c.stale)), ShouldEqual, c.reason)
			})
		}
	})
	Convey("An engine counts once, however many generations it breaks off", t, func() {
		var one, many Losses
		one.RecordBreak(0, "llm", fleet(1)[0])
		for range 24 {
			many.RecordBreak(0, "llm", fleet(1)[0])
		}
		So(many.Rates(0, "llm", false), ShouldResemble, one.Rates(0, "llm", false))
	})
	Convey("A break counts in place of the departure", t, func() {
		var l, other Losses
		l.Observe(0, "llm", fleet(2), hasLeft)
		l.Observe(1000, "llm", fleet(1), hasLeft)
		l.RecordBreak(1000, "llm", fleet(2)[1])
		other.Observe(1000, "llm", fleet(1), hasLeft)
		other.RecordBreak(1000, "llm", fleet(2)[1])
		So(l.Rates(1000, "llm", false).Engine, ShouldEqual, other.Rates(1000, "llm", false).Engine)
	})
	Convey("An engine that restarts under its name was lost", t, func() {
		var l Losses
		l.Observe(0, "llm", fleet(2), hasLeft)
		restarted := fleet(2)
		restarted[1].Start = 2
		l.Observe(1000, "llm", restarted, func(string) bool { return false })
		rates := l.Rates(1000, "llm", false)
		So(rates.Engine, ShouldBeGreaterThan, 0)
		So(rates.Zones["south"], ShouldBeGreaterThan, 0)
		So(rates.Zones["north"], ShouldEqual, 0)
	})
	Convey("Losses are dropped once they no longer count", t, func() {
		var l Losses
		l.RecordBreak(0, "llm", fleet(1)[0])
		l.Rates(2*mgclock.Minute, "llm", false)
		So(l.services["llm"].recent, ShouldBeEmpty)
	})
}
