package mgrelay_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgrelay"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// Guards against overload of a cold upstream of a service without a model (kind
// "plain"). If it is the only upstream, each entry would send it all its requests,
// since no placements are assigned at it.
func TestColdUpstreamOverloadedWithoutPlacement(t *testing.T) {
	Convey("Without placements a cold upstream receives almost no requests", t, func() {
		g := newHarness(t, answerWith("x"), answerWith("x"))
		table, err := mgtable.Parse([]byte(strings.Replace(tableText, `kind = "plain"`, "kind = \"plain\"\ncold = 1000\nramp = 4", 1)))
		So(err, ShouldBeNil)
		g.table = table
		g.startRelay(func(spec *mgrelay.Spec) {
			spec.Name = "entry-1"
			spec.Processes = func() int { return 1 }
		})
		Convey("while another one is warm", func() {
			g.hosts[0].Cold = true
			for range 20 {
				got := g.send(context.Background(), http.MethodPost, "/once/1", "x", nil)
				So(got.status, ShouldEqual, http.StatusOK)
			}
			atCold := 0
			for _, request := range g.requests() {
				if request.header.Get("Upstream") == "a" {
					atCold++
				}
			}
			So(atCold, ShouldBeLessThanOrEqualTo, 1)
		})
		Convey("also if there is no other upstream, and callers get Retry-After", func() {
			g.hosts[0].Cold = true
			g.hosts[1].Cold = true
			refused := 0
			for range 20 {
				got := g.send(context.Background(), http.MethodPost, "/once/1", "x", nil)
				if got.status == http.StatusServiceUnavailable {
					refused++
					So(got.header.Get("Retry-After"), ShouldEqual, "1")
				}
			}
			So(refused, ShouldBeGreaterThanOrEqualTo, 18)
		})
	})
}
