package mglink

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// DefaultInterval is the default heartbeat interval of both ends: at 30 bytes
	// per second and stream, the cost is small compared with that of the tokens.
	DefaultInterval mgclock.Millis = 500
	// silentIntervals is the silence timeout in heartbeat intervals: one heartbeat
	// may be late by an interval when its process is busy, and one more tolerates
	// a long pause of the garbage collector or the scheduler.
	silentIntervals = 3
)

// A WriterSpec configures the agent's end of a stream.
type WriterSpec struct {
	// Generation is the generation id in heartbeats.
	Generation string
	// Out receives the encoded frames.
	Out io.Writer
	// Flush sends the bytes that Out has buffered. It may be nil.
	Flush func() error
	// Extend sets the timeout of the next write. It may be nil.
	Extend func(mgclock.Millis) error
	// Clock measures the time since the last write.
	Clock mgclock.Clock
	// Interval is the heartbeat interval, by default DefaultInterval.
	Interval mgclock.Millis
}

// A Writer writes the frames of one stream, and heartbeats between them. It is
// not safe for concurrent use.
type Writer struct {
	spec      WriterSpec
	lastWrite mgclock.Millis
	timer     <-chan struct{}
}

// NewWriter returns a Writer.
func NewWriter(spec WriterSpec) *Writer {
	if spec.Interval <= 0 {
		spec.Interval = DefaultInterval
	}
	return &Writer{
		spec: spec,
	}
}

// NewResponseWriter returns a Writer that writes to an HTTP response.
func NewResponseWriter(w http.ResponseWriter, generation string, clock mgclock.Clock, interval mgclock.Millis) *Writer {
	control := http.NewResponseController(w)
	return NewWriter(WriterSpec{
		Generation: generation,
		Out:        w,
		Flush:      control.Flush,
		Extend: func(timeout mgclock.Millis) error {
			err := control.SetWriteDeadline(time.Now().Add(timeout.Duration()))
			if errors.Is(err, http.ErrNotSupported) {
				return nil // writes to an in-memory response don't block
			}
			return err
		},
		Clock:    clock,
		Interval: interval,
	})
}

// Write writes a frame and sends it.
func (w *Writer) Write(f *mgrpc.Frame) error {
	if w.spec.Extend != nil {
		// The reader may be gone without closing the connection; the write then
		// blocks once the buffers are full, and would block the agent's goroutine
		// forever.
		if err := w.spec.Extend(silentIntervals * w.spec.Interval); err != nil {
			return err
		}
	}
	if err := WriteFrame(w.spec.Out, f); err != nil {
		return err
	}
	w.lastWrite = w.spec.Clock.Now()
	if w.spec.Flush == nil {
		return nil
	}
	return w.spec.Flush()
}

// WriteHeartbeat writes a heartbeat.
func (w *Writer) WriteHeartbeat() error {
	return w.Write(&mgrpc.Frame{
		Generation: w.spec.Generation,
	})
}

// Copy writes the frames from a channel, with heartbeats between them, until the
// final frame, the end of the channel or the end of ctx. It begins with a
// heartbeat, so that the reader knows at once that the connection works.
func (w *Writer) Copy(ctx context.Context, frames <-chan *mgrpc.Frame) error {
	if err := w.WriteHeartbeat(); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f, ok := <-frames:
			if !ok {
				return nil
			}
			if err := w.Write(f); err != nil || IsFinal(f) {
				return err
			}
		case <-w.Idle():
			if err := w.WriteHeartbeatIfIdle(); err != nil {
				return err
			}
		}
	}
}

// Idle returns a channel that is closed when it is time to call WriteHeartbeatIfIdle. It uses one
// timer per interval for any number of frames.
func (w *Writer) Idle() <-chan struct{} {
	if w.timer == nil {
		idle := w.spec.Clock.Now() - w.lastWrite
		w.timer = w.spec.Clock.After(w.spec.Interval - idle)
	}
	return w.timer
}

// WriteHeartbeatIfIdle writes a heartbeat if nothing was written for an interval.
func (w *Writer) WriteHeartbeatIfIdle() error {
	w.timer = nil
	if w.spec.Clock.Now()-w.lastWrite < w.spec.Interval {
		return nil
	}
	return w.WriteHeartbeat()
}
