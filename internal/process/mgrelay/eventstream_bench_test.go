package mgrelay

import (
	"bytes"
	"fmt"
	"testing"
)

// BenchmarkEventReader measures splitting a stream into events, for several numbers of events.
func BenchmarkEventReader(b *testing.B) {
	for _, count := range []int{1, 100, 10_000} {
		b.Run(fmt.Sprintf("events=%d", count), func(b *testing.B) {
			var stream bytes.Buffer
			for n := range count {
				fmt.Fprintf(&stream, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\"token\"}}]}\n\n", n)
			}
			b.SetBytes(int64(stream.Len()))
			b.ReportAllocs()
			for b.Loop() {
				reader := eventReader{
					source: bytes.NewReader(stream.Bytes()),
				}
				var sequence eventSequence
				for {
					data, _, err := reader.next()
					if err != nil {
						break
					}
					sequence.record(data)
				}
			}
		})
	}
}
