package mglog

import (
	"bytes"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var droppedField = regexp.MustCompile(`"dropped":(\d+)`)

// Every request of a second fails, and the log lines fill the collector's disk.
func TestBurstUnlimited(t *testing.T) {
	Convey("A burst of lines is limited, and every dropped line is reported", t, func() {
		const lines = 10_000
		var got bytes.Buffer
		at := time.Unix(0, 0)
		queue := newQueue(&got, func() time.Time { return at })
		log := New(queue, "info")
		for n := range lines {
			log.Info("a request failed", "n", n)
		}
		at = at.Add(time.Second)
		for n := range lines {
			log.Info("a request failed", "n", n)
		}
		So(queue.Close(), ShouldBeNil)
		written := strings.Count(got.String(), "a request failed")
		So(written, ShouldBeLessThanOrEqualTo, maxLineBurst+maxLinesPerSecond)
		So(written, ShouldBeGreaterThan, 0)
		dropped := 0
		for _, match := range droppedField.FindAllStringSubmatch(got.String(), -1) {
			count, err := strconv.Atoi(match[1])
			So(err, ShouldBeNil)
			dropped += count
		}
		So(written+dropped, ShouldEqual, 2*lines)
	})
}
