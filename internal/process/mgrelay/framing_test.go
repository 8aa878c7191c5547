package mgrelay_test

import (
	"context"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgmetric"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgrelay"
)

// Guards against answers without a length or chunks that the metrics don't show.
func TestCloseFramingNotCounted(t *testing.T) {
	header := "HTTP/1.1 200 OK\r\nRequest-Id: request-1\r\nSignature: s\r\n"
	cases := []struct {
		name   string
		path   string
		answer string
		count  int64
	}{
		{
			name:   "a stream without a length or chunks",
			path:   "/write/1",
			answer: header + "\r\nid: 1\n\n",
			count:  1,
		},
		{
			name:   "a plain answer without a length or chunks",
			path:   "/book/1",
			answer: header + "\r\nbooked",
			count:  1,
		},
		{
			name:   "a stream in chunks",
			path:   "/write/1",
			answer: header + "Transfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n0\r\n\r\n",
		},
		{
			name:   "a plain answer with a length",
			path:   "/book/1",
			answer: header + "Content-Length: 6\r\n\r\nbooked",
		},
	}
	Convey("Of the answers that end with their connection", t, func() {
		for _, c := range cases {
			Convey(c.name+" is counted as it is", func() {
				g := newHarness(t, rawBytes(c.answer))
				metrics := mgmetric.New()
				g.startRelay(func(spec *mgrelay.Spec) { spec.Metrics = metrics })
				g.send(context.Background(), http.MethodPost, c.path, "x", nil)
				So(metrics.Counter("relay.closed").Count(), ShouldEqual, c.count)
			})
		}
	})
}
