package mgagent_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgagent"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// An operator raises an account's weight. An entry already uses the new table,
// and an agent that doesn't have it yet enqueues the request by the old weight.
// It must fetch the version that the request names, or refuse.
func TestDecisionByOutdatedTable(t *testing.T) {
	cases := []struct {
		name         string
		appearsAfter mgclock.Millis // when the newer table is in force here
		want         string
	}{
		{
			name:         "the newer table is there in time",
			appearsAfter: 50,
			want:         "",
		},
		{
			name:         "the newer table is late",
			appearsAfter: 5000,
			want:         "behind/notrun",
		},
	}
	Convey("An agent with an older table than its caller", t, func() {
		newer, err := mgtable.Parse([]byte(strings.Replace(table, "version = 1", "version = 2", 1)))
		So(err, ShouldBeNil)
		for _, c := range cases {
			Convey(c.name, func() {
				var got, reportedBy string
				synctest.Test(t, func(t *testing.T) {
					agent, err := newAgent(table, idleCalls(), func(spec *mgagent.Spec) {
						var now atomic.Pointer[mgtable.Table]
						now.Store(spec.Table())
						spec.Table = now.Load
						spec.ObserveVersion = func(_ uint64, from string) { reportedBy = from }
						spec.AwaitVersion = func(ctx context.Context, _ uint64) error {
							if !spec.Clock.Sleep(ctx, c.appearsAfter) {
								return ctx.Err()
							}
							now.Store(newer)
							return nil
						}
					})
					if err != nil {
						t.Fatal(err)
					}
					reply, err := agent.Start(t.Context(), &mgrpc.StartRequest{
						Attempt:     "a",
						Incarnation: "i1",
						Account:     "tankline",
						Service:     "report",
						Model:       "tank-70b",
						Prompt:      "shift report",
						Version:     2,
						Entry:       "entry-1",
						Budget:      30_000,
						Stamp:       int64(mgclock.Clock{}.Now()),
					})
					if err != nil {
						t.Fatal(err)
					}
					if f := reply.GetFault(); f != nil {
						got = f.GetKind() + "/" + f.GetOutcome()
					}
				})
				So(got, ShouldEqual, c.want)
				So(reportedBy, ShouldEqual, "entry-1")
			})
		}
	})
}
