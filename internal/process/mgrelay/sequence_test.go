package mgrelay

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a generation that continues at another engine with an event repeated
// or missing, which nobody would notice.
func TestResumedStreamRepeatsOrSkipsEvents(t *testing.T) {
	const first = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	cases := []struct {
		name   string
		before string
		after  string
		got    string
		faulty bool
	}{
		{
			name:   "the next event",
			before: first,
			after:  "id: 3\ndata: c\n\n",
			got:    "id: 3\ndata: c\n\n",
		},
		{
			name:   "events that the caller has",
			before: first,
			after:  "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n",
			got:    "id: 3\ndata: c\n\nid: 4\ndata: d\n\n",
		},
		{
			name:   "no event after a gap",
			before: first,
			after:  "id: 4\ndata: d\n\n",
			faulty: true,
		},
		{
			name:   "an event without an id",
			before: first,
			after:  "data: end\n\n",
			got:    "data: end\n\n",
		},
		{
			name:  "nothing delivered yet",
			after: "id: 7\ndata: g\n\n",
			got:   "id: 7\ndata: g\n\n",
		},
		{
			name:   "any event if ids are not consecutive numbers",
			before: "id: x\ndata: a\n\n",
			after:  "id: z\ndata: c\n\n",
			got:    "id: z\ndata: c\n\n",
		},
	}
	Convey("A stream that continues elsewhere delivers", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				var o eventSequence
				o.record([]byte(c.before))
				got, err := o.takeUndelivered([]byte(c.after))
				So(err != nil, ShouldEqual, c.faulty)
				So(string(got), ShouldEqual, c.got)
			})
		}
	})
}
