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

// maxReplyBytes limits the body of a call's reply.
const maxReplyBytes = 4 << 20

// WithHeartbeats returns a handler that sends an informational response (102) at once and
// at each interval until next writes its response, so that the client can detect
// a dead connection during a long call. It is for calls, not for streams.
func WithHeartbeats(next http.Handler, clock mgclock.Clock, interval mgclock.Millis) http.Handler {
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

// heartbeatWriter keeps the handler's header separate from that of the
// heartbeats, which another goroutine reads.
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

// writeHeartbeat writes a heartbeat unless the response has begun, and reports
// whether it did.
func (a *heartbeatWriter) writeHeartbeat() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.headerWritten {
		return false
	}
	a.inner.WriteHeader(http.StatusProcessing)
	return true
}

// A RetryTransport is a transport for calls over pooled connections that detects dead
// connections: when nothing is received within the silence timeout, not even a
// 102, it repeats the call on a new connection and closes the idle ones.
//
// The first call may have arrived as well. So all calls through a RetryTransport must be
// idempotent, by an id of their own or by nature.
type RetryTransport struct {
	// Pooled makes the first attempt. If it has a CloseIdleConnections method, as
	// *http.Transport has, its idle connections are closed after a silent call.
	Pooled http.RoundTripper
	// Second makes the second attempt, by default that of NewUnpooledClient.
	Second http.RoundTripper
	// Clock measures the silence.
	Clock mgclock.Clock
	// Interval is the heartbeat interval, by default DefaultInterval.
	Interval mgclock.Millis
}

func (g *RetryTransport) silenceTimeout() mgclock.Millis {
	if g.Interval <= 0 {
		return silentIntervals * DefaultInterval
	}
	return silentIntervals * g.Interval
}

// RoundTrip implements http.RoundTripper.
func (g *RetryTransport) RoundTrip(r *http.Request) (*http.Response, error) {
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
	transport := g.Second
	if transport == nil {
		transport = NewUnpooledClient(g.silenceTimeout()).Transport
	}
	return g.attempt(repeated, transport)
}

// attempt makes a call and reads its whole reply. It fails with errSilent when
// nothing is received within the silence timeout.
func (g *RetryTransport) attempt(r *http.Request, transport http.RoundTripper) (*http.Response, error) {
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

// cancelWhenSilent cancels an attempt when nothing was received within the
// silence timeout.
func (g *RetryTransport) cancelWhenSilent(ctx context.Context, cancel context.CancelCauseFunc, lastReceived *atomic.Int64) {
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

// readBody replaces the response's body by a buffer with the whole reply. It
// calls onRead after each read.
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
	return fmt.Errorf("link: reply exceeds %d bytes: limit the replies of the service", maxReplyBytes)
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
