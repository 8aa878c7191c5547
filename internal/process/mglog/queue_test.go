package mglog_test

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
)

// stalledWriter is a reader of the log that stands still until it is let go.
type stalledWriter struct {
	released chan struct{}
	got      bytes.Buffer
}

func (b *stalledWriter) Write(line []byte) (int, error) {
	<-b.released
	return b.got.Write(line)
}

// The collector of the logs stands still. Every request that logs a line waits
// for it, and callers see answers come to a halt for a reason that is not the
// system's work.
func TestStalledLogBlocksRequests(t *testing.T) {
	Convey("A log that nobody reads holds up nobody", t, func() {
		reader := &stalledWriter{released: make(chan struct{})}
		queue := mglog.NewQueue(reader)
		log := mglog.New(queue, "info")
		for n := range 5000 {
			log.Info("a request failed", "n", n)
		}
		dropped := queue.Dropped()
		So(dropped, ShouldBeGreaterThan, 3000)
		Convey("and says what it lost", func() {
			close(reader.released)
			So(queue.Close(), ShouldBeNil)
			text := reader.got.String()
			So(text, ShouldContainSubstring, `"msg":"log lines were dropped"`)
			So(strings.Count(text, "a request failed")+int(dropped), ShouldEqual, 5000)
		})
	})
}
