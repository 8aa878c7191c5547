package mgrelay_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgrelay"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgmigration"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Guards against a generation that breaks off with its engine because its move was
// tried to a destination that is gone. While the platform is unavailable, the engine
// that appears emptiest may have just gone; a source that gives notice would try for
// more than a second to send the generation's memory there.
func TestMoveToGoneDestination(t *testing.T) {
	moveWithProbe := func(probe func(host mgrelay.Host) (bool, error)) (*moveScenario, callerReply) {
		s := newMoveScenario(t, func(s *moveScenario, order mgrelay.MoveOrder) mgmigration.Reply {
			if order.To == s.harness.hosts[1].Addr {
				close(s.breakOff) // the notice ends before the source gives up
				return mgmigration.Reply{Outcome: mgmigration.NoCapacity}
			}
			if order.Stop {
				close(s.breakOff)
			}
			return mgmigration.Reply{
				Outcome: mgmigration.Copied,
				Handle:  "h",
			}
		}, hangUp, resumeFromCopy)
		s.harness.startRelay(func(spec *mgrelay.Spec) {
			s.configure(spec)
			spec.IsListStale = func() bool { return true }
			spec.ReportDeparted = func(string) {}
			spec.AskLeaving = func(_ context.Context, host mgrelay.Host) (bool, error) { return probe(host) }
		})
		return s, s.harness.send(context.Background(), http.MethodPost, "/write/1", "x", nil)
	}
	gone := errors.New("no answer")
	Convey("While the list is stale no generation is moved to an upstream that", t, func() {
		for name, probe := range map[string]func(host mgrelay.Host) (bool, error){
			"doesn't answer the probe": func(host mgrelay.Host) (bool, error) {
				if host.Name == "b" {
					return false, gone
				}
				return false, nil
			},
			"answers that it is leaving, too": func(host mgrelay.Host) (bool, error) { return host.Name == "b", nil },
		} {
			Convey(name, func() {
				s, got := moveWithProbe(probe)
				So(got.cut, ShouldBeFalse)
				So(got.body, ShouldEqual, wholeStream())
				for _, order := range s.orders {
					So(order.To, ShouldEqual, s.harness.hosts[2].Addr)
				}
			})
		}
	})
}

// Guards against moving the generations of live engines whose list entries expired
// during an outage of the platform. All of them would be moved to the three engines
// still listed and pause for half a second while copies wait for one another; two
// seconds later all entries are listed again.
func TestMoveFromExpiredUpstream(t *testing.T) {
	Convey("After an outage of the platform an upstream that is missing from its list", t, func() {
		for name, c := range map[string]struct {
			staleChecks int64 // number of checks that find the list stale; they are a quarter of a second apart
			leaves      bool
			moved       bool
		}{
			"keeps its generations while it answers that it stays": {
				staleChecks: 10,
			},
			"is evacuated at once if it answers that it is leaving": {
				staleChecks: 10,
				leaves:      true,
				moved:       true,
			},
			"is evacuated at once after a mere delay of the watch": {
				staleChecks: 1,
				moved:       true,
			},
		} {
			Convey(name, func() {
				var checks atomic.Int64 // number of checks so far
				copied := func(s *moveScenario, order mgrelay.MoveOrder) mgmigration.Reply {
					if order.Stop {
						close(s.breakOff)
					}
					return mgmigration.Reply{
						Outcome: mgmigration.Copied,
						Handle:  "h",
					}
				}
				back := make(chan struct{})   // the list is no longer stale
				enough := make(chan struct{}) // the upstream was asked twice since it left the list
				var asked atomic.Int64
				s := newMoveScenario(t, copied, resumeFromCopy)
				source := func(w http.ResponseWriter, r *http.Request) {
					for n := 1; n <= 3; n++ {
						_, _ = fmt.Fprint(w, eventText(n))
					}
					_ = http.NewResponseController(w).Flush()
					<-back // the list was stale until now
					s.leave()
					select {
					case <-s.breakOff:
						panic(http.ErrAbortHandler)
					case <-enough:
					}
					for n := 4; n <= 6; n++ {
						_, _ = fmt.Fprint(w, eventText(n))
					}
				}
				s.harness = newHarness(t, source, resumeFromCopy)
				s.harness.startRelay(func(spec *mgrelay.Spec) {
					s.configure(spec)
					spec.IsMissing = spec.IsLeaving
					spec.ReportDeparted = func(string) {}
					spec.IsListStale = func() bool {
						check := checks.Add(1)
						if check == c.staleChecks+1 {
							close(back)
						}
						return check <= c.staleChecks
					}
					spec.AskLeaving = func(context.Context, mgrelay.Host) (bool, error) {
						if spec.IsLeaving("a") && asked.Add(1) == 2 {
							close(enough)
						}
						return c.leaves, nil
					}
				})
				got := s.harness.send(context.Background(), http.MethodPost, "/write/1", "x", nil)
				So(got.cut, ShouldBeFalse)
				So(got.body, ShouldEqual, wholeStream())
				So(len(s.orders) > 0, ShouldEqual, c.moved)
			})
		}
	})
}

