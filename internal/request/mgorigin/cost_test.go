package mgorigin

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// httpBytes is the size of the headers of a message and its reply on an open connection; see
// mgnode.TestOriginMessageBytes.
const httpBytes = 200

// maxControlBytes is what a process may send and receive for control, in bytes a second.
const maxControlBytes = 15_000

// Guards against replication that takes more of the network than control may.
func TestReplicationExceedsBandwidth(t *testing.T) {
	cases := []struct {
		processes int     // of a region
		rate      float64 // streams a second at each
		duration  time.Duration
	}{
		{
			processes: 5,
			rate:      3.4,
			duration:  5 * time.Second,
		},
		{
			processes: 22,
			rate:      2.1,
			duration:  5 * time.Second,
		},
		{
			processes: 120,
			rate:      10.8,
			duration:  30 * time.Second,
		},
	}
	const span = 20 * time.Second
	for _, c := range cases {
		Convey(fmt.Sprintf("%d processes with %v streams a second each", c.processes, c.rate), t, func() {
			var messages, payload, kept, own int
			runMesh(t, c.processes, func(m *mesh) {
				ctx, stop := context.WithCancel(context.Background())
				for _, name := range m.names {
					go relayStreams(ctx, m.of(name), name, c.rate, c.duration)
				}
				time.Sleep(c.duration)
				callsBefore, bytesBefore := m.traffic()
				time.Sleep(span)
				messages, payload = m.traffic()
				messages, payload = messages-callsBefore, payload-bytesBefore
				for _, name := range m.names {
					state := m.of(name).State()
					kept += state.Kept
					own += state.Own
				}
				stop()
				time.Sleep(20 * c.duration) // all streams end
			})
			perProcess := float64(c.processes) * span.Seconds()
			// Each message is sent by one process and received by another.
			bytes := 2 * float64(payload+messages*(httpBytes+replyBytes)) / perProcess
			t.Logf("%d processes, %v streams/s each: %.1f messages/s, %.0f B/s, %d records kept, %d of them own", c.processes, c.rate,
				float64(messages)/perProcess, bytes, kept/c.processes, own/c.processes)
			So(bytes, ShouldBeLessThan, maxControlBytes)
		})
	}
}

// replyBytes is the size of a reply, which has an incarnation.
var replyBytes = func() int {
	data, err := json.Marshal(Reply{
		Incarnation: "tfpra3-f9f6fa78",
	})
	if err != nil {
		return 0
	}
	return len(data)
}()

// promptTime is the time from the start of a request to its first event.
const promptTime = 200 * time.Millisecond

// relayStreams begins streams at a rate, each of which ends after a duration.
func relayStreams(ctx context.Context, p *Replicator, name string, rate float64, duration time.Duration) {
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		record := recordOf(fmt.Sprint(name, n), "v1.1")
		record.Upstream, record.Start = "i-7f3a91c2aa", 1_796_332_504_123
		p.Announce(record)
		go func() {
			time.Sleep(promptTime)
			p.Confirm(ctx, record.Key)
		}()
	}
}

// BenchmarkRecordMemory measures the memory of records.
func BenchmarkRecordMemory(b *testing.B) {
	for _, count := range []int{1_000, 30_000, maxRecords} {
		b.Run(fmt.Sprintf("records=%d", count), func(b *testing.B) {
			for range b.N {
				var s Records
				before := heapBytes()
				for i := range count {
					record := recordOf(fmt.Sprint(i), "v1.1")
					record.Upstream, record.Start = fmt.Sprint("i-", i%900), 1_796_332_504_123
					s.Put(0, record)
				}
				b.ReportMetric(float64(heapBytes()-before)/float64(count), "B/record")
				runtime.KeepAlive(&s)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkAnnounce measures what a stream costs the process that relays it, but for the calls.
func BenchmarkAnnounce(b *testing.B) {
	p := NewReplicator(ReplicatorSpec{})
	for i := range b.N {
		record := recordOf(fmt.Sprint(i), "v1")
		p.Announce(record)
		p.Confirm(context.Background(), record.Key)
	}
}
