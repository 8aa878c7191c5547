package mgnode

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgmetric"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgload"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgroom"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// giver is an entry that gives places at one upstream with some memory free.
func newGranter(free func() int) *Node {
	n := &Node{
		metrics: mgmetric.New(),
		log:     logr.Discard(),
	}
	places := func(string, mgload.Report) []mgroom.Place {
		return []mgroom.Place{{
			Name: "engine",
			Free: free(),
		}}
	}
	n.readUpstreams.Store(&places)
	return n
}

func reportRequest(name string) mgroom.Wait {
	return mgroom.Wait{
		Name: name,
		Need: 3000,
		End:  mgclock.Clock{}.Now() + mgclock.Minute,
	}
}

// Two entries ask at the same moment, and one engine has memory for one report.
// Sent there both, the second would wait behind the first; asked for again and
// again, a request must have one place in the line; and one whose caller left
// must not be given memory that another waits for.
func TestMemoryPlacedTwiceOrForAbandonedRequest(t *testing.T) {
	type scenarioFunc func(ctx context.Context, n *Node, free *atomic.Int64) (got []string)
	cases := []struct {
		name     string
		scenario scenarioFunc
		got      []string
	}{
		{
			name: "one of two gets the place, the other one when there is memory again",
			scenario: func(ctx context.Context, n *Node, free *atomic.Int64) []string {
				free.Store(3000)
				first := n.awaitPlacement(ctx, "llm", reportRequest("one")).Place
				free.Store(0)
				none := n.awaitPlacement(ctx, "llm", reportRequest("two")).Place
				go func() {
					n.clock.Sleep(ctx, 100)
					free.Store(3000)
				}()
				return []string{first, none, n.awaitPlacement(ctx, "llm", reportRequest("two")).Place}
			},
			got: []string{"engine", "", "engine"},
		},
		{
			name: "one whose caller has left gets none",
			scenario: func(ctx context.Context, n *Node, free *atomic.Int64) []string {
				left, cancel := context.WithCancel(ctx)
				go func() {
					n.clock.Sleep(ctx, 50)
					cancel()
				}()
				none := n.awaitPlacement(left, "llm", reportRequest("left")).Place
				free.Store(3000)
				return []string{none, n.awaitPlacement(ctx, "llm", reportRequest("next")).Place}
			},
			got: []string{"", "engine"},
		},
		{
			name: "one that nobody asks for any more gets none",
			scenario: func(ctx context.Context, n *Node, free *atomic.Int64) []string {
				none := n.awaitPlacement(ctx, "llm", reportRequest("dead")).Place
				n.clock.Sleep(ctx, placementHoldTimeout+pendingTTL)
				free.Store(3000)
				return []string{none, n.awaitPlacement(ctx, "llm", reportRequest("next")).Place}
			},
			got: []string{"", "engine"},
		},
		{
			name: "one that has waited for too long is told when to come back",
			scenario: func(ctx context.Context, n *Node, _ *atomic.Int64) []string {
				w := reportRequest("late")
				w.End = n.clock.Now() + 50
				grant := n.awaitPlacement(ctx, "llm", w)
				return []string{grant.Place, fmt.Sprint(grant.Retry >= mgclock.Second)}
			},
			got: []string{"", "true"},
		},
	}
	Convey("Of the requests that ask for a place", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				var got []string
				var n *Node
				synctest.Test(t, func(*testing.T) {
					var free atomic.Int64
					n = newGranter(func() int { return int(free.Load()) })
					got = c.scenario(context.Background(), n, &free)
				})
				So(got, ShouldResemble, c.got)
				So(n.placementQueues.byService["llm"].pending, ShouldBeEmpty)
				So(n.placementQueues.byService["llm"].waiting.Len(), ShouldEqual, 0)
			})
		}
	})
}
