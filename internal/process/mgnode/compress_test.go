package mgnode

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against small messages that another release, which reads gzip, can't read.
func TestSmallMessageUnreadable(t *testing.T) {
	Convey("Messages of all sizes around the largest that is stored are gzip", t, func() {
		for size := range 2 * maxStoredSize {
			value := strings.Repeat("a", size)
			body, err := compressJSON(value)
			So(err, ShouldBeNil)
			reader, err := gzip.NewReader(bytes.NewReader(body))
			So(err, ShouldBeNil)
			text, err := io.ReadAll(reader) // checks length and checksum
			So(err, ShouldBeNil)
			var got string
			So(json.Unmarshal(text, &got), ShouldBeNil)
			So(got, ShouldEqual, value)
		}
	})
}

// Guards against a decompressor that isn't usable after a message that broke off.
func TestMessageUnreadableAfterBrokenOne(t *testing.T) {
	Convey("A message is read after ones that are none or broke off", t, func() {
		value := strings.Repeat("ab", maxStoredSize)
		body, err := compressJSON(value)
		So(err, ShouldBeNil)
		for _, broken := range [][]byte{nil, []byte("no gzip"), body[:len(body)/2]} {
			var got string
			So(decompressJSON(bytes.NewReader(broken), 1<<20, &got), ShouldNotBeNil)
			So(decompressJSON(bytes.NewReader(body), 1<<20, &got), ShouldBeNil)
			So(got, ShouldEqual, value)
		}
	})
}
