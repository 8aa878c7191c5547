package mgmigration

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

func newSlotRequest(source, run string, benefit float64, destinationNames ...string) SlotRequest {
	var destinations []Destination
	for _, name := range destinationNames {
		destinations = append(destinations, Destination{Name: name})
	}
	return SlotRequest{
		Source:       source,
		Run:          run,
		Benefit:      benefit,
		Destinations: destinations,
	}
}

// Guards against copies that share a source's link: eight runs leave one engine
// at once. Each copy shares the link with seven others, and each stopped run
// stands still until all of them are done.
func TestCopiesShareSourceLink(t *testing.T) {
	Convey("Runs of one source", t, func() {
		var slots Slots
		place, ok := slots.Acquire(0, newSlotRequest("s", "one", 10, "d", "e"))
		So(ok, ShouldBeTrue)
		So(place, ShouldEqual, "d")
		Convey("get the slot one at a time", func() {
			_, ok := slots.Acquire(1, newSlotRequest("s", "two", 500, "d", "e"))
			So(ok, ShouldBeFalse)
			slots.Release("s", "one")
			place, ok := slots.Acquire(2, newSlotRequest("s", "two", 500, "d", "e"))
			So(ok, ShouldBeTrue)
			So(place, ShouldEqual, "e")
		})
		Convey("keep the slot while they request another destination", func() {
			place, ok := slots.Acquire(1, newSlotRequest("s", "one", 10, "e"))
			So(ok, ShouldBeTrue)
			So(place, ShouldEqual, "e")
		})
		Convey("get the slot in the order of benefit", func() {
			slots.Acquire(1, newSlotRequest("s", "small", 20, "d"))
			slots.Acquire(1, newSlotRequest("s", "large", 9000, "d"))
			slots.Release("s", "one")
			_, ok := slots.Acquire(2, newSlotRequest("s", "small", 20, "d"))
			So(ok, ShouldBeFalse)
			_, ok = slots.Acquire(2, newSlotRequest("s", "large", 9000, "d"))
			So(ok, ShouldBeTrue)
		})
		Convey("are not blocked by a holder that died", func() {
			_, ok := slots.Acquire(slotTimeout, newSlotRequest("s", "two", 500, "d"))
			So(ok, ShouldBeTrue)
		})
		Convey("are not blocked by a waiting run whose entry died", func() {
			slots.Acquire(1, newSlotRequest("s", "large", 9000, "d"))
			slots.Release("s", "one")
			_, ok := slots.Acquire(requestTTL+2, newSlotRequest("s", "two", 500, "d"))
			So(ok, ShouldBeTrue)
		})
		Convey("of another source don't wait for them, and get another destination", func() {
			place, ok := slots.Acquire(1, newSlotRequest("other", "two", 10, "d", "e"))
			So(ok, ShouldBeTrue)
			So(place, ShouldEqual, "e")
		})
		Convey("leave no state behind", func() {
			slots.Release("s", "one")
			So(len(slots.sources), ShouldEqual, 0)
		})
	})
	Convey("Many runs spread over the destinations", t, func() {
		var slots Slots
		got := map[string]int{}
		for n := range 12 {
			run := fmt.Sprint(n)
			place, ok := slots.Acquire(mgclock.Millis(n), newSlotRequest("s", run, 1, "d", "e", "f"))
			So(ok, ShouldBeTrue)
			got[place]++
			slots.Release("s", run)
		}
		So(got, ShouldResemble, map[string]int{"d": 4, "e": 4, "f": 4})
	})
	Convey("A loaded destination is granted less often", t, func() {
		var slots Slots
		a := newSlotRequest("s", "one", 1, "crowded", "free")
		a.Destinations[0].Cost = 500
		place, _ := slots.Acquire(0, a)
		So(place, ShouldEqual, "free")
	})
	Convey("Where others wait for the link, a destination with a shorter copy is chosen", t, func() {
		a := newSlotRequest("s", "one", 9, "far", "near")
		a.Destinations[0].CopyTime = 380
		a.Destinations[1].CopyTime = 190
		a.Destinations[1].Cost = 700
		var alone, crowded Slots
		place, _ := alone.Acquire(0, a)
		So(place, ShouldEqual, "far")
		for n := range 4 {
			crowded.Acquire(0, newSlotRequest("s", fmt.Sprint("waits", n), 1))
		}
		place, _ = crowded.Acquire(0, a)
		So(place, ShouldEqual, "near")
	})
	Convey("A run without a destination gets no slot", t, func() {
		var slots Slots
		_, ok := slots.Acquire(0, newSlotRequest("s", "one", 1))
		So(ok, ShouldBeFalse)
	})
}

// Guards against a copy that takes too long: the last run of an engine that
// leaves in half a second is copied to another zone, where an engine has one
// run fewer. That copy takes 0.4 s instead of 0.2 s, and the engine is gone
// before it ends: the run is cut.
func TestLastRunCopiedTooFar(t *testing.T) {
	Convey("A run that no other waits behind goes where its copy is shorter", t, func() {
		var slots Slots
		place, ok := slots.Acquire(0, SlotRequest{
			Source: "s",
			Run:    "last",
			Destinations: []Destination{
				{
					Name:     "far",
					Cost:     190,
					CopyTime: 400,
				},
				{
					Name:     "near",
					Cost:     330, // 140 more than far, a little more than mgload.RunCost
					CopyTime: 200,
				},
			},
		})
		So(ok, ShouldBeTrue)
		So(place, ShouldEqual, "near")
	})
}
