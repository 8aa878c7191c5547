package mgsoak

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a check of new connections at one entry that finds nothing, or too much.
func TestFunnelMissedOrFalselyReported(t *testing.T) {
	cases := []struct {
		name   string
		served int // of 20 first tries in the funnel
		entry  bool
		found  int
	}{
		{
			name:   "as many are served as at other times",
			served: 18,
		},
		{
			name:   "half are served",
			served: 10,
			found:  1,
		},
		{
			name:   "half are served and an entry was cut off",
			served: 10,
			entry:  true,
		},
	}
	Convey("While most new connections go to one entry", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				r := &run{}
				for i := range 40 {
					r.evidence.streams = append(r.evidence.streams, &readStream{
						requests: []streamRequest{{
							began:       5_000,
							ended:       6_000,
							funnelled:   i < 20,
							servedFirst: i < c.served || i >= 20,
						}},
					})
				}
				if c.entry {
					r.faultIntervals = []faultInterval{{
						fault: Fault{
							Kind:   CutLink,
							Target: "entry-1",
						},
						start: 4_000,
						end:   5_500,
					}}
				}
				So(len(r.checkFunnel()), ShouldEqual, c.found)
			})
		}
	})
}
