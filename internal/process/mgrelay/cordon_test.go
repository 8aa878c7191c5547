package mgrelay_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgrelay"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgmigration"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Guards against a caller that waits for its whole deadline for an engine that it
// can't get, and whose answer has no Retry-After, because operators have cordoned all
// availability zones.
func TestRequestWaitsThoughAllCordoned(t *testing.T) {
	Convey("If all upstreams of a service are cordoned a request is refused at once", t, func() {
		g := newHarness(t, answerWith("x"))
		g.startRelay(func(spec *mgrelay.Spec) {
			spec.Upstreams = func(string) []mgrelay.Host { return nil }
			spec.AllCordoned = func(string) bool { return true }
		})
		got := g.send(context.Background(), http.MethodPost, "/book/1", "x", nil)
		So(got.status, ShouldEqual, http.StatusServiceUnavailable)
		So(got.header.Get("Retry-After"), ShouldEqual, "5")
		So(got.body, ShouldContainSubstring, "cordoned")
		So(g.requests(), ShouldBeEmpty)
	})
}

// Guards against a generation that continues in a cordoned availability zone, and
// breaks off seconds later with the engines there. This can come about if an engine
// announces that it is leaving while its zone is being drained, or if the
// destination's zone is cordoned in the middle of a move.
func TestGenerationMovesIntoCordonedZone(t *testing.T) {
	Convey("A generation that is moved", t, func() {
		var cordoned atomic.Value // name of the cordoned upstream
		cordoned.Store("")
		var age atomic.Int64
		moveWithCordon := func(move func(s *moveScenario, order mgrelay.MoveOrder) mgmigration.Reply, handlers ...upstreamHandler) (*moveScenario, callerReply) {
			s := newMoveScenario(t, move, handlers...)
			s.harness.startRelay(func(spec *mgrelay.Spec) {
				s.configure(spec)
				spec.CordonAge = func(upstream string) (mgclock.Millis, bool) {
					return mgclock.Millis(age.Load()), upstream == cordoned.Load()
				}
			})
			return s, s.harness.send(context.Background(), http.MethodPost, "/write/1", "x", nil)
		}
		Convey("goes elsewhere if its destination is cordoned before it is stopped", func() {
			s, got := moveWithCordon(func(s *moveScenario, order mgrelay.MoveOrder) mgmigration.Reply {
				if order.To == s.harness.hosts[1].Addr {
					cordoned.Store("b")
				}
				if order.Stop {
					close(s.breakOff)
				}
				return mgmigration.Reply{
					Outcome: mgmigration.Copied,
					Handle:  "h",
				}
			}, resumeFromCopy, resumeFromCopy)
			So(got.cut, ShouldBeFalse)
			So(got.body, ShouldEqual, wholeStream())
			So(s.orders[len(s.orders)-1].To, ShouldEqual, s.harness.hosts[2].Addr)
		})
		Convey("does not continue at a source that was cordoned long before", func() {
			cordoned.Store("a")
			age.Store(60_000)
			s, got := moveWithCordon(func(s *moveScenario, order mgrelay.MoveOrder) mgmigration.Reply {
				if !order.Stop {
					return mgmigration.Reply{
						Outcome: mgmigration.Copied,
						Handle:  "h",
					}
				}
				close(s.breakOff)
				return mgmigration.Reply{
					Outcome: mgmigration.NoCapacity,
					Handle:  "h",
				}
			}, refuseWith(http.StatusServiceUnavailable))
			So(got.cut, ShouldBeTrue)
			for _, request := range s.harness.requests()[1:] {
				So(request.header.Get("Upstream"), ShouldNotEqual, "a")
			}
		})
	})
}
