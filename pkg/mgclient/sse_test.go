package mgclient

import (
	"fmt"
	"strings"
	"testing"
)

// FuzzEvents reads arbitrary streams. The reader must end on any input, and must
// return a complete event unchanged.
func FuzzEvents(f *testing.F) {
	f.Add("id: a.1\ndata: {}\n\n", "a.1", "{}")
	f.Add(": hb\n\nevent: error\ndata: x\ndata: y\n\n", "", "x")
	f.Add("data\n:\n\nid:\n\ndata: [DONE]", "a.18446744073709551616", "")
	f.Fuzz(func(t *testing.T, stream, id, data string) {
		_, _, _ = parseEventID(id)
		written := event{
			id:   strings.Join(strings.Fields(id), ""),
			data: strings.Join(strings.Fields(data), ""),
		}
		quit := make(chan struct{})
		defer close(quit)
		text := stream + fmt.Sprintf("\n\nid: %s\ndata: %s\n\n", written.id, written.data)
		var last event
		for e := range readEventStream(strings.NewReader(text), quit) {
			last = e
		}
		if written.data != "" && last != written {
			t.Errorf("wrote %+v, read %+v", written, last)
		}
	})
}