// Guards against generations that are cut with their upstream: the platform was restored from a backup in
// which the upstream is not leaving yet, and its list counts as fresh.
func TestLeavingUpstreamUnnoticedAfterRestore(t *testing.T) {
	for _, isRecovering := range []bool{true, false} {
		Convey(fmt.Sprintf("An upstream that only says itself that it is leaving, the list may be as in a backup: %t", isRecovering), t, func() {
			reported := make(chan string, 16)
			asked := make(chan struct{})
			s := newMoveScenario(t, func(*moveScenario, mgrelay.MoveOrder) mgmigration.Reply {
				return mgmigration.Reply{
					Outcome: mgmigration.Absent,
				}
			}, resumeFromCopy)
			source := func(w http.ResponseWriter, _ *http.Request) {
				for n := 1; n <= 6; n++ {
					_, _ = fmt.Fprint(w, eventText(n))
					_ = http.NewResponseController(w).Flush()
					if n == 3 {
						<-asked
					}
				}
			}
			s.harness = newHarness(t, source, resumeFromCopy)
			s.harness.startRelay(func(spec *mgrelay.Spec) {
				s.configure(spec)
				var checks atomic.Int64
				spec.IsListStale = func() bool {
					if checks.Add(1) == 4 { // three probes may have been sent
						close(asked)
					}
					return false
				}
				spec.IsListRecovering = func() bool { return isRecovering }
				spec.AskLeaving = func(context.Context, mgrelay.Host) (bool, error) { return true, nil }
				spec.ReportDeparted = func(upstream string) { reported <- upstream }
			})
			got := s.harness.send(context.Background(), http.MethodPost, "/write/1", "x", nil)
			So(got.body, ShouldEqual, wholeStream())
			So(len(reported) > 0, ShouldEqual, isRecovering)
		})
	}
}

// Guards against a process that runs late and becomes later by asking all its upstreams each quarter of a second.
func TestLateProcessAsksAsOften(t *testing.T) {
	for _, c := range []struct {
		wait, earliest mgclock.Millis
	}{
		{
			earliest: 250,
		},
		{
			wait:     500,
			earliest: 1750,
		},
	} {
		Convey(fmt.Sprintf("A process in which events wait for %d ms asks after a delay", c.wait), t, func() {
			g := newHarness(t, answerWith("read"))
			var checks atomic.Int64
			var manual mgclock.Manual
			g.startRelay(func(spec *mgrelay.Spec) {
				spec.Clock = manual.Clock()
				spec.Move = func(context.Context, mgrelay.Host, mgrelay.MoveOrder) mgmigration.Reply { return mgmigration.Reply{} }
				spec.IsLeaving = func(string) bool { return false }
				spec.LeavingChanged = func() <-chan struct{} { return nil }
				spec.RecentWait = func() mgclock.Millis { return c.wait }
				spec.AskLeaving = func(context.Context, mgrelay.Host) (bool, error) { return false, nil }
				spec.IsListStale = func() bool {
					checks.Add(1)
					return true
				}
			})
			for deadline := time.Now().Add(5 * time.Second); manual.PendingTimers() == 0 && time.Now().Before(deadline); {
				runtime.Gosched()
			}
			for checks.Load() == 0 && manual.Now() < mgclock.Minute {
				manual.Advance(10)
				runtime.Gosched()
			}
			So(checks.Load(), ShouldBeGreaterThan, 0)
			So(manual.Now(), ShouldBeGreaterThanOrEqualTo, c.earliest)
		})
	}
}
