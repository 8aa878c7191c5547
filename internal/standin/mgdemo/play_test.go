package mgdemo

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Guards against a caller that gives a report up because the entry it asked ended before it answered.
func TestUnansweredGenerationGivenUp(t *testing.T) {
	Convey("A generation whose entry ends before it answers", t, func() {
		d, err := Start(context.Background(), Spec{})
		So(err, ShouldBeNil)
		defer d.Close()
		var ended *httptest.Server
		ended = httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			_ = ended.Listener.Close()
			panic(http.ErrAbortHandler)
		}))
		defer ended.Close()
		d.entries = append([]string{ended.URL}, d.entries...)
		p := &playRun{
			deployment: d,
			clock:      mgclock.Clock{},
		}
		report := requestKinds[0]
		t := newResults(report.name)
		p.generate(context.Background(), report, 0, t)
		Convey("is requested again, from another entry", func() {
			So(t.problems, ShouldBeEmpty)
			So(t.done.Load(), ShouldEqual, 1)
			So(t.retried.Load(), ShouldEqual, 1)
		})
	})
}
