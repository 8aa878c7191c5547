package mgsettings_test

import (
	"flag"
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgsettings"
)

var update = flag.Bool("update", false, "rewrite the settings' tables in docs/OPERATIONS.md")

// operationsPage has tables of settings that are generated from the types.
const operationsPage = "../../../docs/OPERATIONS.md"

// The reference shows a default that the program no longer has, because a
// settings type changed and the page did not.
func TestReferenceOutdated(t *testing.T) {
	Convey("docs/OPERATIONS.md has the settings as they are", t, func() {
		data, err := os.ReadFile(operationsPage)
		So(err, ShouldBeNil)
		text := string(data)
		for name, settings := range map[string]any{
			"entry": mgsettings.Entry{},
			"agent": mgsettings.Agent{},
		} {
			want := mgsettings.Reference(settings)
			from, to := "<!-- settings "+name+" -->\n", "<!-- end "+name+" -->"
			head, rest, found := strings.Cut(text, from)
			So(found, ShouldBeTrue)
			have, tail, found := strings.Cut(rest, to)
			So(found, ShouldBeTrue)
			if *update {
				text = head + from + want + to + tail
				continue
			}
			So(have, ShouldEqual, want)
		}
		if *update {
			So(os.WriteFile(operationsPage, []byte(text), 0o644), ShouldBeNil)
		}
	})
}
