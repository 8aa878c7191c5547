package mgbench

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// A policy whose gates count on engines that stay would be measured on engines
// that come back empty, and look broken.
func TestPlayable(t *testing.T) {
	Convey("Only policies that say how generations leave play reclaims", t, func() {
		So(reclaim().playable(policies()), ShouldBeEmpty)
		So(len(reclaim().playable(movePolicies())), ShouldEqual, len(movePolicies()))
		So(calm().playable(movePolicies()), ShouldBeEmpty)
	})
}
