package mglink

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// maxReply bounds the body of a call's reply in bytes.
const maxReplyBytes = 64 << 20

// Alive returns a handler that answers 102 at once and at each interval until
// next has its response, so that the client knows that the connection works
// while a call takes its time. It is for calls, not for streams.
func Alive(next http.Handler, clock mgclock.Clock, interval mgclock.Millis) http.Handler {
	if interval <= 0 {
		interval = DefaultInterval
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !r.ProtoAtLeast(1, 1) {
			next.ServeHTTP(w, r)
			return
		}
		a := &heartbeatWriter{
			inner:  w,
			header: make(http.Header),
		}
		ctx, cancel := context.WithCancel(r.Context())
		var heartbeats sync.WaitGroup
		heartbeats.Go(func() {
			for a.writeHeartbeat() && clock.Sleep(ctx, interval) {
			}
		})
		defer heartbeats.Wait()
		defer cancel()
		next.ServeHTTP(a, r)
	})
}

// aliveWriter keeps the handler's header apart from the one that the heartbeats
// are written with, which another goroutine reads.
type heartbeatWriter struct {
	mu            sync.Mutex
	inner         http.ResponseWriter
	header        http.Header
	headerWritten bool
}

func (a *heartbeatWriter) Header() http.Header { return a.header }

func (a *heartbeatWriter) WriteHeader(status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writeHeader(status)
}

func (a *heartbeatWriter) Write(b []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writeHeader(http.StatusOK)
	return a.inner.Write(b)
}

func (a *heartbeatWriter) writeHeader(status int) {
	if a.headerWritten {
		return
	}
	a.headerWritten = true
	for key, values := range a.header {
		a.inner.Header()[key] = values
	}
	a.inner.WriteHeader(status)
}

// beat writes a heartbeat and reports whether more are wanted.
func (a *heartbeatWriter) writeHeartbeat() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.headerWritten {
		return false
	}
	a.inner.WriteHeader(http.StatusProcessing)
	return true
}

// A Guard makes calls over pooled connections without ever waiting out a dead
// one: a call on which nothing is heard for a span of silence, not even a 102,
// is made again on a new connection, and the idle ones are closed.
//
// Made again means that the first may have arrived too. So all calls that go
// through a Guard are idempotent by an id of theirs, or may be repeated.
type Guard struct {
	// Pooled makes the first try. If it is an *http.Transport, or closes idle
	// connections as one does, they are closed after a silent call.
	Pooled http.RoundTripper
	// Again makes the second, by default Fresh's.
	Again http.RoundTripper
	// Clock tells the time.
	Clock mgclock.Clock
	// Interval between heartbeats, by default DefaultInterval.
	Interval mgclock.Millis
}

func (g *Guard) silenceTimeout() mgclock.Millis {
	if g.Interval <= 0 {
		return silentIntervals * DefaultInterval
	}
	return silentIntervals * g.Interval
}

// RoundTrip implements http.RoundTripper.
func (g *Guard) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := g.attempt(r, g.Pooled)
	if err == nil || r.Context().Err() != nil || !errors.Is(err, errSilent) {
		return response, err
	}
	client := http.Client{
		Transport: g.Pooled,
	}
	client.CloseIdleConnections()
	repeated, err := cloneForRetry(r)
	if err != nil {
		return nil, err
	}
	transport := g.Again
	if transport == nil {
		transport = Fresh(g.silenceTimeout()).Transport
	}
	return g.attempt(repeated, transport)
}

// try makes a call and reads its reply while something is heard.
func (g *Guard) attempt(r *http.Request, transport http.RoundTripper) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	var lastReceived atomic.Int64
	markReceived := func() { lastReceived.Store(int64(g.Clock.Now())) }
	markReceived()
	go g.cancelWhenSilent(ctx, cancel, &lastReceived)
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			markReceived()
			return nil
		},
	})
	response, err := transport.RoundTrip(r.WithContext(traced))
	if err == nil {
		err = readBody(response, markReceived)
	}
	if err != nil && errors.Is(context.Cause(ctx), errSilent) {
		return nil, fmt.Errorf("%w: %w", errSilent, err)
	}
	return response, err
}

// watch ends a try once nothing was heard for a span of silence.
func (g *Guard) cancelWhenSilent(ctx context.Context, cancel context.CancelCauseFunc, lastReceived *atomic.Int64) {
	for {
		remaining := mgclock.Millis(lastReceived.Load()) + g.silenceTimeout() - g.Clock.Now()
		if remaining <= 0 {
			cancel(errSilent)
			return
		}
		if !g.Clock.Sleep(ctx, remaining) {
			return
		}
	}
}

// readAll puts the whole reply in place of the response's body.
func readBody(response *http.Response, onRead func()) error {
	defer func() { _ = response.Body.Close() }()
	var body bytes.Buffer
	chunk := make([]byte, 32<<10)
	for body.Len() <= maxReplyBytes {
		n, err := response.Body.Read(chunk)
		onRead()
		body.Write(chunk[:n])
		if errors.Is(err, io.EOF) {
			response.Body = io.NopCloser(&body)
			return nil
		}
		if err != nil {
			return err
		}
	}
	return fmt.Errorf("link: reply beyond %d bytes: bound what the service answers", maxReplyBytes)
}

func cloneForRetry(r *http.Request) (*http.Request, error) {
	clone := r.Clone(r.Context())
	if r.Body == nil || r.Body == http.NoBody {
		return clone, nil
	}
	if r.GetBody == nil {
		return nil, fmt.Errorf("%w: its body can't be sent again", errSilent)
	}
	body, err := r.GetBody()
	if err != nil {
		return nil, err
	}
	clone.Body = body
	return clone, nil
}
