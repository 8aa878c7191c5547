package mgsoak

import (
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a failed answer that isn't reported although only a planned stop was
// active, whatever its error is.
func TestFailureBesidePlannedStopMissed(t *testing.T) {
	Convey("A report that failed beside a planned stop", t, func() {
		for _, err := range []error{errors.New("unconfirmed: EOF"), errors.New("connection reset by peer")} {
			r := &run{
				faultIntervals: []faultInterval{{
					fault: Fault{
						Kind:   StopProcess,
						Target: "entry-1",
					},
					end: 100,
				}},
			}
			r.evidence.answers = []callerAnswer{{
				prompt: "report",
				err:    err,
			}}
			found := r.checkFailedAnswers()
			So(len(found), ShouldEqual, 1)
			So(found[0].Promise, ShouldEqual, plannedStopCutsNothing)
		}
	})
}
