package mgagent_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// One account sends prompts that engines refuse, and everybody's requests are
// rejected: each refusal made the agent treat its engine as unreachable until
// the next load report, at one engine after another.
func TestRefusalMarksEngineDown(t *testing.T) {
	cause := errors.New("status 400: the prompt is too long")
	cases := []struct {
		name    string
		failure error
		offers  bool
	}{
		{
			name:    "an engine that refuses a request accepts others",
			failure: mgengine.NewRefusal("start", cause),
			offers:  true,
		},
		{
			name:    "an engine that can't be reached accepts none",
			failure: mgengine.NewFailure(mgengine.NotStarted, "start", "", cause),
		},
	}
	Convey("After a failed start", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				var refused string
				synctest.Test(t, func(t *testing.T) {
					engine := idleCalls()
					engine.Start = func(context.Context, mgengine.StartSpec) error { return c.failure }
					agent, err := newAgent(table, engine, unchanged)
					if err != nil {
						t.Fatal(err)
					}
					ctx, cancel, done := runAgent(agent)
					synctest.Wait()
					_, _ = agent.Start(ctx, &mgrpc.StartRequest{
						Attempt:     "a",
						Incarnation: "i1",
						Account:     "tankline",
						Service:     "report",
						Model:       "tank-70b",
						Prompt:      "shift report",
						Budget:      30_000,
						Stamp:       int64(mgclock.Clock{}.Now()),
					})
					synctest.Wait()
					offer, err := agent.Probe(ctx, &mgrpc.ProbeRequest{
						Account: "tankline",
						Service: "report",
						Model:   "tank-70b",
						Budget:  30_000,
					})
					if err != nil {
						t.Fatal(err)
					}
					refused = offer.GetRefused()
					cancel()
					<-done
				})
				So(refused == "", ShouldEqual, c.offers)
			})
		}
	})
}
