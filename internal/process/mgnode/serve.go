package mgnode

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/go-logr/logr"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// closeWait is how long listeners wait for their last responses once the
// drain is over.
const closeWait = 300 * mgclock.Millis(1)

// ServerSpec describes one listener of a process.
type ServerSpec struct {
	Name     string
	Listener net.Listener
	Handler  http.Handler
	// Head bounds a request's header in bytes, Slow the time in which it must
	// arrive.
	Head int
	Slow mgclock.Millis
}

const (
	// defaultHead is enough for the headers of the system's own calls.
	defaultHead = 32 << 10
	// defaultSlow is ample time for a header of the system's own calls.
	defaultSlow = 10 * mgclock.Second
	// idleSlow closes a caller's idle connection; balancers open new ones.
	idleSlow = 2 * mgclock.Minute
)

// Serve answers on a listener until ctx ends. When killed ends, it breaks every
// connection at once, as the end of its process would.
func Serve(ctx, killed context.Context, log logr.Logger, spec ServerSpec) {
	if spec.Head == 0 {
		spec.Head = defaultHead
	}
	if spec.Slow == 0 {
		spec.Slow = defaultSlow
	}
	var conns connections
	server := &http.Server{
		Handler:           conns.handle(spec.Handler),
		ConnState:         conns.note,
		MaxHeaderBytes:    spec.Head,
		ReadHeaderTimeout: spec.Slow.Duration(),
		IdleTimeout:       idleSlow.Duration(),
		BaseContext:       func(net.Listener) context.Context { return context.WithoutCancel(ctx) },
	}
	defer context.AfterFunc(killed, func() { _ = server.Close() })()
	stopped := make(chan struct{})
	context.AfterFunc(ctx, func() {
		defer close(stopped)
		closeCtx, cancel := context.WithTimeout(context.Background(), closeWait.Duration())
		defer cancel()
		conns.close()
		err := server.Shutdown(closeCtx)
		e := conns.ending()
		log.Info("listener closed", "name", spec.Name, "read", e.read, "unanswered", e.unanswered, "unused", e.unused, "cut", e.cut)
		if err != nil {
			_ = server.Close()
		}
	})
	log.Info("listening", "name", spec.Name, "address", spec.Listener.Addr().String())
	if err := server.Serve(spec.Listener); !errors.Is(err, http.ErrServerClosed) {
		log.Error(err, "a listener ended", "name", spec.Name)
		return
	}
	<-stopped
}
