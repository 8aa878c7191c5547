package mgprobe

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a number of probes that grows with the number of entries, and against entries that learn of a
// notice too late to move generations.
func TestProbesGrowWithEntries(t *testing.T) {
	// runCount is the number of outages of which the times until notices are known are taken together: each has
	// some 20 notices, of whose times the median differs by 40 ms from one outage to the next.
	const runCount = 4
	for _, count := range []int{22, 100, 300} {
		Convey(fmt.Sprintf("%d entries probe 40 engines during an outage", count), t, func() {
			var delays, lastKnown []time.Duration
			for range runCount {
				m := newMesh(meshSpec{
					count:        count,
					engineCount:  40,
					shared:       count > 40,
					noticePeriod: 500 * time.Millisecond,
				})
				m.run(t, func() {})
				t.Logf("%d entries: %d calls, %d of them for destinations (%d destinations known by answers), %d takeovers, "+
					"longest time without a probe %v", count, m.calls, m.checks, m.used, m.takeovers, m.maxGap)
				So(m.calls, ShouldBeLessThanOrEqualTo, 1500)
				So(m.maxGap, ShouldBeLessThanOrEqualTo, time.Second)
				delays = append(delays, m.delays...)
				lastKnown = append(lastKnown, m.lastKnown...)
			}
			t.Logf("%d entries: notices known after %v in the median, 90 %% %v, by the last entry %v in the median of %d",
				count, quantile(delays, 0.5), quantile(delays, 0.9), quantile(lastKnown, 0.5), len(lastKnown))
			So(quantile(delays, 0.5), ShouldBeLessThanOrEqualTo, 300*time.Millisecond)
		})
	}
}

// Guards against an engine whose departure nobody notices since the entry that was to probe it can't.
func TestEngineUnprobedAfterLossOfEntry(t *testing.T) {
	isFifth := func(i int) bool { return i%5 == 0 }
	// Where a fifth is late, all three entries of a slot may be, and 1,005 ms were seen with 100 entries.
	isTenth := func(i int) bool { return i%10 == 0 }
	cases := []struct {
		name string
		spec meshSpec
		kill bool
	}{
		{
			name: "that dies, one after another",
			kill: true,
		},
		{
			name: "that is cut off alone",
			spec: meshSpec{side: func(i int) int { return min(i, 1) }},
		},
		{
			name: "that is cut off with a third of the entries",
			spec: meshSpec{side: func(i int) int { return min(i%3, 1) }},
		},
		{
			name: "that is cut off with half of the entries",
			spec: meshSpec{side: func(i int) int { return i % 2 }},
		},
		{
			name: "that is late, as a tenth of the entries",
			spec: meshSpec{late: isTenth},
		},
		{
			name: "of the previous release, as a fifth of the entries",
			spec: meshSpec{old: isFifth},
		},
		{
			name: "whose list isn't stale, as nine of ten entries",
			spec: meshSpec{confirmed: func(i int) bool { return !isTenth(i) }},
		},
		{
			name: "that reaches no engine, as a fifth of the entries",
			spec: meshSpec{reachesNone: isFifth},
		},
	}
	for _, count := range []int{22, 100} {
		for _, c := range cases {
			Convey(fmt.Sprintf("%d entries, engines assigned to an entry %s", count, c.name), t, func() {
				spec := c.spec
				spec.count = count
				spec.engineCount = 40
				spec.shared = count > 40
				m := newMesh(spec)
				m.run(t, func() {
					for i := 0; c.kill && i < 5; i++ {
						time.Sleep(time.Second)
						m.kill(i)
					}
				})
				t.Logf("%d entries, %s: longest time without a probe %v, until the first one %v, %d calls, %d takeovers",
					count, c.name, m.maxGap, m.maxStart, m.calls, m.takeovers)
				So(m.maxGap, ShouldBeLessThanOrEqualTo, time.Second)
				So(m.maxStart, ShouldBeLessThanOrEqualTo, time.Second)
			})
		}
	}
}

// Guards against messages that take the links of small VMs.
func TestAnswersSaturateLinks(t *testing.T) {
	cases := []struct {
		name string
		spec meshSpec
	}{
		{
			name: "of a cell of 300 entries and 3,000 engines",
			spec: meshSpec{
				count:       38,
				engineCount: 375,
			},
		},
		{
			name: "of a small deployment, each of which knows the answers of most engines",
			spec: meshSpec{
				count:       22,
				engineCount: 40,
			},
		},
	}
	Convey("The entries exchange answers", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				c.spec.countsBytes = true
				m := newMesh(c.spec)
				m.run(t, func() {})
				perEntry := float64(m.bytes) / float64(c.spec.count) / outage.Seconds()
				t.Logf("%s: %d messages, %.0f bytes a second sent by an entry, as many received, %d calls", c.name, m.messages, perEntry, m.calls)
				So(2*perEntry, ShouldBeLessThanOrEqualTo, 15_000)
			})
		}
	})
}
