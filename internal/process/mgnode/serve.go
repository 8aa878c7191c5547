package mgnode

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/go-logr/logr"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglistener"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// minLinger is the minimum time for which a listener that accepts no more connections
	// waits for its last responses.
	minLinger = 250 * mgclock.Millis(1)
	// maxLinger is the maximum time for which the callers' listener waits for its last
	// responses, also on connections that have sent no request yet.
	maxLinger = 2 * mgclock.Second
	// handshakeTimeout is how long a listener that closes waits for handshakes in progress.
	handshakeTimeout = 50 * mgclock.Millis(1)
	// idlePollInterval is the interval at which a closing listener checks for idle connections.
	idlePollInterval = 5 * mgclock.Millis(1)
)

// ServerSpec describes one listener of a process.
type ServerSpec struct {
	Name     string
	Listener *mglistener.Listener
	Handler  http.Handler
	// Linger returns how long the listener waits for its last responses. Nil stands for
	// minLinger.
	Linger func() mgclock.Millis
	// MaxHeaderBytes limits the size of a request's header, HeaderTimeout the time in
	// which it must arrive.
	MaxHeaderBytes int
	HeaderTimeout  mgclock.Millis
	// MaxConns limits the open connections; 0 stands for no limit. OnRefused is called with the number
	// of those that are closed unread.
	MaxConns  int
	OnRefused func(count int)
	// Admits reports whether the process bears one more connection; else it is closed unread. Nil
	// stands for always.
	Admits func() bool
	// IsOverloaded reports whether connections end after their next response, or once they have been idle
	// for a while, so that their callers open others. Nil stands for never.
	IsOverloaded func() bool
}

const (
	// defaultMaxHeaderBytes is enough for the headers of calls between processes.
	defaultMaxHeaderBytes = 32 << 10
	// defaultHeaderTimeout is ample for the headers of calls between processes.
	defaultHeaderTimeout = 10 * mgclock.Second
	// idleTimeout closes idle connections of callers; balancers open new ones.
	idleTimeout = 2 * mgclock.Minute
)

// Serve serves a listener until ctx ends. Then it responds to the requests that have reached
// it, including those on connections not accepted yet, and closes. When killed is canceled,
// it breaks every connection at once, as a crash of the process would.
func Serve(ctx, killed context.Context, log logr.Logger, spec ServerSpec) {
	if spec.MaxHeaderBytes == 0 {
		spec.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if spec.HeaderTimeout == 0 {
		spec.HeaderTimeout = defaultHeaderTimeout
	}
	log = log.WithValues("name", spec.Name)
	var conns connTracker
	shedder := &idleShedder{
		conns: &conns,
		log:   log,
	}
	server := &http.Server{
		Handler:           conns.wrap(endConnections(spec.Handler, shedder.wrap(spec.IsOverloaded))),
		ConnState:         conns.stateChanged,
		ConnContext:       conns.connContext,
		MaxHeaderBytes:    spec.MaxHeaderBytes,
		ReadHeaderTimeout: spec.HeaderTimeout.Duration(),
		IdleTimeout:       idleTimeout.Duration(),
		BaseContext:       func(net.Listener) context.Context { return context.WithoutCancel(ctx) },
	}
	defer context.AfterFunc(killed, func() { _ = server.Close() })()
	listenerFinished := make(chan struct{})
	cancelShutdown := context.AfterFunc(ctx, func() {
		defer close(listenerFinished)
		conns.beginClose()
		if err := spec.Listener.Shutdown(handshakeTimeout); err != nil {
			log.Error(err, "a listener may reset connections as it closes")
		}
	})
	log.Info("listening", "address", spec.Listener.Addr().String())
	err := server.Serve(&limitedListener{
		Listener:  spec.Listener,
		conns:     &conns,
		limit:     spec.MaxConns,
		admits:    spec.Admits,
		log:       log,
		onRefused: spec.OnRefused,
	})
	// cancelShutdown returns true if ctx has not ended. Then server.Serve returned because of a
	// failure.
	if cancelShutdown() || killed.Err() != nil {
		if !errors.Is(err, http.ErrServerClosed) {
			log.Error(err, "a listener failed")
		}
		return
	}
	<-listenerFinished
	linger := minLinger
	if spec.Linger != nil {
		linger = spec.Linger()
	}
	// http.Server.Shutdown isn't used because it closes a connection whose request is read
	// after Shutdown has begun, without a response.
	conns.drain(killed, linger)
	stats := conns.statsAtClose()
	log.Info("listener closed", "read", stats.read, "unanswered", stats.unanswered, "unused", stats.unused, "cut", stats.aborted,
		"idle", stats.idle, "silence", int64(stats.minSilence))
	_ = server.Close()
}

// endConnections returns a handler that asks callers to open a new connection for their next request
// while isOverloaded holds. Connections that were accepted before would go on to overload the process.
func endConnections(next http.Handler, isOverloaded func() bool) http.Handler {
	if isOverloaded == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isOverloaded() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// linger returns how long the callers' listener waits for its last responses: until the end
// of the drain, but at least minLinger and at most maxLinger.
func (n *Node) linger() mgclock.Millis {
	remaining := mgclock.Millis(n.closeDeadline.Load()) - n.clock.Now()
	return max(minLinger, min(remaining, maxLinger))
}
