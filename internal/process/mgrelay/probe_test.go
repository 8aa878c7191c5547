package mgrelay_test

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgrelay"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgload"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgmigration"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgprobe"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// newProber returns the prober of an entry that is the only one of its deployment, or that receives the answers of
// another one only.
func newProber(entry string) *mgprobe.Prober {
	return mgprobe.New(mgprobe.Spec{
		Name:       "front",
		Entries:    func(bool) []string { return []string{entry} },
		Send:       func(context.Context, string, mgprobe.Message) (mgprobe.Message, error) { return mgprobe.Message{}, nil },
		OnExcluded: func(string, error) {},
		Count:      func(string, int) {},
	})
}

// Guards against an engine that nobody asks since the entry that was assigned runs no generation there.
func TestEngineOfOtherEntriesIsNotProbed(t *testing.T) {
	Convey("An entry without generations asks the engines where others have requests", t, func() {
		g := newHarness(t, answerWith("a"), answerWith("b"), answerWith("c"), answerWith("d"))
		departed := make(chan string, 16)
		asked := make(chan string, 1024)
		g.startRelay(func(spec *mgrelay.Spec) {
			spec.Prober = newProber("front")
			spec.Engines = slices.Values(g.hosts[1:])
			spec.OtherLoads = func() mgload.Report {
				return mgload.Report{Loads: map[string]mgload.Load{"a": {Runs: 1}, "b": {Runs: 1}, "d": {Runs: 1}}}
			}
			spec.Move = func(context.Context, mgrelay.Host, mgrelay.MoveOrder) mgmigration.Reply { return mgmigration.Reply{} }
			spec.IsLeaving = func(string) bool { return false }
			spec.LeavingChanged = func() <-chan struct{} { return nil }
			spec.IsListStale = func() bool { return true }
			spec.ReportDeparted = func(upstream string) { departed <- upstream }
			spec.AskLeaving = func(_ context.Context, host mgrelay.Host) (bool, error) {
				asked <- host.Name
				return host.Name == "b", nil
			}
		})
		So(<-departed, ShouldEqual, "b")
		for seen := map[string]bool{}; !seen["b"] || !seen["d"]; {
			name := <-asked
			So(name, ShouldBeIn, "b", "d") // a runs no service of streams, nobody has requests at c
			seen[name] = true
		}
	})
}

// Guards against as many probes of destinations as there are moves, and against a move to a destination that has
// announced that it leaves since its last answer.
func TestDestinationIsAskedDespiteAnswer(t *testing.T) {
	cases := []struct {
		name      string
		answerAge mgclock.Millis
		isLeaving bool
		asked     bool
		to        int // index of the upstream to which the generation moves
	}{
		{
			name: "a recent answer isn't asked",
			to:   1,
		},
		{
			name:      "an old answer is asked",
			answerAge: mgprobe.MaxUsableAge + 1,
			asked:     true,
			to:        1,
		},
		{
			name:      "a recent answer that has announced its departure since isn't used",
			isLeaving: true,
			to:        2,
		},
	}
	Convey("While the list is stale, a destination with", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				s := newMoveScenario(t, func(s *moveScenario, order mgrelay.MoveOrder) mgmigration.Reply {
					if order.Stop {
						close(s.breakOff)
					}
					return mgmigration.Reply{
						Outcome: mgmigration.Copied,
						Handle:  "h",
					}
				}, resumeFromCopy, resumeFromCopy)
				asked := make(chan string, 16)
				s.harness.startRelay(func(spec *mgrelay.Spec) {
					s.configure(spec)
					isLeaving := spec.IsLeaving
					spec.IsLeaving = func(upstream string) bool { return isLeaving(upstream) || c.isLeaving && upstream == "b" }
					spec.IsListStale = func() bool { return true }
					spec.ReportDeparted = func(string) {}
					spec.Prober = newProber("other")
					now := spec.Clock.Now()
					spec.Prober.Record(now-c.answerAge, "b")
					spec.Prober.Record(now, "c")
					spec.AskLeaving = func(_ context.Context, host mgrelay.Host) (bool, error) {
						asked <- host.Name
						return false, nil
					}
				})
				got := s.harness.send(context.Background(), http.MethodPost, "/write/1", "x", nil)
				So(got.body, ShouldEqual, wholeStream())
				So(s.orders[0].To, ShouldEqual, s.harness.hosts[c.to].Addr)
				So(len(asked) > 0, ShouldEqual, c.asked)
			})
		}
	})
}

// Guards against each entry asking an upstream whose list entry expired every quarter of a second, while others do.
func TestExpiredUpstreamIsAskedDespiteAnswer(t *testing.T) {
	Convey("A generation at an upstream that is missing from the list isn't moved while it answers others", t, func() {
		// staleChecks is the number of checks that find the list stale, for long enough to count as an outage of the
		// platform: the relay checks it 44 times a second.
		const staleChecks = 150
		var checks atomic.Int64
		back := make(chan struct{})   // the list is no longer stale
		enough := make(chan struct{}) // the upstream's answer was used since it left the list
		s := newMoveScenario(t, func(*moveScenario, mgrelay.MoveOrder) mgmigration.Reply { return mgmigration.Reply{} }, resumeFromCopy)
		source := func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(eventText(1)))
			_ = http.NewResponseController(w).Flush()
			<-back
			s.leave()
			<-enough
			for n := 2; n <= 6; n++ {
				_, _ = w.Write([]byte(eventText(n)))
			}
		}
		s.harness = newHarness(t, source, resumeFromCopy)
		asked := make(chan string, 1024)
		s.harness.startRelay(func(spec *mgrelay.Spec) {
			s.configure(spec)
			var missingChecks atomic.Int64
			spec.IsMissing = func(upstream string) bool {
				isMissing := spec.IsLeaving(upstream)
				if isMissing && missingChecks.Add(1) == 4 { // two in each turn of the wait for the list
					close(enough)
				}
				return isMissing
			}
			spec.ReportDeparted = func(string) {}
			spec.Prober = newProber("other")
			spec.Prober.Record(spec.Clock.Now()+mgclock.Minute, "a") // stays recent
			spec.IsListStale = func() bool {
				check := checks.Add(1)
				if check == staleChecks+1 {
					close(back)
				}
				return check <= staleChecks
			}
			spec.AskLeaving = func(_ context.Context, host mgrelay.Host) (bool, error) {
				asked <- host.Name
				return false, nil
			}
		})
		got := s.harness.send(context.Background(), http.MethodPost, "/write/1", "x", nil)
		So(got.body, ShouldEqual, wholeStream())
		So(s.orders, ShouldBeEmpty)
		So(asked, ShouldBeEmpty)
	})
}
