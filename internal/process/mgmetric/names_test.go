package mgmetric_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgmetric"
)

// Guards against a service whose name ends the process, or hides all metrics, when they are read.
func TestNameBreaksMetrics(t *testing.T) {
	Convey("Metrics of a service are served in each format, whatever its name", t, func() {
		for _, service := range []string{"recon-llm", "tank book=90", "Füllstände 水位", "a\"b\\c\n# d\x7f", strings.Repeat("n", 300)} {
			set := mgmetric.New()
			set.Gauge("room.waiting." + service).Update(3)
			set.Gauge("room.free").Update(41)
			for _, target := range []string{"/metrics", "/metrics?format=text"} {
				w := httptest.NewRecorder()
				set.ServeHTTP(w, httptest.NewRequest("GET", target, nil))
				So(w.Code, ShouldEqual, 200)
				So(w.Body.String(), ShouldContainSubstring, "41")
				So(strings.Count(w.Body.String(), "\n# d"), ShouldEqual, 0)
			}
		}
	})
}
