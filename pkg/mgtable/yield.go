package mgtable

import "time"

const (
	// yieldRows is the number of rows after which the work on a large table pauses. They take
	// about 0.2 ms of a core.
	yieldRows = 16
	// yieldPause is long enough for the runtime to run goroutines whose network events are ready; a
	// mere runtime.Gosched doesn't look for such events.
	yieldPause = 100 * time.Microsecond
)

// yieldAfter pauses after each yieldRows rows. A table of 1,600 routes takes some 20 ms of a core to read
// and to write, which is a fifth of a second on a VM with a tenth of a core; without pauses, no event of
// a stream is forwarded in that time.
func yieldAfter(row int) {
	if row%yieldRows == yieldRows-1 {
		time.Sleep(yieldPause)
	}
}
