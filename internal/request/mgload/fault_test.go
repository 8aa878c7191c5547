package mgload

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Guards against this failure: an engine resets all requests for seven seconds while its
// health check succeeds. It is idle, looks the cheapest, and attracts requests from each
// entry: 91 callers in one day got an error although another engine had time for their
// requests.
func TestFailingEngineAttractsRequests(t *testing.T) {
	Convey("Of two entries' requests to an engine", t, func() {
		var hub Hub
		var one, two Tracker
		exchange := func(now mgclock.Millis) float64 {
			hub.Exchange(now, "one", Report{Faults: one.Faults(now)})
			hub.Exchange(now, "two", Report{Faults: two.Faults(now)})
			return hub.Others(now, "hub").Faults["engine"]
		}
		others := []float64{0, 0, 0, 0}
		isExcluded := func(weight float64) bool { return Faulty(append(others, weight))(weight) }
		Convey("one fault raises its cost", func() {
			one.RecordFault(0, "engine")
			weight := exchange(0)
			So(isExcluded(weight), ShouldBeFalse)
			So(Cost(State{Faults: weight}, Query{}), ShouldBeGreaterThanOrEqualTo, Cost(State{}, Query{})+faultCost)
		})
		Convey("a fault of each excludes it for both", func() {
			one.RecordFault(0, "engine")
			two.RecordFault(100, "engine")
			So(isExcluded(exchange(100)), ShouldBeTrue)
			Convey("for some seconds", func() {
				So(isExcluded(exchange(mgclock.Second)), ShouldBeTrue)
				So(isExcluded(exchange(3*mgclock.Second)), ShouldBeFalse)
				So(exchange(faultDecay*4), ShouldEqual, 0)
			})
			Convey("until it answers", func() {
				one.RecordAnswer(200, "engine")
				So(isExcluded(exchange(200)), ShouldBeFalse)
			})
		})
		Convey("faults of a single caller's connection among many answers don't exclude it", func() {
			for range 5 {
				one.RecordFault(0, "engine")
				one.RecordAnswer(0, "engine")
			}
			So(isExcluded(exchange(0)), ShouldBeFalse)
		})
	})
	Convey("An entry that is cut off doesn't exclude engines for all others", t, func() {
		var hub Hub
		hub.Exchange(0, "cut", Report{
			Loads:  map[string]Load{"a": {Runs: 1}},
			Faults: map[string]float64{"a": 2, "b": 2, "c": 2},
		})
		So(hub.Others(0, "hub").Faults, ShouldBeEmpty)
	})
	Convey("Where more than half fail, the cause is elsewhere, and none is excluded", t, func() {
		So(Faulty([]float64{3, 3, 0})(3), ShouldBeFalse)
		So(Faulty([]float64{3, 0, 0})(3), ShouldBeTrue)
	})
}
