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
	// closeWait is how long listeners wait at least for their last responses once no
	// connection is accepted any more.
	minLinger = 250 * mgclock.Millis(1)
	// lingerMost is how long the callers' listener waits at most for connections that have
	// brought no request yet.
	maxLinger = 2 * mgclock.Second
	// settleWait is the time that handshakes in progress have when a listener closes.
	handshakeTimeout = 50 * mgclock.Millis(1)
	// closeLook is the interval at which a closing listener looks for idle connections.
	idlePollInterval = 5 * mgclock.Millis(1)
)

// ServerSpec describes one listener of a process.
type ServerSpec struct {
	Name     string
	Listener *mglistener.Listener
	Handler  http.Handler
	// Linger returns how long the listener waits for its last responses. Nil stands for
	// closeWait.
	Linger func() mgclock.Millis
	// Head bounds a request's header in bytes, Slow the time in which it must
	// arrive.
	MaxHeaderBytes int
	HeaderTimeout  mgclock.Millis
}

const (
	// defaultHead is enough for the headers of the system's own calls.
	defaultMaxHeaderBytes = 32 << 10
	// defaultSlow is ample time for a header of the system's own calls.
	defaultHeaderTimeout = 10 * mgclock.Second
	// idleSlow closes a caller's idle connection; balancers open new ones.
	idleTimeout = 2 * mgclock.Minute
)

// Serve answers on a listener until ctx ends. Then it answers what has reached it, on
// connections that it hasn't accepted yet, too, and closes. When killed ends, it breaks
// every connection at once, as the end of its process would.
func Serve(ctx, killed context.Context, log logr.Logger, spec ServerSpec) {
	if spec.MaxHeaderBytes == 0 {
		spec.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if spec.HeaderTimeout == 0 {
		spec.HeaderTimeout = defaultHeaderTimeout
	}
	log = log.WithValues("name", spec.Name)
	var conns connTracker
	server := &http.Server{
		Handler:           conns.wrap(spec.Handler),
		ConnState:         conns.stateChanged,
		ConnContext:       conns.connContext,
		MaxHeaderBytes:    spec.MaxHeaderBytes,
		ReadHeaderTimeout: spec.HeaderTimeout.Duration(),
		IdleTimeout:       idleTimeout.Duration(),
		BaseContext:       func(net.Listener) context.Context { return context.WithoutCancel(ctx) },
	}
	defer context.AfterFunc(killed, func() { _ = server.Close() })()
	listenerFinished := make(chan struct{})
	cancelFinish := context.AfterFunc(ctx, func() {
		defer close(listenerFinished)
		conns.beginClose()
		if err := spec.Listener.Finish(handshakeTimeout); err != nil {
			log.Error(err, "a listener may reset connections as it closes")
		}
	})
	log.Info("listening", "address", spec.Listener.Addr().String())
	err := server.Serve(spec.Listener)
	if cancelFinish() || killed.Err() != nil {
		if !errors.Is(err, http.ErrServerClosed) {
			log.Error(err, "a listener ended")
		}
		return
	}
	<-listenerFinished
	linger := minLinger
	if spec.Linger != nil {
		linger = spec.Linger()
	}
	// http.Server.Shutdown isn't used: a connection that reads its request after it has
	// begun is closed without a response.
	conns.drain(killed, linger)
	stats := conns.closeStats()
	log.Info("listener closed", "read", stats.read, "unanswered", stats.unanswered, "unused", stats.unused, "cut", stats.aborted)
	_ = server.Close()
}

// linger returns how long the callers' listener waits for its last responses: no longer
// than the drain may last, but for closeWait.
func (n *Node) linger() mgclock.Millis {
	remaining := mgclock.Millis(n.closeDeadline.Load()) - n.clock.Now()
	return max(minLinger, min(remaining, maxLinger))
}
