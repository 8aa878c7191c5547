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
