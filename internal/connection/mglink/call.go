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
const maxReply = 64 << 20

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
		a := &aliveWriter{
			to:     w,
			header: make(http.Header),
		}
		ctx, cancel := context.WithCancel(r.Context())
		var beats sync.WaitGroup
		beats.Go(func() {
			for a.beat() && clock.Sleep(ctx, interval) {
			}
		})
		defer beats.Wait()
		defer cancel()
		next.ServeHTTP(a, r)
	})
}

// aliveWriter keeps the handler's header apart from the one that the heartbeats
// are written with, which another goroutine reads.
type aliveWriter struct {
	mu     sync.Mutex
	to     http.ResponseWriter
	header http.Header
	wrote  bool
}

func (a *aliveWriter) Header() http.Header { return a.header }

func (a *aliveWriter) WriteHeader(status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writeHeader(status)
}

func (a *aliveWriter) Write(b []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writeHeader(http.StatusOK)
	return a.to.Write(b)
}

func (a *aliveWriter) writeHeader(status int) {
	if a.wrote {
		return
	}
	a.wrote = true
	for key, values := range a.header {
		a.to.Header()[key] = values
	}
	a.to.WriteHeader(status)
}

// beat writes a heartbeat and reports whether more are wanted.
func (a *aliveWriter) beat() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.wrote {
		return false
	}
	a.to.WriteHeader(http.StatusProcessing)
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

func (g *Guard) silence() mgclock.Millis {
	if g.Interval <= 0 {
		return silentIntervals * DefaultInterval
	}
	return silentIntervals * g.Interval
}

// RoundTrip implements http.RoundTripper.
func (g *Guard) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := g.try(r, g.Pooled)
	if err == nil || r.Context().Err() != nil || !errors.Is(err, errSilent) {
		return response, err
	}
	client := http.Client{
		Transport: g.Pooled,
	}
	client.CloseIdleConnections()
	again, err := rewind(r)
	if err != nil {
		return nil, err
	}
	by := g.Again
	if by == nil {
		by = Fresh(g.silence()).Transport
	}
	return g.try(again, by)
}

// try makes a call and reads its reply while something is heard.
func (g *Guard) try(r *http.Request, by http.RoundTripper) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	var heard atomic.Int64
	hear := func() { heard.Store(int64(g.Clock.Now())) }
	hear()
	go g.watch(ctx, cancel, &heard)
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			hear()
			return nil
		},
	})
	response, err := by.RoundTrip(r.WithContext(traced))
	if err == nil {
		err = readAll(response, hear)
	}
	if err != nil && errors.Is(context.Cause(ctx), errSilent) {
		return nil, fmt.Errorf("%w: %w", errSilent, err)
	}
	return response, err
}

// watch ends a try once nothing was heard for a span of silence.
func (g *Guard) watch(ctx context.Context, cancel context.CancelCauseFunc, heard *atomic.Int64) {
	for {
		wait := mgclock.Millis(heard.Load()) + g.silence() - g.Clock.Now()
		if wait <= 0 {
			cancel(errSilent)
			return
		}
		if !g.Clock.Sleep(ctx, wait) {
			return
		}
	}
}

// readAll puts the whole reply in place of the response's body.
func readAll(response *http.Response, hear func()) error {
	defer func() { _ = response.Body.Close() }()
	var body bytes.Buffer
	chunk := make([]byte, 32<<10)
	for body.Len() <= maxReply {
		n, err := response.Body.Read(chunk)
		hear()
		body.Write(chunk[:n])
		if errors.Is(err, io.EOF) {
			response.Body = io.NopCloser(&body)
			return nil
		}
		if err != nil {
			return err
		}
	}
	return fmt.Errorf("link: reply beyond %d bytes: bound what the service answers", maxReply)
}

func rewind(r *http.Request) (*http.Request, error) {
	again := r.Clone(r.Context())
	if r.Body == nil || r.Body == http.NoBody {
		return again, nil
	}
	if r.GetBody == nil {
		return nil, fmt.Errorf("%w: its body can't be sent again", errSilent)
	}
	body, err := r.GetBody()
	if err != nil {
		return nil, err
	}
	again.Body = body
	return again, nil
}
