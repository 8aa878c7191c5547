package mgshare

import (
	"fmt"
	"testing"
)

// BenchmarkLeases reports an entry's traffic for leases, in regions of several sizes
// with busy accounts: each entry has callers of some of 1,000 accounts, and requests
// little of their caps.
func BenchmarkLeases(b *testing.B) {
	for _, size := range []struct{ entries, accounts int }{{8, 50}, {32, 50}, {128, 25}, {128, 50}, {128, 100}} {
		b.Run(fmt.Sprintf("entries=%d,accounts=%d", size.entries, size.accounts), func(b *testing.B) {
			for b.Loop() {
				measureLeases(b, size.entries, size.accounts)
			}
		})
	}
}

func measureLeases(b *testing.B, count, accounts int) {
	r := newRegion(uint64(count), count)
	r.caps.Streams = 1000
	r.caps.Rate = 1e6
	for i, e := range r.entries {
		e.tokensPerStep = 5
		e.accounts = nil
		for j := range accounts {
			e.accounts = append(e.accounts, fmt.Sprint("account-", (i*37+j*19)%1000))
		}
	}
	r.net.Run(20 * sec)
	messages, bytes, maxBefore := r.traffic()
	r.net.Run(60 * sec)
	after, afterBytes, maxAfter := r.traffic()
	per := 40 * float64(count)
	b.ReportMetric(float64(after-messages)/per, "msg/s")
	b.ReportMetric(float64(afterBytes-bytes)/per, "B/s")
	b.ReportMetric(float64(maxAfter-maxBefore)/40, "busiest-B/s")
}

// traffic returns the messages and bytes of all entries, and the maximum bytes of one.
func (r *region) traffic() (messages, bytes, maxBytes int) {
	for _, e := range r.entries {
		m, n := r.net.Traffic(e.name)
		messages += m
		bytes += n
		maxBytes = max(maxBytes, n)
	}
	return messages, bytes, maxBytes
}
