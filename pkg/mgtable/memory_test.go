package mgtable

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"testing"
)

// BenchmarkFootprint adopts edits of a table of 35,000 accounts one after
// another and reports the peak memory in use by the runtime, at several values
// of GOGC.
func BenchmarkFootprint(b *testing.B) {
	for _, percent := range []int{100, 50, 25} {
		b.Run(fmt.Sprintf("gogc=%d", percent), func(b *testing.B) {
			debug.FreeOSMemory()
			defer debug.SetGCPercent(debug.SetGCPercent(percent))
			manifest, texts, _ := LargeTable(targetAccounts, 0).Pages(1 << 20)
			pages := make([]*Page, len(texts))
			for i, text := range texts {
				pages[i], _ = ReadPage(text)
			}
			edited := append([]byte(nil), texts[1]...)
			texts = nil
			debug.FreeOSMemory()
			var table *Table
			maxInUse := uint64(0)
			for b.Loop() {
				pages[1], _ = ReadPage(edited)
				table, _ = Join(manifest, pages)
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				maxInUse = max(maxInUse, m.HeapInuse+m.StackInuse+m.MSpanInuse+m.GCSys)
			}
			b.ReportMetric(float64(maxInUse)/(1<<20), "inuse-MB")
			runtime.KeepAlive(table)
		})
	}
}
