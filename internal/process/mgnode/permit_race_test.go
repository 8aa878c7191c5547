package mgnode

import (
	"fmt"
	"strconv"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgrelay"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mglimit"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgload"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgwaitlist"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// newHubWithOnePermit returns an entry that assigns placements at one upstream with a rate limit,
// and has one permit for it.
func newHubWithOnePermit() *Node {
	const rate = 0.5 // requests a second
	n := newHubWithUpstream(func() int { return 0 })
	n.members = mgmember.New("hub")
	places := func(string, mgload.Report) []mgwaitlist.Place {
		return []mgwaitlist.Place{{
			Name:    limitedUpstream,
			Free:    1 << 20,
			Limited: true,
			Rate:    rate,
		}}
	}
	n.placementCandidates.Store(&places)
	now := n.clock.Now()
	n.limits.RecordRate(now, limitedUpstream, 0, rate)
	n.permits.Available(now-10*mgclock.Second, limitedUpstream, mglimit.ShareOf(rate, 1, 1))
	return n
}

// Guards against two requests with one permit: the hub assigns a placement with the permit that
// another entry takes meanwhile.
func TestPermitGrantedTwice(t *testing.T) {
	Convey("While a hub assigns one of many requests, another entry requests the only permit", t, func() {
		const rounds, waitingCount = 500, 300
		var none, both int
		for range rounds {
			n := newHubWithOnePermit()
			for i := range waitingCount {
				n.placementQueues.enqueue(n.clock.Now(), "llm", newRequest(strconv.Itoa(i)))
			}
			start := make(chan struct{})
			granted := 0
			var calls sync.WaitGroup
			calls.Go(func() {
				<-start
				if _, ok := n.grantPermit("other", mgrelay.PermitRequest{
					Ask: mglimit.PermitRequest{
						Upstream: limitedUpstream,
						Request:  "other",
					},
					Granters: 1,
				}); ok {
					granted = 1
				}
			})
			calls.Go(func() {
				<-start
				n.assignPlacements("llm")
			})
			close(start)
			calls.Wait()
			for _, pending := range n.placementQueues.byService["llm"].byName {
				if pending.grant.Place != "" {
					granted++
				}
			}
			switch granted {
			case 0:
				none++
			case 2:
				both++
			}
		}
		So(both, ShouldEqual, 0)
		So(none, ShouldEqual, 0)
	})
}

// BenchmarkAssignWithPermits measures how long an assignment keeps other entries from taking
// permits, by the numbers of upstreams and of waiting requests.
func BenchmarkAssignWithPermits(b *testing.B) {
	for _, size := range []struct{ upstreams, waiting int }{{15, 20}, {144, 300}} {
		b.Run(fmt.Sprintf("%d upstreams, %d requests", size.upstreams, size.waiting), func(b *testing.B) {
			n := newHubWithOnePermit()
			for i := range size.waiting {
				n.placementQueues.enqueue(n.clock.Now(), "llm", newRequest(strconv.Itoa(i)))
			}
			queue := n.placementQueues.byService["llm"]
			for i := range size.upstreams {
				queue.upstreams = append(queue.upstreams, mgwaitlist.Place{
					Name:    strconv.Itoa(i),
					Limited: i == 0,
					Rate:    0.5,
				})
			}
			for b.Loop() {
				n.assignWithPermits(n.clock.Now(), queue)
			}
		})
	}
}
