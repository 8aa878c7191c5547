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

// The spans that both ends go by unless the settings say otherwise.
const (
	// DefaultInterval between heartbeats: at 30 bytes a second a stream, the
	// cost is small against its tokens.
	DefaultInterval mgclock.Millis = 500
	// silentIntervals makes silence: one heartbeat may be late by an interval
	// when its process is busy, and one more keeps a long pause of the
	// collector or the scheduler from being taken for a lost connection.
	silentIntervals = 3
)

// A WriterSpec describes the agent's end of a stream.
type WriterSpec struct {
	// Generation is the one that heartbeats name.
	Generation string
	// Out takes the bytes.
	Out io.Writer
	// Flush sends what Out holds. It may be nil.
	Flush func() error
	// Extend allows the next write this span before it fails. It may be nil.
	Extend func(mgclock.Millis) error
	// Clock tells the time.
	Clock mgclock.Clock
	// Interval is the longest time between frames, by default DefaultInterval.
	Interval mgclock.Millis
}

// A Writer writes the frames of one stream, and heartbeats between them. It is
// used by one goroutine.
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

// Response returns a Writer on an HTTP response.
func Response(w http.ResponseWriter, generation string, clock mgclock.Clock, interval mgclock.Millis) *Writer {
	control := http.NewResponseController(w)
	return NewWriter(WriterSpec{
		Generation: generation,
		Out:        w,
		Flush:      control.Flush,
		Extend: func(timeout mgclock.Millis) error {
			err := control.SetWriteDeadline(time.Now().Add(timeout.Duration()))
			if errors.Is(err, http.ErrNotSupported) {
				return nil // a response in memory doesn't block
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
		// The reader's end may be gone without a word; the write then blocks once
		// the buffers are full, and would hold the agent's goroutine for good.
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

// Beat writes a heartbeat.
func (w *Writer) Beat() error {
	return w.Write(&mgrpc.Frame{
		Generation: w.spec.Generation,
	})
}

// Copy writes the frames that come, with heartbeats between them, until the
// final one, the channel's end, or the end of ctx. It begins with a heartbeat,
// so that the reader knows at once that the connection works.
func (w *Writer) Copy(ctx context.Context, frames <-chan *mgrpc.Frame) error {
	if err := w.Beat(); err != nil {
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
			if err := w.Write(f); err != nil || Final(f) {
				return err
			}
		case <-w.Idle():
			if err := w.Tend(); err != nil {
				return err
			}
		}
	}
}

// Idle returns a channel that is closed when it is time to call Tend. One timer
// an interval serves any number of frames.
func (w *Writer) Idle() <-chan struct{} {
	if w.timer == nil {
		idle := w.spec.Clock.Now() - w.lastWrite
		w.timer = w.spec.Clock.After(w.spec.Interval - idle)
	}
	return w.timer
}

// Tend beats if nothing was written for an interval.
func (w *Writer) Tend() error {
	w.timer = nil
	if w.spec.Clock.Now()-w.lastWrite < w.spec.Interval {
		return nil
	}
	return w.Beat()
}
