package mglog_test

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
)

// stalledWriter is a log reader that blocks until it is released.
type stalledWriter struct {
	released chan struct{}
	got      bytes.Buffer
}

func (b *stalledWriter) Write(line []byte) (int, error) {
	<-b.released
	return b.got.Write(line)
}

// The log collector stalls. Every request that logs a line waits for it, and
// callers see answers stall for a reason outside the system.
func TestStalledLogBlocksRequests(t *testing.T) {
	Convey("A stalled log reader delays no request", t, func() {
		reader := &stalledWriter{released: make(chan struct{})}
		queue := mglog.NewQueue(reader)
		log := mglog.New(queue, "info")
		for n := range 5000 {
			log.Info("a request failed", "n", n)
		}
		dropped := queue.Dropped()
		So(dropped, ShouldBeGreaterThan, 3000)
		Convey("and the dropped lines are reported", func() {
			close(reader.released)
			So(queue.Close(), ShouldBeNil)
			text := reader.got.String()
			So(text, ShouldContainSubstring, `"msg":"log lines were dropped"`)
			So(strings.Count(text, "a request failed")+int(dropped), ShouldEqual, 5000)
		})
	})
}
