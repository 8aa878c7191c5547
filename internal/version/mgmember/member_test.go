package mgmember_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// list returns a list of agents with a model, given as names, with "-" before those
// that are leaving.
func list(version uint64, names string) mgplatform.VMList {
	l := mgplatform.VMList{
		Version: version,
	}
	for _, name := range strings.Fields(names) {
		state := mgplatform.Live
		if strings.HasPrefix(name, "-") {
			state = mgplatform.Leaving
		}
		l.VMs = append(l.VMs, mgplatform.VM{
			Name:     strings.TrimPrefix(name, "-"),
			Kind:     mgplatform.AgentKind,
			Zone:     "z",
			Upstream: "u-" + strings.TrimPrefix(name, "-"),
			Models:   []string{"m"},
			State:    state,
		})
	}
	return l
}

// names returns the names of members.
func names(members []*mgmember.Member) string {
	var list []string
	for _, m := range members {
		list = append(list, m.Name())
	}
	return strings.Join(list, " ")
}

func TestMembers(t *testing.T) {
	Convey("The members that get work", t, func() {
		m := mgmember.New("e")
		upstreams := func() string { return names(m.View().Upstreams("m")) }
		So(upstreams(), ShouldEqual, "")
		So(m.AdoptList(0, list(2, "a b c")), ShouldBeTrue)
		So(upstreams(), ShouldEqual, "a b c")

		Convey("are without one that the list shows leaving", func() {
			m.AdoptList(0, list(3, "a -b c"))
			So(upstreams(), ShouldEqual, "a c")
			_, there := m.View().Agent("u-b")
			So(there, ShouldBeTrue)
		})
		Convey("don't go back to an older list", func() {
			So(m.AdoptList(0, list(1, "a")), ShouldBeFalse)
			So(upstreams(), ShouldEqual, "a b c")
		})
		Convey("are without one that announces that it leaves, although the list lags", func() {
			// A request goes to an engine that is about to be reclaimed: the agent
			// announces at once that it leaves, but the list shows it as live for
			// another minute and is published again meanwhile.
			m.RecordMessage(10, "b", "1", true)
			So(upstreams(), ShouldEqual, "a c")
			m.AdoptList(20, list(3, "a b c d"))
			m.RecordMessage(30, "b", "1", false)
			So(upstreams(), ShouldEqual, "a c d")
		})
		Convey("include its next incarnation", func() {
			// The VM's name is reused with another incarnation. A delayed reply of the
			// old one, which says that it leaves, arrives after the new one was seen.
			m.RecordMessage(10, "b", "1", true)
			m.RecordMessage(20, "b", "2", false)
			m.RecordMessage(30, "b", "1", true)
			So(upstreams(), ShouldEqual, "a b c")
		})
		Convey("include it again when its announcement has expired", func() {
			m.RecordMessage(10, "b", "1", true)
			m.Tick(2*mgclock.Minute - 1)
			So(upstreams(), ShouldEqual, "a c")
			m.Tick(2*mgclock.Minute + 10)
			So(upstreams(), ShouldEqual, "a b c")
		})
		Convey("exclude one that failed twice, until it is tried again", func() {
			m.RecordFailure(10, "b")
			So(upstreams(), ShouldEqual, "a b c")
			m.RecordFailure(20, "b")
			So(upstreams(), ShouldEqual, "a c")
			m.Tick(1020)
			So(upstreams(), ShouldEqual, "a b c")
			m.RecordFailure(1030, "b")
			m.Tick(2030)
			So(upstreams(), ShouldEqual, "a c")
			m.RecordMessage(2040, "b", "1", false)
			So(upstreams(), ShouldEqual, "a b c")
		})
		Convey("keep one whose failures aren't consecutive", func() {
			m.RecordFailure(10, "b")
			m.RecordAnswer(20, "b")
			m.RecordFailure(30, "b")
			So(upstreams(), ShouldEqual, "a b c")
			m.RecordFailure(40, "b")
			So(upstreams(), ShouldEqual, "a c")
			m.RecordAnswer(50, "b")
			So(upstreams(), ShouldEqual, "a b c")
		})
		Convey("are all of them when all are suspects", func() {
			// An entry is cut off for a minute and suspects every agent. Without any
			// agent to call it would answer "no upstream" long after the partition
			// healed.
			for _, name := range []string{"a", "b", "c"} {
				m.RecordFailure(10, name)
				m.RecordFailure(20, name)
			}
			So(upstreams(), ShouldEqual, "a b c")
		})
		Convey("include those that a faulty list lost but that were seen recently", func() {
			m.RecordMessage(10, "a", "1", false)
			m.AdoptList(20, list(3, ""))
			So(upstreams(), ShouldEqual, "a")
			m.Tick(10 + 30*mgclock.Second)
			So(upstreams(), ShouldEqual, "")
			So(m.SeenWithin(40, "a", mgclock.Second), ShouldBeFalse)
		})
	})
}

