package mgnode

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"

	"github.com/go-logr/logr"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglistener"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgbody"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgbudget"
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
	// Budget bounds what is held for callers, of which each connection takes ConnBytes. Nil stands for no
	// bound. ReceiveBuffer limits what the kernel keeps of a connection until it is read, in bytes; 0 stands
	// for the kernel's default.
	Budget        *mgbudget.Budget
	ConnBytes     int64
	ReceiveBuffer int
	// BodyTimeout limits the time in which the body of a request arrives, WriteTimeout the time for which a
	// caller may leave an answer unread. 0 stands for the defaults.
	BodyTimeout  mgclock.Millis
	WriteTimeout mgclock.Millis
	// OnLate is called for each request that doesn't arrive in time, OnEvicted for each connection that is
	// ended for another one while it waits for its caller. Both may be nil.
	OnLate    func()
	OnEvicted func()
}

const (
	// defaultMaxHeaderBytes is enough for the headers of calls between processes.
	defaultMaxHeaderBytes = 8 << 10
	// defaultHeaderTimeout is ample for the headers of calls between processes.
	defaultHeaderTimeout = 10 * mgclock.Second
	// refusalLinger is the time that a caller has to read the refusal of a request that it still sends.
	refusalLinger = 500 * mgclock.Millis(1)
	// defaultBodyTimeout is ample for the bodies of calls between processes, and defaultWriteTimeout for
	// their answers.
	defaultBodyTimeout  = 30 * mgclock.Second
	defaultWriteTimeout = 30 * mgclock.Second
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
	spec.BodyTimeout = cmp.Or(spec.BodyTimeout, defaultBodyTimeout)
	spec.WriteTimeout = cmp.Or(spec.WriteTimeout, defaultWriteTimeout)
	log = log.WithValues("name", spec.Name)
	conns := connTracker{
		budget:    spec.Budget,
		connBytes: spec.ConnBytes,
		onEvicted: evictionReporter(log, spec.OnEvicted),
	}
	if spec.ReceiveBuffer > 0 {
		if err := spec.Listener.SetReceiveBuffer(spec.ReceiveBuffer); err != nil {
			log.Error(err, "the kernel may keep more of each connection than is accounted for")
		}
	}
	shedder := &idleShedder{
		conns: &conns,
		log:   log,
	}
	server := &http.Server{
		Handler:           conns.wrap(receiveBodies(endConnections(spec.Handler, shedder.wrap(spec.IsOverloaded)))),
		ConnState:         conns.stateChanged,
		ConnContext:       conns.connContext,
		MaxHeaderBytes:    spec.MaxHeaderBytes,
		ReadHeaderTimeout: spec.HeaderTimeout.Duration(),
		IdleTimeout:       idleTimeout.Duration(),
		ErrorLog:          slog.NewLogLogger(logr.ToSlogHandler(log), slog.LevelInfo),
		BaseContext:       func(net.Listener) context.Context { return context.WithoutCancel(ctx) },
	}
	closeAll := func() {
		conns.skipLinger()
		_ = server.Close()
	}
	defer context.AfterFunc(killed, closeAll)()
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
		begin: func(conn *mglistener.Conn) {
			conn.SetTimeouts(mglistener.Timeouts{
				Head:   spec.HeaderTimeout,
				Body:   spec.BodyTimeout,
				Write:  spec.WriteTimeout,
				Linger: refusalLinger,
			}, spec.OnLate)
		},
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
	closeAll()
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

// receiveBodies returns a handler that passes on requests whose bodies are received within the budget of the
// listener.
func receiveBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received, finish := mgbody.Receive(r)
		defer finish()
		next.ServeHTTP(w, received)
	})
}

// linger returns how long the callers' listener waits for its last responses: until the end
// of the drain, but at least minLinger and at most maxLinger.
func (n *Node) linger() mgclock.Millis {
	remaining := mgclock.Millis(n.closeDeadline.Load()) - n.clock.Now()
	return max(minLinger, min(remaining, maxLinger))
}
