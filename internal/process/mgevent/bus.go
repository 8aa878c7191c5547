package mgevent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"sync"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// topic is the only topic: several topics would not share one order.
	topic = "control"
	// maxQueued is the maximum number of queued events. Control events arrive
	// about once a second; this many mean that a handler hangs.
	maxQueued = 4096
	// maxTrace is the maximum length of the trace.
	maxTrace = 128
)

// ErrFull is returned by Publish for an event that was dropped.
var ErrFull = errors.New("mgevent: the queue of control events is full: a handler hangs, see the trace in the dump")

// A Bus queues events and runs their handlers. Create it with NewBus.
type Bus struct {
	clock mgclock.Clock

	mu       sync.Mutex
	handlers map[Kind][]func(Event)
	queue    []Event       // waiting, oldest first
	seq      uint64        // of the last queued event
	wake     chan struct{} // signals that the queue is not empty; capacity 1
	trace    []Trace
}

// NewBus returns a bus that takes the time from clock.
func NewBus(clock mgclock.Clock) *Bus {
	return &Bus{
		clock:    clock,
		handlers: make(map[Kind][]func(Event)),
		wake:     make(chan struct{}, 1),
	}
}

// Handle registers a handler for a kind of event. Handlers of a kind run in the
// order of their registration.
func (b *Bus) Handle(kind Kind, handle func(Event)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.handlers[kind] = append(b.handlers[kind], handle)
}

// Publish enqueues an event without waiting for its handlers. The only error is
// ErrFull.
func (b *Bus) Publish(kind Kind, subject, detail string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) >= maxQueued {
		return ErrFull
	}
	b.seq++
	b.queue = append(b.queue, Event{
		Seq:     b.seq,
		Kind:    kind,
		Subject: subject,
		Detail:  detail,
		At:      b.clock.Now(),
	})
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return nil
}

// Run handles events until ctx ends.
func (b *Bus) Run(ctx context.Context) error {
	channel := gochannel.NewGoChannel(gochannel.Config{
		BlockPublishUntilSubscriberAck: true,
	}, watermill.NopLogger{})
	messages, err := channel.Subscribe(ctx, topic)
	if err != nil {
		return fmt.Errorf("mgevent: can't subscribe to the control topic (a bug, please report it): %w", err)
	}
	var handling sync.WaitGroup
	handling.Add(1)
	go func() {
		defer handling.Done()
		for m := range messages {
			b.dispatch(m)
		}
	}()
	err = b.pump(ctx, channel)
	closed := channel.Close()
	handling.Wait()
	return errors.Join(err, closed)
}

// pump publishes the queued events one at a time.
func (b *Bus) pump(ctx context.Context, channel *gochannel.GoChannel) error {
	for {
		event, ok := b.dequeue()
		if !ok {
			select {
			case <-b.wake:
				continue
			case <-ctx.Done():
				return nil
			}
		}
		// Marshal can't fail: an event has only numbers and strings.
		payload, _ := json.Marshal(event)
		m := message.NewMessage(strconv.FormatUint(event.Seq, 10), payload)
		if err := channel.Publish(topic, m); err != nil {
			return fmt.Errorf("mgevent: can't publish to the control topic (a bug, please report it): %w", err)
		}
	}
}

// dequeue removes and returns the first queued event.
func (b *Bus) dequeue() (Event, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) == 0 {
		return Event{}, false
	}
	event := b.queue[0]
	b.queue = b.queue[1:]
	return event, true
}

// dispatch runs an event's handlers.
func (b *Bus) dispatch(m *message.Message) {
	defer m.Ack()
	var event Event
	if err := json.Unmarshal(m.Payload, &event); err != nil {
		return
	}
	b.mu.Lock()
	handlers := b.handlers[event.Kind]
	b.mu.Unlock()
	startedAt := b.clock.Now()
	for _, handle := range handlers {
		handle(event)
	}
	b.appendTrace(Trace{
		Event:  event,
		Waited: startedAt - event.At,
		Took:   b.clock.Now() - startedAt,
	})
}

func (b *Bus) appendTrace(t Trace) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.trace = append(b.trace, t)
	if len(b.trace) > maxTrace {
		b.trace = b.trace[1:]
	}
}

// Trace returns the last handled events, oldest first.
func (b *Bus) Trace() []Trace {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Trace(nil), b.trace...)
}
