package mgquarantine_test

import (
	"fmt"
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
