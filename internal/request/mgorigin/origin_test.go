package mgorigin_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgorigin"
)

// Guards against joining what two software versions, or two services, have produced.
func TestOtherVersionIsAccepted(t *testing.T) {
	cases := []struct {
		name    string
		origin  mgorigin.Origin
		service string
		version string
		accepts bool
	}{
		{
			name:    "a stream without events may begin anywhere",
			service: "report",
			version: "v1",
			accepts: true,
		},
		{
			name:    "a stream without events may begin at an unknown version",
			service: "report",
			accepts: true,
		},
		{
			name:    "the same version",
			origin:  mgorigin.Origin{Service: "report", Version: "v1"},
			service: "report",
			version: "v1",
			accepts: true,
		},
		{
			name:    "another version",
			origin:  mgorigin.Origin{Service: "report", Version: "v1"},
			service: "report",
			version: "v1.1",
		},
		{
			name:    "the same version of another service",
			origin:  mgorigin.Origin{Service: "report", Version: "v1"},
			service: "note",
			version: "v1",
		},
		{
			name:    "an unknown version of the upstream",
			origin:  mgorigin.Origin{Service: "report", Version: "v1"},
			service: "report",
		},
		{
			name:    "an unknown version of the stream",
			origin:  mgorigin.Origin{Service: "report"},
			service: "report",
			version: "v1",
		},
		{
			name:    "two unknown versions",
			origin:  mgorigin.Origin{Service: "report"},
			service: "report",
		},
	}
	Convey("Where a stream may continue", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				So(c.origin.Accepts(c.service, c.version), ShouldEqual, c.accepts)
			})
		}
	})
}
