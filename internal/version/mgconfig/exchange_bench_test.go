package mgconfig

import (
	"fmt"
	"sort"
	"testing"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// BenchmarkSpread reports, for fleets of several sizes over seven zones: the time until
// an edit is in force (over all members and 20 edits), the traffic of an idle member,
// the additional traffic of an edit, and the reads of the platform, idle and at the
// peak of a mass restart.
func BenchmarkSpread(b *testing.B) {
	for _, count := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("members=%d", count), func(b *testing.B) {
			for b.Loop() {
				measureSpread(b, count)
			}
		})
	}
}

const edits = 20

func measureSpread(b *testing.B, count int) {
	f := newFleet(uint64(count), count, 4*sec)
	f.publish(1, 0)
	f.startAll()
	f.net.Run(60 * sec)
	b.ReportMetric(float64(f.platform.peak(0)), "restart-reads/s")

	messages, bytes := f.traffic()
	reads := f.readsSince(60 * sec)
	f.net.Run(160 * sec)
	idleMessages, idleBytes := f.traffic()
	b.ReportMetric(float64(idleMessages-messages)/100/float64(count), "idle-msg/s")
	b.ReportMetric(float64(idleBytes-bytes)/100/float64(count), "idle-B/s")
	b.ReportMetric(float64(f.readsSince(60*sec)-reads)/100, "idle-reads/s")

	var delays []mgclock.Millis
	for edit := range edits {
		delays = append(delays, f.edit(uint64(edit+2))...)
	}
	sort.Slice(delays, func(i, j int) bool { return delays[i] < delays[j] })
	editMessages, editBytes := f.traffic()
	seconds := float64(f.net.Now()-160*sec) / 1000
	extra := float64(editMessages-idleMessages) - float64(idleMessages-messages)*seconds/100
	extraBytes := float64(editBytes-idleBytes) - float64(idleBytes-bytes)*seconds/100
	b.ReportMetric(extra/float64(count)/edits, "edit-msg")
	b.ReportMetric(extraBytes/float64(count)/edits, "edit-B")
	b.ReportMetric(float64(delays[len(delays)/2]), "p50-ms")
	b.ReportMetric(float64(delays[len(delays)*99/100]), "p99-ms")
	b.ReportMetric(float64(delays[len(delays)-1]), "max-ms")
}

// edit publishes a version and returns the delay until it is in force at each member.
func (f *fleet) edit(version uint64) []mgclock.Millis {
	begin := f.net.Now()
	f.publish(version, int(version))
	f.net.Run(begin + 15*sec)
	var delays []mgclock.Millis
	for _, n := range f.nodes {
		at, ok := n.inForceAt[version]
		if !ok {
			at = f.net.Now()
		}
		delays = append(delays, at-begin)
	}
	return delays
}

// traffic returns the messages and bytes that all members sent and received.
func (f *fleet) traffic() (messages, bytes int) {
	for _, n := range f.nodes {
		m, b := f.net.Traffic(n.name)
		messages += m
		bytes += b
	}
	return messages, bytes
}

// readsSince returns the reads of the platform since a time.
func (f *fleet) readsSince(from mgclock.Millis) int {
	total := 0
	for second, count := range f.platform.reads {
		if second >= from/sec {
			total += count
		}
	}
	return total
}
