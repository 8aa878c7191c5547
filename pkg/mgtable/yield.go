package mgtable

import "github.com/marjoramgauge/marjoramgauge/pkg/mgclock"

// yieldRows is the number of rows after which the work on a large table pauses. They take about 0.2 ms
// of a core.
const yieldRows = 16

// yieldAfter pauses after each yieldRows rows. A table of 1,600 routes takes some 20 ms of a core to read
// and to write, which is a fifth of a second on a VM with a tenth of a core; without pauses, no event of
// a stream is forwarded in that time.
func yieldAfter(row int) {
	if row%yieldRows == yieldRows-1 {
		mgclock.Yield()
	}
}
