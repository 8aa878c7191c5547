package mgentry

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// Guards against a deployment that is served otherwise than before though its configuration doesn't call for probes
// on behalf of all entries.
func TestProbesSharedUncalledFor(t *testing.T) {
	const text = `version = 1

[[account]]
name = "tankline"

[[model]]
name = "m"
context = 9000
max = 9000

[[service]]
name = "llm"
model = "m"

[[service]]
name = "books"
kind = "plain"

[[route]]
name = "r"
host = "tanks.example"
prefix = "/x/"
kind = "stream"
goal = 1500
services = ["llm"]
timeout = 5000
`
	cases := []struct {
		name          string
		before, after string // a replacement in the table
		shares        bool
	}{
		{
			name:   "a route of streams with a latency goal to engines with known memory",
			shares: true,
		},
		{
			name:   "no latency goal",
			before: "goal = 1500\n",
		},
		{
			name:   "no streams",
			before: `"stream"`,
			after:  `"safe"`,
		},
		{
			name:   "engines whose memory isn't known",
			before: `["llm"]`,
			after:  `["books"]`,
		},
	}
	Convey("Entries probe on behalf of all if the table has", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				table, err := mgtable.Parse([]byte(strings.Replace(text, c.before, c.after, 1)))
				So(err, ShouldBeNil)
				So(sharesProbes(table), ShouldEqual, c.shares)
			})
		}
	})
	Convey("Without a table none do", t, func() { So(sharesProbes(nil), ShouldBeFalse) })
}
