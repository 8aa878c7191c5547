package mgquarantine

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Guards against generations that never continue from a copy in the first half minute of a
// process, and against one that ends a third engine.
func TestGenerationContinuesAfterCrash(t *testing.T) {
	Convey("For a cautious process, a generation under which an upstream crashed once", t, func() {
		q := New("life", nil)
		q.Begin(1000, mgclock.Minute)
		digest := DigestOf("account", "host", "/write/1", []byte("x"))
		crash := func(at mgclock.Millis, upstream string) {
			q.RecordCrash(at, Crash{
				Digest:   digest,
				Upstream: upstream,
				Begun:    true,
				Sent:     at - 1000,
				Ran:      900,
			})
		}
		So(q.Continuable(900, digest), ShouldBeTrue)
		crash(5000, "a")
		So(q.Retryable(digest), ShouldBeFalse)
		Convey("may continue if it had run for a while", func() {
			So(q.Continuable(900, digest), ShouldBeTrue)
		})
		Convey("may not if it had just begun", func() {
			So(q.Continuable(StartWindow-1, digest), ShouldBeFalse)
		})
		Convey("may not once a second one has crashed", func() {
			crash(15_000, "b")
			So(q.Continuable(900, digest), ShouldBeFalse)
		})
	})
}
