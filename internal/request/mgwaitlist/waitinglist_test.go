package mgwaitlist

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

func newRequest(name string, need int, due mgclock.Millis) Request {
	return Request{
		Name:     name,
		Need:     need,
		Duration: 1000,
		Due:      due,
		GiveUpAt: mgclock.Minute,
	}
}

func describeGrants(grants []Grant) string {
	text := ""
	for _, g := range grants {
		text += fmt.Sprintf("%s at %s, ", g.Name, g.Place)
	}
	return text
}

// Guards against this failure: a short request waits six seconds at an engine full of long
// ones, behind one that is late already, while the engine beside it has free memory.
func TestRequestGetsWrongPlace(t *testing.T) {
	places := func() []Place {
		return []Place{
			{
				Name: "full",
				Cost: 10,
				Free: 1000,
			},
			{
				Name: "roomy",
				Cost: 500,
				Free: 4000,
			},
		}
	}
	cases := []struct {
		name  string
		waits []Request
		want  string
	}{
		{
			name:  "goes where there is memory, not where it is cheapest",
			waits: []Request{newRequest("report", 3000, 100)},
			want:  "report at roomy, ",
		},
		{
			name:  "goes to the cheapest of those with memory",
			waits: []Request{newRequest("note", 900, 100)},
			want:  "note at full, ",
		},
		{
			name:  "goes before a larger one",
			waits: []Request{newRequest("report", 3000, 100), newRequest("note", 2500, 100)},
			want:  "note at roomy, ",
		},
		{
			name:  "goes before one that is late, though larger",
			waits: []Request{newRequest("late", 2500, -1), newRequest("report", 3000, 100)},
			want:  "report at roomy, ",
		},
		{
			name:  "overtakes one that fits nowhere",
			waits: []Request{newRequest("late", 9000, -1), newRequest("later", 900, -1)},
			want:  "later at full, ",
		},
	}
	Convey("A request that waits", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				var r WaitingList
				for _, w := range c.waits {
					r.Add(w)
				}
				So(describeGrants(r.Assign(0, places())), ShouldEqual, c.want)
				So(r.Len(), ShouldEqual, len(c.waits)-1)
			})
		}
		Convey("avoids a slow engine the more the longer its output is", func() {
			var r WaitingList
			slow := []Place{
				{
					Name:      "slow",
					Free:      9000,
					TokenCost: 5,
				},
				{
					Name: "busy",
					Free: 9000,
					Cost: 1000,
				},
			}
			long := newRequest("report", 3000, 100)
			long.Output = 900
			r.Add(long)
			So(describeGrants(r.Assign(0, slow)), ShouldEqual, "report at busy, ")
			r.Add(newRequest("note", 900, 100))
			So(describeGrants(r.Assign(0, slow)), ShouldEqual, "note at slow, ")
		})
		Convey("waits once, however often it is added", func() {
			var r WaitingList
			r.Add(newRequest("report", 9000, 100))
			r.Add(newRequest("report", 9000, 100))
			So(r.Len(), ShouldEqual, 1)
			r.Remove("report")
			So(r.Assign(0, places()), ShouldBeEmpty)
		})
		Convey("doesn't get memory that was granted just before", func() {
			var r WaitingList
			r.Add(newRequest("first", 3000, 100))
			So(describeGrants(r.Assign(0, places())), ShouldEqual, "first at roomy, ")
			r.Add(newRequest("second", 3000, 100))
			So(r.Assign(reportDelay-1, places()), ShouldBeEmpty)
			So(describeGrants(r.Assign(reportDelay, places())), ShouldEqual, "second at roomy, ")
		})
		Convey("is given up at its end, with the time that the list takes as its retry time", func() {
			var r WaitingList
			for n := range 10 {
				r.Add(newRequest(fmt.Sprint("served", n), 3000, 100))
				r.Assign(mgclock.Millis(n)*reportDelay, places())
			}
			now := 10 * reportDelay
			for n := range 20 {
				r.Add(newRequest(fmt.Sprint("large", n), 9000, -1))
			}
			late := newRequest("late", 9000, -1)
			late.GiveUpAt = now
			r.Add(late)
			grants := r.Assign(now, places())
			So(len(grants), ShouldEqual, 1)
			So(grants[0].Name, ShouldEqual, "late")
			So(grants[0].Place, ShouldBeEmpty)
			So(grants[0].Retry, ShouldBeBetweenOrEqual, minRetry, maxRetry)
			So(r.Len(), ShouldEqual, 20)
		})
		Convey("is counted in the state: how many wait, how many are late, since when", func() {
			var r WaitingList
			r.Add(newRequest("on time", 9000, 100))
			late := newRequest("late", 9000, 40)
			late.Arrived = -60
			r.Add(late)
			So(r.State(50), ShouldResemble, State{
				Waiting: 2,
				Late:    1,
				Age:     110,
			})
		})
		Convey("overtakes only a few", func() {
			var r WaitingList
			for n := range maxOvertakes + 1 {
				r.Add(newRequest(fmt.Sprint("large", n), 9000, -1))
			}
			r.Add(Request{
				Name:     "small",
				Need:     10,
				Arrived:  1,
				Due:      -1,
				GiveUpAt: mgclock.Minute,
			})
			So(r.Assign(0, places()), ShouldBeEmpty)
		})
	})
}