// During a partition every entry comes to suspect the other half. When it heals, many
// of the entries retry the same agent in the same instant.
func TestHealCausesRetryBurst(t *testing.T) {
	Convey("After a partition heals, retries are spread over the last suspicion timeout", t, func() {
		const entries = 360
		ends := map[mgclock.Millis]int{}
		for i := range entries {
			m := mgmember.New(fmt.Sprintf("entry-%d", i))
			m.AdoptList(0, list(1, "a b"))
			now := mgclock.Millis(0)
			for range 20 {
				m.RecordFailure(now, "a")
				now += mgclock.Second
			}
			for names(m.View().Upstreams("m")) != "a b" {
				now += 100
				m.Tick(now)
			}
			ends[now/mgclock.Second]++
		}
		peak := 0
		for _, count := range ends {
			peak = max(peak, count)
		}
		So(peak, ShouldBeLessThan, entries/4)
	})
}

func TestRank(t *testing.T) {
	Convey("Rendezvous hashing moves only the keys of the removed member", t, func() {
		m := mgmember.New("")
		m.AdoptList(0, list(1, "a b c d e"))
		before := m.View().All()
		m.AdoptList(0, list(2, "a b d e"))
		after := m.View().All()
		moved := 0
		for i := range 500 {
			key := fmt.Sprint(i)
			was, is := mgmember.Rank(key, before, 1)[0].Name(), mgmember.Rank(key, after, 1)[0].Name()
			if was != is {
				So(was, ShouldEqual, "c")
				moved++
			}
		}
		So(moved, ShouldBeBetween, 60, 140)
	})
}

func TestPause(t *testing.T) {
	Convey("A process that was paused", t, func() {
		var clock, wall mgclock.Manual
		p := mgmember.NewPauseDetector(clock.Clock(), wall.Now)
		var gaps []mgclock.Millis
		p.OnPause(func(gap mgclock.Millis) { gaps = append(gaps, gap) })
		advanceBoth := func(duration mgclock.Millis) {
			clock.Advance(duration)
			wall.Advance(duration)
		}
		p.Step()
		advanceBoth(100)
		So(p.Check(), ShouldEqual, 0)
		p.Step()

		Convey("drops its invalid state before it acts", func() {
			advanceBoth(5 * mgclock.Second)
			So(p.Check(), ShouldEqual, 5*mgclock.Second)
			So(gaps, ShouldHaveLength, 1)
			So(p.Check(), ShouldEqual, 0)
			So(p.Count(), ShouldEqual, 1)
		})
		Convey("detects a suspended VM, whose monotonic clock stopped", func() {
			wall.Advance(5 * mgclock.Second)
			So(p.Check(), ShouldEqual, 5*mgclock.Second)
		})
		Convey("doesn't count a time of day that is set back", func() {
			wall.Advance(-3 * mgclock.Second)
			So(p.Check(), ShouldEqual, 0)
		})
		Convey("doesn't count idle time as a pause while Run checks", func() {
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				defer close(done)
				p.Run(ctx)
			}()
			cancel()
			<-done
			So(gaps, ShouldBeEmpty)
		})
	})
}

func BenchmarkHeard(b *testing.B) {
	m := mgmember.New("e")
	m.AdoptList(0, list(1, "a b c d e"))
	for b.Loop() {
		m.RecordMessage(0, "a", "1", false)
	}
}

// BenchmarkList measures the adoption of a list of the target's 1,260 VMs.
func BenchmarkList(b *testing.B) {
	var all []string
	for i := range 1260 {
		all = append(all, fmt.Sprintf("vm-%04d", i))
	}
	m := mgmember.New("e")
	l := list(1, strings.Join(all, " "))
	for b.Loop() {
		l.Version++
		m.AdoptList(0, l)
	}
}

// BenchmarkTick measures a tick over the evidence of the target's 1,260 members.
func BenchmarkTick(b *testing.B) {
	var all []string
	for i := range 1260 {
		all = append(all, fmt.Sprintf("vm-%04d", i))
	}
	m := mgmember.New("e")
	m.AdoptList(0, list(1, strings.Join(all, " ")))
	for _, name := range all {
		m.RecordMessage(0, name, "1", false)
	}
	m.Tick(1)
	for b.Loop() {
		m.Tick(1)
	}
}

// An engine announces that it is leaving, crashes, and restarts under its name. It is
// idle for two minutes beside overloaded ones, because its announcement still counts.
func TestRestartedUpstreamStaysIdle(t *testing.T) {
	Convey("An upstream that restarted gets work again", t, func() {
		m := mgmember.New("entry-1")
		list := func(version uint64, born int64) mgplatform.VMList {
			return mgplatform.VMList{
				Version: version,
				VMs: []mgplatform.VM{
					{
						Name:             "engine-1",
						Kind:             mgplatform.UpstreamKind,
						Services:         []string{"reports"},
						State:            mgplatform.Live,
						IncarnationStart: born,
					},
				},
			}
		}
		m.AdoptList(0, list(1, 100))
		m.RecordMessage(10, "engine-1", "", true)
		So(m.View().Hosts("reports"), ShouldBeEmpty)
		m.AdoptList(20, list(2, 100))
		So(m.View().Hosts("reports"), ShouldBeEmpty)
		m.AdoptList(30, list(3, 200))
		So(len(m.View().Hosts("reports")), ShouldEqual, 1)
	})
}
