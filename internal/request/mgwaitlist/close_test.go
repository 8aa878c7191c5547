package mgwaitlist

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against this failure: when the last availability zone is cordoned, requests keep
// waiting for a place that can't be granted: their callers are refused only after three
// times as long as an answer may take to begin.
func TestCloseLeavesRequestsWaiting(t *testing.T) {
	Convey("Where no upstream may be given work, all waiting requests are given up at once", t, func() {
		var r WaitingList
		for _, name := range []string{"a", "b", "c"} {
			r.Add(Request{
				Name:     name,
				Need:     3000,
				GiveUpAt: 60_000,
			})
		}
		grants := r.GiveUpAll()
		So(len(grants), ShouldEqual, 3)
		for _, grant := range grants {
			So(grant.Place, ShouldBeEmpty)
			So(grant.Retry, ShouldEqual, maxRetry)
		}
		So(r.Len(), ShouldEqual, 0)
		So(r.GiveUpAll(), ShouldBeEmpty)
	})
}
