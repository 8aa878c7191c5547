package mgentry_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// lookups is the sessions' table with an additional lookup service that may be
// hedged, on two upstreams.
var lookups = strings.Replace(table, `services = ["report", "ticket"]`, `services = ["report", "ticket", "level"]`, 1) + `
[[service]]
name = "level"
kind = "plain"
deadline = 5000
repeat = "safe"
hedge = 0.05

[[upstream]]
name = "tanks-1"
kind = "service"
services = ["level"]
batch = 16

[[upstream]]
name = "tanks-2"
kind = "service"
services = ["level"]
batch = 16
`

// delayedAgent answers each call after a delay.
type delayedAgent struct {
	mgrpc.Agent
	delay *atomic.Int64 // ms
	calls *atomic.Int64
}

func (a delayedAgent) Invoke(ctx context.Context, _ *mgrpc.InvokeRequest) (*mgrpc.InvokeReply, error) {
	a.calls.Add(1)
	mgclock.Clock{}.Sleep(ctx, mgclock.Millis(a.delay.Load()))
	return &mgrpc.InvokeReply{
		Status:  http.StatusOK,
		Outcome: "done",
	}, nil
}

func delayedHandler(delay, calls *atomic.Int64) http.Handler {
	return mgrpc.NewAgentServer(delayedAgent{
		delay: delay,
		calls: calls,
	})
}

// One upstream becomes slow while the other is idle, and lookups wait for the slow
// one. Once lookups are known to take 20 ms, a copy must go to the other upstream.
// When both are slow, copies must stop, since they only add load.
func TestHedge(t *testing.T) {
	Convey("Lookups at a slow upstream", t, func() {
		var slowest mgclock.Millis
		var extra int64
		synctest.Test(t, func(t *testing.T) {
			var delays, calls [2]atomic.Int64
			delays[0].Store(20)
			delays[1].Store(20)
			entry := newEntryWithTable(lookups, "level", hostTransport{
				"agent-1": delayedHandler(&delays[0], &calls[0]),
				"agent-2": delayedHandler(&delays[1], &calls[1]),
			})
			for range 200 {
				lookup(entry.Handler())
			}
			delays[0].Store(2000)
			for range 40 {
				slowest = max(slowest, lookup(entry.Handler()))
			}
			delays[1].Store(2000)
			before := calls[0].Load() + calls[1].Load()
			for range 100 {
				lookup(entry.Handler())
			}
			synctest.Wait()
			extra = calls[0].Load() + calls[1].Load() - before - 100
		})
		Convey("are answered by the other one", func() {
			So(slowest, ShouldBeLessThan, 100)
		})
		Convey("cost no more than the budget's copies when both are slow", func() {
			So(extra, ShouldBeLessThan, 75)
		})
	})
}

// lookup makes one lookup and returns its duration.
func lookup(handler http.Handler) mgclock.Millis {
	begun := mgclock.Clock{}.Now()
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, tanklineRequest(http.MethodGet, "/v1/services/level/tank/7", ""))
	if recorder.Code != http.StatusOK {
		return mgclock.Minute
	}
	return mgclock.Clock{}.Now() - begun
}

// refusingAgent refuses each call as not run.
type refusingAgent struct {
	mgrpc.Agent
}

func (refusingAgent) Invoke(context.Context, *mgrpc.InvokeRequest) (*mgrpc.InvokeReply, error) {
	return &mgrpc.InvokeReply{
		Fault: &mgrpc.Fault{
			Kind:    "leaving",
			Outcome: "notrun",
			Retry:   100,
		},
	}, nil
}

// breakingTransport is a hostTransport that breaks the connection to one host a number of
// times.
type breakingTransport struct {
	hostTransport
	host   string
	breaks *atomic.Int64
}

func (b breakingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Host == b.host && b.breaks.Add(-1) >= 0 {
		return nil, errReset
	}
	return b.hostTransport.RoundTrip(r)
}

// Guards against "not run" from one upstream for a call that another may have run.
func TestUnansweredCallReportedNotRun(t *testing.T) {
	Convey("A call that one upstream didn't answer and another refused has an unknown outcome", t, func() {
		for range 20 { // the upstreams are tried in random order
			entry := newEntryWithTable(lookups, "level", silentTransport{
				host: "agent-1",
				hostTransport: hostTransport{
					"agent-2": mgrpc.NewAgentServer(refusingAgent{}),
				},
			})
			recorder := httptest.NewRecorder()
			entry.Handler().ServeHTTP(recorder, tanklineRequest(http.MethodGet, "/v1/services/level/tank/7", ""))
			So(recorder.Code, ShouldNotEqual, http.StatusOK)
			So(recorder.Body.String(), ShouldContainSubstring, `"outcome":"unknown"`)
		}
	})
	Convey("So has one whose second copy broke off before both upstreams refused it", t, func() {
		var answers []string
		synctest.Test(t, func(*testing.T) {
			var delay, calls, breaks atomic.Int64
			delay.Store(20)
			slow := delayedHandler(&delay, &calls)
			network := breakingTransport{
				hostTransport: hostTransport{
					"agent-1": slow,
					"agent-2": slow,
				},
				host:   "agent-2",
				breaks: &breaks,
			}
			entry := newEntryWithTable(lookups, "level", network)
			for range 200 {
				lookup(entry.Handler())
			}
			synctest.Wait() // the last copies have chosen their handlers
			refuse := mgrpc.NewAgentServer(refusingAgent{})
			network.hostTransport["agent-1"] = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				mgclock.Clock{}.Sleep(r.Context(), 2000)
				refuse.ServeHTTP(w, r)
			})
			network.hostTransport["agent-2"] = refuse
			for range 10 {
				breaks.Store(1)
				recorder := httptest.NewRecorder()
				entry.Handler().ServeHTTP(recorder, tanklineRequest(http.MethodGet, "/v1/services/level/tank/7", ""))
				answers = append(answers, recorder.Body.String())
			}
		})
		for _, answer := range answers {
			So(answer, ShouldContainSubstring, `"outcome":"unknown"`)
		}
	})
}
