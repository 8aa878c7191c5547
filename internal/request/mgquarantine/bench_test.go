package mgquarantine_test

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgquarantine"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// BenchmarkRecordCrash measures recording one more crash of a request, for several numbers
// of crashes recorded before, each seen by eight processes.
func BenchmarkRecordCrash(b *testing.B) {
	for _, count := range []int{1, 8, 32, 128} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			q := mgquarantine.New("life", nil)
			for i := range count {
				at := mgclock.Millis(1000 * (i + 1))
				for origin := range 8 {
					other := mgquarantine.New(fmt.Sprint("origin-", origin, "-", i), nil)
					record(other, []observation{{
						at:       at,
						request:  "bad",
						upstream: fmt.Sprint("engine-", i),
						sent:     at - 500,
					}})
					q.Merge(at, other.MissingRecords(at, nil))
				}
			}
			now := mgclock.Millis(1000 * (count + 1))
			b.ResetTimer()
			for range b.N {
				now += 10
				q.RecordCrash(now, mgquarantine.Crash{
					Digest:   digestOf("bad"),
					Upstream: "engine",
					Begun:    true,
					Sent:     now - 500,
				})
			}
		})
	}
}

// BenchmarkParts measures what each request with parts costs while nothing is suspected, and while
// as many records are kept as may be.
func BenchmarkParts(b *testing.B) {
	parts := partsNamed("shared", "document", "session", "history")
	digest := digestOf("request")
	for _, count := range []int{0, 1000} {
		q := mgquarantine.New("life", nil)
		for i := range count {
			partCrash(q, mgclock.Millis(i), fmt.Sprint(i), fmt.Sprint("part-", i%40), fmt.Sprint("another-", i))
		}
		b.Run(fmt.Sprintf("records=%d", count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				q.Admit(1000, digest, parts...)
				q.RecordAnswer(1000, digest, parts...)
			}
		})
	}
	b.Run("digests", func(b *testing.B) {
		for b.Loop() {
			partsNamed("shared", "document", "session", "history")
		}
	})
}

// BenchmarkRecordMemory measures the memory of records with four parts, and of answered parts.
func BenchmarkRecordMemory(b *testing.B) {
	const count = 1000
	for range b.N {
		before := heapBytes()
		q := mgquarantine.New("life", nil)
		for i := range count {
			partCrash(q, mgclock.Millis(i), fmt.Sprint(i), "shared", fmt.Sprint("a-", i), fmt.Sprint("b-", i), fmt.Sprint("c-", i))
		}
		records := heapBytes()
		for i := range count {
			q.RecordPartAnswers(0, mgquarantine.PartDigestOf("service", "model", fmt.Sprint("answered-", i)))
		}
		b.ReportMetric(float64(records-before)/count, "B/record")
		b.ReportMetric(float64(heapBytes()-records)/count, "B/answered")
		runtime.KeepAlive(q)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
