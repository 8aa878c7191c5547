package mgrelay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgdial"
)

const (
	// earlyWatchTimeout limits the wait for the watch of a process before a request is sent. Opening a
	// connection takes one round trip, a few ms within a region.
	earlyWatchTimeout = 50 * mgclock.Millis(1)
	// watchRetryInterval is the interval at which an upstream that could not be watched is tried again
	// while it answers.
	watchRetryInterval = 250 * mgclock.Millis(1)
	// closingMemory is how long the upstreams of a service are watched early after an answer of one of
	// them has ended with its connection.
	closingMemory = 10 * mgclock.Minute
)

// processWatch watches the process of an attempt's upstream while the upstream answers, if its answer
// ends with its connection. The watch must begin before the answer has ended: then the process that was
// watched is the one that answered. Close it.
type processWatch struct {
	relay   *Relay
	host    Host
	service string

	mu       sync.Mutex
	watch    *mgdial.ProcessWatch // nil without one
	failed   bool                 // the last attempt to begin one failed
	isClosed bool
	cancel   context.CancelFunc // ends the retries; nil without any
	retried  chan struct{}      // closed when the retries have ended
}

// isEarly reports whether a watch must begin before the request is sent. A process that runs late may see
// the header of an answer only after its end, and an upstream that states no incarnation can't tell
// afterwards whether it has restarted.
func (w *processWatch) isEarly() bool {
	y := w.relay
	return y.spec.WatchProcess != nil && y.spec.AskIncarnation == nil && w.host.IncarnationStart != 0 &&
		y.closings.mayClose(y.spec.Clock.Now(), w.service)
}

// beginEarly begins the watch on the connection on which the request is about to be sent, if it must
// begin so early.
func (w *processWatch) beginEarly(ctx context.Context, conn net.Conn) {
	if !w.isEarly() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, earlyWatchTimeout.Duration())
	defer cancel()
	_ = w.begin(ctx, conn) // follow begins it otherwise, and logs why it fails
}

// begin watches the process that answers on a connection.
func (w *processWatch) begin(ctx context.Context, conn net.Conn) error {
	watch, err := w.relay.spec.WatchProcess(ctx, w.host.Addr, conn)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err != nil:
		w.failed = true
	case w.isClosed:
		watch.Close()
	default:
		w.watch, w.failed = watch, false
	}
	return err
}

// hasBegun reports whether a process is watched.
func (w *processWatch) hasBegun() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.watch != nil
}

// follow watches the process until the end of an answer that ends with its connection, and ends a watch
// of any other.
func (w *processWatch) follow(ctx context.Context, response *http.Response) {
	y := w.relay
	if y.spec.WatchProcess == nil {
		return
	}
	endsWithConn := mgdial.EndsWithConnection(response)
	y.closings.record(y.spec.Clock.Now(), w.service, endsWithConn)
	if !endsWithConn {
		w.close()
		return
	}
	if w.hasBegun() {
		return
	}
	conn := mgdial.ConnOf(response)
	err := w.begin(ctx, conn)
	if err == nil {
		return
	}
	y.spec.Log.Info("an upstream can't be watched", mglog.Upstream, w.host.Name, "why", err.Error())
	if errors.Is(err, mgdial.ErrConnectionEnded) {
		return
	}
	ctx, w.cancel = context.WithCancel(ctx)
	w.retried = make(chan struct{})
	go func() {
		defer close(w.retried)
		for y.spec.Clock.Sleep(ctx, watchRetryInterval) {
			if err := w.begin(ctx, conn); err == nil || errors.Is(err, mgdial.ErrConnectionEnded) {
				return
			}
		}
	}()
}

// result returns the watch, nil if there is none, and whether it could not be begun while the upstream
// answered. It ends the retries.
func (w *processWatch) result() (watch *mgdial.ProcessWatch, failed bool) {
	w.endRetries()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.watch, w.failed
}

func (w *processWatch) endRetries() {
	if w.cancel != nil {
		w.cancel()
		<-w.retried
	}
}

// close ends the watch.
func (w *processWatch) close() {
	w.endRetries()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isClosed = true
	if w.watch != nil {
		w.watch.Close()
		w.watch = nil
	}
}

// closings records the services of which answers have ended with their connections. The zero value has
// none.
type closings struct {
	services sync.Map // service name to the mgclock.Millis until which another such answer is expected
}

// mayClose reports whether an answer of a service may end with its connection, as one did lately. The
// answers of a service that has not answered yet may.
func (c *closings) mayClose(now mgclock.Millis, service string) bool {
	until, known := c.services.Load(service)
	return !known || now < until.(mgclock.Millis)
}

// record records how an answer of a service marks its end.
func (c *closings) record(now mgclock.Millis, service string, endsWithConn bool) {
	if endsWithConn {
		c.services.Store(service, now+closingMemory)
		return
	}
	if _, known := c.services.Load(service); !known {
		c.services.LoadOrStore(service, now)
	}
}
