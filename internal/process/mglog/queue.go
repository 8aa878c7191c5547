package mglog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// maxQueuedLines is how many lines wait for a slow reader of the log: about 400
// kB with 400 bytes a line, and half a second of a burst of 2,000 lines a
// second.
const maxQueuedLines = 1024

// maxLinesPerSecond and maxLineBurst limit the lines of a process per second.
// Days with many kinds of faults produce 15 at most. A burst of failures at the
// target of eleven requests per second and entry is limited to 80 kB a second.
const (
	maxLinesPerSecond = 200
	maxLineBurst      = 400
)

// A Queue forwards lines to a writer in the background. Otherwise a log reader
// that doesn't keep up would delay every request that logs. When the queue is
// full, lines are dropped and counted, and the count is logged once there is
// space again.
type Queue struct {
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
	done    chan struct{}
	now     func() time.Time
}

// NewQueue returns a queue that writes to to.
func NewQueue(to io.Writer) *Queue { return newQueue(to, time.Now) }

// newQueue is NewQueue with a clock for the rate limit.
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

// Write enqueues one line. It never blocks and never fails.
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

// Dropped returns the number of lines dropped since the last report in the log.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Close writes the queued lines and ends the queue. Write must not be called
// after it.
func (q *Queue) Close() error {
	close(q.lines)
	<-q.done
	return nil
}

func (q *Queue) writeLines(to io.Writer) {
	defer close(q.done)
	for line := range q.lines {
		// A failure to write the log can't be reported anywhere.
		_, _ = to.Write(line)
		q.reportDropped(to)
	}
	q.reportDropped(to)
}

// reportDropped logs how many lines were dropped since the last report.
func (q *Queue) reportDropped(to io.Writer) {
	if dropped := q.dropped.Swap(0); dropped > 0 {
		fmt.Fprintf(to, `{"level":"WARN","msg":"log lines were dropped","dropped":%d}`+"\n", dropped)
	}
}
