package mgnode

import (
	"net"

	"github.com/go-logr/logr"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglistener"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// limitedListener accepts connections up to a limit, and as long as the processor bears them. It closes
// the others unread, so that their callers know that nothing ran and try another process at once: in the
// accept queue they would wait, and without a limit the process runs out of memory or descriptors and
// loses all its answers.
type limitedListener struct {
	*mglistener.Listener
	conns      *connTracker
	limit      int         // 0 stands for none
	admits     func() bool // reports whether the processor bears one more; nil stands for always
	log        logr.Logger
	onRefused  func(count int)        // may be nil
	begin      func(*mglistener.Conn) // prepares a connection that is accepted
	refused    int64
	nextReport mgclock.Millis
}

const (
	// refusalReportInterval is the least time between two log lines of refused connections.
	refusalReportInterval = mgclock.Second
	// maxCloseQueued is the number of connections that are closed at a time. Requests that have been read
	// wait meanwhile.
	maxCloseQueued = 64
)

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		switch {
		case l.admits != nil && !l.admits():
			_ = conn.Close() // nothing was read or sent
			more, err := l.CloseQueued(maxCloseQueued)
			if err != nil {
				return nil, err
			}
			l.reportRefused(1+more, "events wait too long for the processor")
		case l.limit > 0 && !l.conns.makeRoom(l.limit):
			_ = conn.Close()
			l.reportRefused(1, "the process has as many as it may")
		case !l.conns.acquireConn():
			_ = conn.Close()
			l.reportRefused(1, "what may be held for callers is exhausted")
		default:
			if accepted := mglistener.ConnOf(conn); accepted != nil {
				l.begin(accepted)
			}
			mglistener.EnableKeepAlive(conn)
			return conn, nil
		}
	}
}

// reportRefused reports that connections are closed unread.
func (l *limitedListener) reportRefused(count int, why string) {
	l.refused += int64(count)
	if l.onRefused != nil {
		l.onRefused(count)
	}
	if now := (mgclock.Clock{}).Now(); now >= l.nextReport {
		l.nextReport = now + refusalReportInterval
		l.log.Info("connections are closed unread: "+why, "limit", l.limit, "closed", l.refused)
	}
}
