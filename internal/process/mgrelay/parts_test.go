package mgrelay

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against parts of a prompt that are missed, against a request's own part that counts as
// shared, and against a caller whose header makes the list long.
func TestSharedPartsMisread(t *testing.T) {
	var many []string
	for i := range 50 {
		many = append(many, fmt.Sprintf("p%d:10", i))
	}
	cases := []struct {
		name   string
		header string
		parts  []string
	}{
		{
			name:   "three parts, of which the last is the request's own",
			header: "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
			parts:  []string{"5c1e07a2", "91bd3f06"},
		},
		{
			name:   "spaces, and parts without a size",
			header: " a , b:7 ,c",
			parts:  []string{"a", "b"},
		},
		{
			name:   "one part",
			header: "e4402b7d:250",
		},
		{
			name: "no parts",
		},
		{
			name:   "empty and long names",
			header: ":7,a:1," + strings.Repeat("x", 65) + ":1,b:1,own:1",
			parts:  []string{"a", "b"},
		},
		{
			name:   "fifty parts",
			header: strings.Join(many, ","),
			parts:  []string{"p0", "p1", "p2", "p3", "p4", "p5", "p6", "p7", "p8", "p9", "p10", "p11", "p12", "p13", "p14", "p15"},
		},
	}
	Convey("Of a header with", t, func() {
		names := DefaultHeaderNames()
		for _, c := range cases {
			Convey(c.name, func() {
				got := names.partsOf(http.Header{
					names.Parts: {c.header},
				})
				So(slices.Equal(got, c.parts), ShouldBeTrue)
			})
		}
	})
}
