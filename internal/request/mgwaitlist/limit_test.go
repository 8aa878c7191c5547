package mgwaitlist

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Guards against a request that waits for a place until it is given up at its latest time,
// although the upstream's rate limit doesn't allow a permit for it in time.
func TestRequestWaitsForUnreachablePermit(t *testing.T) {
	limited := func(name string, permits int) Place {
		return Place{
			Name:    name,
			Free:    100000,
			Rate:    2,
			Limited: true,
			Permits: permits,
		}
	}
	newWaitingList := func(count int, end mgclock.Millis) *WaitingList {
		var r WaitingList
		for n := range count {
			w := newRequest(fmt.Sprint("report ", n), 100, 100)
			w.GiveUpAt = end
			r.Add(w)
		}
		return &r
	}
	Convey("Of ten reports", t, func() {
		Convey("as many go to a limited place as it has permits", func() {
			grants := newWaitingList(10, mgclock.Minute).Assign(0, []Place{limited("a", 3)})
			So(describeGrants(grants), ShouldEqual, "report 0 at a, report 1 at a, report 2 at a, ")
		})
		Convey("the others go to a place without a limit", func() {
			roomy := Place{
				Name: "b",
				Cost: 500,
				Free: 200,
			}
			grants := newWaitingList(10, mgclock.Minute).Assign(0, []Place{limited("a", 1), roomy})
			So(describeGrants(grants), ShouldEqual, "report 0 at a, report 1 at b, report 2 at b, ")
		})
		Convey("those whose permit can't come in time are given up at once, the others wait", func() {
			r := newWaitingList(10, 2*mgclock.Second)
			grants := r.Assign(0, []Place{limited("a", 0)})
			So(len(grants), ShouldEqual, 6)
			So(r.Len(), ShouldEqual, 4)
			for _, g := range grants {
				So(g.Place, ShouldBeEmpty)
				So(g.Retry, ShouldBeBetweenOrEqual, minRetry, maxRetry)
			}
		})
		Convey("all wait where a place has no limit", func() {
			full := Place{
				Name: "b",
				Free: 10,
			}
			So(newWaitingList(10, 2*mgclock.Second).Assign(0, []Place{limited("a", 0), full}), ShouldBeEmpty)
		})
	})
}
