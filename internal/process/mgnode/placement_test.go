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

// newHubWithUpstream returns an entry that assigns placements at one upstream with some free
// memory.
func newHubWithUpstream(free func() int) *Node {
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
	n.placementCandidates.Store(&places)
	return n
}

func newRequest(name string) mgwaitlist.Request {
	return mgwaitlist.Request{
		Name:     name,
		Need:     3000,
		GiveUpAt: mgclock.Clock{}.Now() + mgclock.Minute,
	}
}

// Guards against memory that is placed twice, or for a request whose caller has left. Two
// entries ask at the same moment, and the engine has memory for one request. If both were
// sent there, the second would wait behind the first. A repeated call must not enqueue its
// request twice, and a request whose caller has left must not take memory from another.
func TestMemoryPlacedTwiceOrForAbandonedRequest(t *testing.T) {
	type scenarioFunc func(ctx context.Context, n *Node, free *atomic.Int64) (got []string)
	cases := []struct {
		name     string
		scenario scenarioFunc
		want     []string
	}{
		{
			name: "one of two gets the memory, and the other one gets it when it is free again",
			scenario: func(ctx context.Context, n *Node, free *atomic.Int64) []string {
				free.Store(3000)
				first := n.awaitPlacement(ctx, "llm", newRequest("one")).Place
				free.Store(0)
				none := n.awaitPlacement(ctx, "llm", newRequest("two")).Place
				go func() {
					n.clock.Sleep(ctx, 100)
					free.Store(3000)
				}()
				return []string{first, none, n.awaitPlacement(ctx, "llm", newRequest("two")).Place}
			},
			want: []string{"engine", "", "engine"},
		},
		{
			name: "one whose caller has left gets no placement",
			scenario: func(ctx context.Context, n *Node, free *atomic.Int64) []string {
				left, cancel := context.WithCancel(ctx)
				go func() {
					n.clock.Sleep(ctx, 50)
					cancel()
				}()
				none := n.awaitPlacement(left, "llm", newRequest("left")).Place
				free.Store(3000)
				return []string{none, n.awaitPlacement(ctx, "llm", newRequest("next")).Place}
			},
			want: []string{"", "engine"},
		},
		{
			name: "one whose entry has stopped asking gets no placement",
			scenario: func(ctx context.Context, n *Node, free *atomic.Int64) []string {
				none := n.awaitPlacement(ctx, "llm", newRequest("dead")).Place
				n.clock.Sleep(ctx, placementHoldTimeout+pendingTTL)
				free.Store(3000)
				return []string{none, n.awaitPlacement(ctx, "llm", newRequest("next")).Place}
			},
			want: []string{"", "engine"},
		},
		{
			name: "one that has waited for too long gets a retry delay",
			scenario: func(ctx context.Context, n *Node, _ *atomic.Int64) []string {
				w := newRequest("late")
				w.GiveUpAt = n.clock.Now() + 50
				grant := n.awaitPlacement(ctx, "llm", w)
				return []string{grant.Place, fmt.Sprint(grant.Retry >= mgclock.Second)}
			},
			want: []string{"", "true"},
		},
	}
	Convey("Of the requests that wait for a placement", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				var got []string
				var n *Node
				synctest.Test(t, func(*testing.T) {
					var free atomic.Int64
					n = newHubWithUpstream(func() int { return int(free.Load()) })
					got = c.scenario(context.Background(), n, &free)
				})
				So(got, ShouldResemble, c.want)
				So(n.placementQueues.byService["llm"].byName, ShouldBeEmpty)
				So(n.placementQueues.byService["llm"].waiting.Len(), ShouldEqual, 0)
			})
		}
	})
}
