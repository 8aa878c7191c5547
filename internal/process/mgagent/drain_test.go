package mgagent_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglink"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgagent"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgmetric"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgsettings"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgseal"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// reclaimedEngine produces a token a second for each generation, except for
// "mute", which gets none, and "short", which ends with its tenth.
type reclaimedEngine struct {
	leaving atomic.Bool
	goneAt  atomic.Int64 // when the engine will be gone, 0 if it doesn't announce it
}

func (e *reclaimedEngine) load(context.Context) (mgengine.Load, error) {
	load := mgengine.Load{
		Leaving: e.leaving.Load(),
	}
	if gone := e.goneAt.Load(); gone != 0 {
		load.Notice = mgclock.Millis(gone) - mgclock.Clock{}.Now()
	}
	return load, nil
}

func (e *reclaimedEngine) stream(_ context.Context, id string, from uint64) (*mgengine.TokenStream, error) {
	next := from
	return mgengine.NewTokenStream(func(ctx context.Context) (mgengine.Token, error) {
		mgclock.Clock{}.Sleep(ctx, mgclock.Second)
		if ctx.Err() != nil || id == "mute" {
			return mgengine.Token{}, ctx.Err()
		}
		token := mgengine.Token{
			Seq:  next,
			Text: "x",
		}
		if id == "short" && next == 10 {
			token.End = "stop"
		}
		next++
		return token, nil
	}, nil), nil
}

// A readResult is how a generation ended for its reader.
type readResult struct {
	end    string
	tokens int
	at     mgclock.Millis
}

// readToEnd reads a generation to its end.
func readToEnd(agent *mgagent.Agent, id string) readResult {
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodGet, mgrpc.FramesPath+id+"?from=1", nil)
	agent.Handler().ServeHTTP(recorder, request)
	seen := readResult{
		at: mgclock.Clock{}.Now(),
	}
	in := bufio.NewReader(recorder.Body)
	for {
		frame, err := mglink.ReadFrame(in)
		if err != nil {
			return seen
		}
		seen.tokens += len(frame.GetText())
		seen.end = frame.GetEnd()
		if frame.GetMoved() != "" {
			seen.end = "moved to " + frame.GetMoved()
		}
		if frame.GetFault() != "" {
			seen.end = frame.GetFault() + "/" + frame.GetOutcome()
		}
	}
}

// An engine is reclaimed with half a minute's notice and its agent ignores it.
// Answers without a token could have been restarted elsewhere, and the others
// break off without a fault when the engine dies.
func TestReclaimCutsAnswers(t *testing.T) {
	const notice = 30 * mgclock.Second
	play := func(t *testing.T, say bool) map[string]readResult {
		endings := map[string]readResult{}
		synctest.Test(t, func(t *testing.T) {
			e := &reclaimedEngine{}
			agent, err := reclaimedAgent(e)
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			var all sync.WaitGroup
			all.Go(func() { agent.Run(ctx) })
			var clock mgclock.Clock
			var mu sync.Mutex
			var readers sync.WaitGroup
			for _, id := range []string{"mute", "short", "long", "whole"} {
				_, _ = agent.Start(ctx, &mgrpc.StartRequest{
					Attempt:     id,
					Incarnation: "i1",
					Account:     "tankline",
					Service:     "report",
					Model:       "tank-70b",
					Prompt:      "shift report",
					Max:         1000,
					Budget:      50_000,
					Whole:       id == "whole",
					Stamp:       int64(clock.Now()),
				})
				readers.Go(func() {
					seen := readToEnd(agent, id)
					mu.Lock()
					defer mu.Unlock()
					endings[id] = seen
				})
			}
			clock.Sleep(ctx, 5*mgclock.Second)
			start := clock.Now()
			if say {
				e.goneAt.Store(int64(start + notice))
			}
			e.leaving.Store(true)
			clock.Sleep(ctx, notice)
			cancel() // the engine is gone and the agent stops
			readers.Wait()
			all.Wait()
			for id, seen := range endings {
				seen.at -= start
				endings[id] = seen
			}
		})
		return endings
	}
	Convey("Of the answers of a reclaimed engine", t, func() {
		seen := play(t, true)
		Convey("one that ends in time is completed", func() {
			So(seen["short"].end, ShouldEqual, "stop")
			So(seen["short"].tokens, ShouldEqual, 10)
		})
		Convey("one that has delivered nothing is ended at once, to be restarted elsewhere", func() {
			for _, id := range []string{"mute", "whole"} {
				So(fmt.Sprint(id, " ", seen[id].end), ShouldEqual, id+" leaving/unknown")
				So(seen[id].at, ShouldBeLessThan, 3*mgclock.Second)
			}
		})
		Convey("one that has delivered tokens goes on until the margin, and its caller gets a fault", func() {
			So(seen["long"].end, ShouldEqual, "leaving/unknown")
			So(seen["long"].at, ShouldBeBetween, notice-4*mgclock.Second, notice)
			So(seen["long"].tokens, ShouldBeGreaterThan, 30)
		})
	})
	Convey("An engine that doesn't announce its end keeps its answers", t, func() {
		seen := play(t, false)
		for _, id := range []string{"mute", "whole", "long"} {
			So(seen[id].end, ShouldNotStartWith, "leaving")
		}
		So(seen["short"].end, ShouldEqual, "stop")
	})
}

func reclaimedAgent(e *reclaimedEngine) (*mgagent.Agent, error) {
	parsed, err := mgtable.Parse([]byte(strings.Replace(table, "batch = 1\n", "batch = 16\n", 1)))
	if err != nil {
		return nil, err
	}
	return mgagent.New(mgagent.Spec{
		Settings: mgsettings.Agent{
			Upstream:    "engine-1",
			Policy:      "ours",
			ReaderGrace: 60000,
			ResultTTL:   60000,
			MaxWaiting:  8,
		},
		Incarnation: "i1",
		Log:         logr.Discard(),
		Metrics:     mgmetric.New(),
		Signer:      &mgseal.Signer{},
		Engine: mgengine.NewClient(mgengine.Calls{
			Start:  func(context.Context, mgengine.StartSpec) error { return nil },
			Stream: e.stream,
			Load:   e.load,
			Events: func(context.Context, uint64) ([]mgengine.Event, error) { return nil, nil },
			Cancel: func(context.Context, string) error { return nil },
			List:   func(context.Context) ([]mgengine.Generation, error) { return nil, nil },
		}),
		Table:          func() *mgtable.Table { return parsed },
		ObserveVersion: func(uint64, string) {},
	})
}
