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
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgwaitlist"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// newGranter returns an entry that assigns placements at one upstream with some free memory.
func newGranter(free func() int) *Node {
	n := &Node{
		metrics: mgmetric.New(),
		log:     logr.Discard(),
	}
	places := func(string, mgload.Report) []mgwaitlist.Place {
		return []mgwaitlist.Place{{
			Name: "engine",
			Free: free(),
		}}
	}
	n.readUpstreams.Store(&places)
	return n
}

func reportRequest(name string) mgwaitlist.Request {
	return mgwaitlist.Request{
		Name:     name,
		Need:     3000,
		GiveUpAt: mgclock.Clock{}.Now() + mgclock.Minute,
	}
}

// Two entries ask at the same moment, and the engine has memory for one request. If both were
// sent there, the second would wait behind the first. A repeated call must not enqueue its
// request twice, and a request whose caller has left must not take memory from another.
func TestMemoryPlacedTwiceOrForAbandonedRequest(t *testing.T) {
	type scenarioFunc func(ctx context.Context, n *Node, free *atomic.Int64) (got []string)
	cases := []struct {
		name     string
		scenario scenarioFunc
		got      []string
	}{
		{
			name: "one of two gets the memory, and the other one gets it when it is free again",
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
			name: "one whose caller has left gets no placement",
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
			name: "one whose entry has stopped asking gets no placement",
			scenario: func(ctx context.Context, n *Node, free *atomic.Int64) []string {
				none := n.awaitPlacement(ctx, "llm", reportRequest("dead")).Place
				n.clock.Sleep(ctx, placementHoldTimeout+pendingTTL)
				free.Store(3000)
				return []string{none, n.awaitPlacement(ctx, "llm", reportRequest("next")).Place}
			},
			got: []string{"", "engine"},
		},
		{
			name: "one that has waited for too long gets a retry delay",
			scenario: func(ctx context.Context, n *Node, _ *atomic.Int64) []string {
				w := reportRequest("late")
				w.GiveUpAt = n.clock.Now() + 50
				grant := n.awaitPlacement(ctx, "llm", w)
				return []string{grant.Place, fmt.Sprint(grant.Retry >= mgclock.Second)}
			},
			got: []string{"", "true"},
		},
	}
	Convey("Of the requests that wait for a placement", t, func() {
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
