package mglog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// queueLines is how many lines wait for a slow reader of the log: with 400
// bytes a line about 400 kB, and half a second of a burst of 2,000 lines a
// second.
const maxQueuedLines = 1024

// lineRate and lineBurst bound the lines of a process a second. Days with all
// kinds of trouble bring 15 at most; a burst of failures at the target's eleven
// requests a second and entry is bounded by these to 80 kB a second.
const (
	maxLinesPerSecond = 200
	maxLineBurst      = 400
)

// A Queue passes lines on to a writer in the background. A reader of the log
// that doesn't keep up would otherwise hold up every request that logs: once
// the queue is full, lines are dropped and counted, and the count is logged when
// there is room again.
type Queue struct {
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
	done    chan struct{}
	now     func() time.Time
}

// NewQueue returns a queue before a writer.
func NewQueue(to io.Writer) *Queue { return newQueue(to, time.Now) }

// newQueue returns a queue whose rate goes by a clock.
func newQueue(to io.Writer, now func() time.Time) *Queue {
	q := &Queue{
		now:     now,
		lines:   make(chan []byte, maxQueuedLines),
		limiter: rate.NewLimiter(maxLinesPerSecond, maxLineBurst),
		done:    make(chan struct{}),
	}
	go q.writeLines(to)
	return q
}

// Write takes one line. It never blocks and never fails.
func (q *Queue) Write(line []byte) (int, error) {
	if !q.limiter.AllowN(q.now(), 1) {
		q.dropped.Add(1)
		return len(line), nil
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since they were last told of.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Close writes what waits and ends the queue. Nothing may be written after it.
func (q *Queue) Close() error {
	close(q.lines)
	<-q.done
	return nil
}

func (q *Queue) writeLines(to io.Writer) {
	defer close(q.done)
	for line := range q.lines {
		// A log that can't be written has nobody to be told.
		_, _ = to.Write(line)
		q.reportDropped(to)
	}
	q.reportDropped(to)
}

// tell writes how many lines were dropped since it was last told.
func (q *Queue) reportDropped(to io.Writer) {
	if dropped := q.dropped.Swap(0); dropped > 0 {
		fmt.Fprintf(to, `{"level":"WARN","msg":"log lines were dropped","dropped":%d}`+"\n", dropped)
	}
}
