package mglag

import (
	"context"
	"fmt"
	"os"
	"sync"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// minProbeInterval is the least time between two measurements.
	minProbeInterval = 10 * mgclock.Millis(1)
	// recentWindow is the time in which a measured wait counts as recent, up to twice that.
	recentWindow = mgclock.Second
	// averageWeight is the weight of the last event in the average.
	averageWeight = 0.125
	// maxEventsRead is the number of events that are handled at once.
	maxEventsRead = 64
)

// A Meter measures the wait of events in this process. Create it with New.
type Meter struct {
	clock   mgclock.Clock
	observe func(now, wait mgclock.Millis)
	reader  *os.File
	writer  *os.File

	mu       sync.Mutex
	sent     []event // those that aren't handled yet, the oldest first
	probedAt mgclock.Millis
	average  float64 // of the waits of the last events, in ms
	// longest is the longest wait in the window that began at windowStart, and previous that of the
	// window before it.
	longest, previous mgclock.Millis
	windowStart       mgclock.Millis
}

// event is a byte in the pipe.
type event struct {
	sentAt  mgclock.Millis
	handled chan struct{} // closed when the event is handled; may be nil
}

// New returns a meter that reports each wait to observe, which may be nil. It fails if the process
// has no descriptors left.
func New(clock mgclock.Clock, observe func(now, wait mgclock.Millis)) (*Meter, error) {
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, fmt.Errorf("mglag: no pipe: allow the process more descriptors: %w", err)
	}
	m := &Meter{
		clock:    clock,
		observe:  observe,
		reader:   reader,
		writer:   writer,
		probedAt: -minProbeInterval,
	}
	go m.receive()
	return m, nil
}

// Close ends the measurement. Calls of Flush return.
func (m *Meter) Close() error {
	err := m.writer.Close()
	if closeErr := m.reader.Close(); err == nil {
		err = closeErr
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handle(len(m.sent), m.clock.Now())
	return err
}

// Probe starts a measurement unless one is in progress or the last one has just begun. It returns how
// long the one in progress has taken.
func (m *Meter) Probe() (pending mgclock.Millis) {
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.sent) > 0 {
		return now - m.sent[0].sentAt
	}
	if now >= m.probedAt+minProbeInterval {
		m.probedAt = now
		m.send(event{
			sentAt: now,
		})
	}
	return 0
}

// Flush returns when the process has handled the events that were ready at the call, or ctx ends.
func (m *Meter) Flush(ctx context.Context) {
	e := event{
		sentAt:  m.clock.Now(),
		handled: make(chan struct{}),
	}
	m.mu.Lock()
	m.send(e)
	m.mu.Unlock()
	select {
	case <-e.handled:
	case <-ctx.Done():
	}
}

// send sends an event. The caller holds mu.
func (m *Meter) send(e event) {
	m.sent = append(m.sent, e)
	if _, err := m.writer.Write([]byte{0}); err != nil {
		m.handle(len(m.sent), e.sentAt) // the meter is closed
	}
}

// Average returns the average wait of the last events, or that of the oldest one that isn't handled yet if
// it is longer. It is 0 if none was measured in the last second or two.
func (m *Meter) Average() mgclock.Millis {
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	average := mgclock.Millis(m.average)
	if len(m.sent) > 0 {
		average = max(average, now-m.sent[0].sentAt)
	}
	return min(average, m.longestRecent(now))
}

// Recent returns the longest wait of the last second or two.
func (m *Meter) Recent() mgclock.Millis {
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	return m.longestRecent(now)
}

// longestRecent returns the longest wait of both windows and of the event in progress. The caller holds mu.
func (m *Meter) longestRecent(now mgclock.Millis) mgclock.Millis {
	longest := max(m.longest, m.previous)
	if len(m.sent) > 0 {
		longest = max(longest, now-m.sent[0].sentAt)
	}
	return longest
}

// State is the meter's section of the state dump, in ms.
type State struct {
	Average int64 `json:"average"` // wait of the last events
	Longest int64 `json:"longest"` // wait of the last second or two
}

// State returns the measured waits.
func (m *Meter) State() State {
	return State{
		Average: int64(m.Average()),
		Longest: int64(m.Recent()),
	}
}

// advance begins a new window if the current one has ended. The caller holds mu.
func (m *Meter) advance(now mgclock.Millis) {
	if now < m.windowStart+recentWindow {
		return
	}
	m.previous = m.longest
	if now >= m.windowStart+2*recentWindow {
		m.previous = 0
	}
	m.longest, m.windowStart = 0, now
}

// receive handles events until the meter is closed.
func (m *Meter) receive() {
	var events [maxEventsRead]byte
	for {
		n, err := m.reader.Read(events[:])
		if err != nil {
			return
		}
		now := m.clock.Now()
		m.mu.Lock()
		wait := m.handle(n, now)
		m.mu.Unlock()
		if m.observe != nil {
			m.observe(now, wait)
		}
	}
}

// handle removes the first n events, and returns the longest wait of them. The caller holds mu.
func (m *Meter) handle(n int, now mgclock.Millis) (wait mgclock.Millis) {
	n = min(n, len(m.sent))
	if n == 0 {
		return 0
	}
	wait = now - m.sent[0].sentAt
	for _, e := range m.sent[:n] {
		if e.handled != nil {
			close(e.handled)
		}
	}
	m.sent = m.sent[n:]
	m.advance(now)
	m.average += averageWeight * (float64(wait) - m.average)
	m.longest = max(m.longest, wait)
	return wait
}
