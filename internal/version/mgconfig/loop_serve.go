package mgconfig

import (
	"context"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Exchange answers a peer's summary with the summary of this process.
func (l *Loop) Exchange(_ context.Context, s *mgrpc.Summary) (*mgrpc.Summary, error) {
	var reply *mgrpc.Summary
	l.stepAndWakeRun(func(m *Machine, now mgclock.Millis) []Action {
		var actions []Action
		reply, actions = m.HandleExchange(now, s)
		return actions
	})
	if reply == nil {
		return nil, errStopped
	}
	return reply, nil
}

// Fetch answers a peer's request for values.
func (l *Loop) Fetch(_ context.Context, r *mgrpc.FetchRequest) (*mgrpc.FetchReply, error) {
	var compressedList []byte
	if r.GetList() {
		l.mu.Lock()
		compressedList = l.compressedList()
		l.mu.Unlock()
	}
	return Serve(l.Current(), compressedList, r), nil
}

// timedListTTL is how long a list with remaining times is served without encoding them
// anew.
const timedListTTL = 50 * mgclock.Millis(1)

// compressedList returns the compressed list of VMs, or nil before the first list. The
// list is compressed once per version, for all callers, unless it contains remaining times.
// mu must be held.
func (l *Loop) compressedList() []byte {
	version := l.machine.members.View().Version()
	if version == 0 {
		return nil
	}
	now := l.spec.Clock.Now()
	if l.cachedList.Report.List == version && (!l.cachedListIsTimed || now < l.cachedListAt+timedListTTL) {
		return l.cachedList.Compressed
	}
	var list []byte
	list, l.cachedListIsTimed = l.machine.List(now)
	l.cachedListAt = now
	l.cachedList.Report.List = version
	l.cachedList.Compressed = compress(list)
	return l.cachedList.Compressed
}

// Report returns the report of versions that this process sends to its peers.
func (l *Loop) Report() VersionReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Report(l.spec.Clock.Now())
}

// HandleGossip merges a peer's records of processes and returns the records known here.
func (l *Loop) HandleGossip(all []mgmember.Gossip) []mgmember.Gossip {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.HandleGossip(l.spec.Clock.Now(), all)
}

// HandleLongPoll answers a long poll: it returns this process's report, with the list of VMs
// as soon as that is newer than the given version, or without it once wait is over.
func (l *Loop) HandleLongPoll(ctx context.Context, after uint64, wait mgclock.Millis) ListReply {
	expired := l.spec.Clock.After(wait)
	for done := false; ; {
		reply, changed := l.listReply(after)
		if reply.Compressed != nil || done {
			return reply
		}
		select {
		case <-changed:
		case <-expired:
			done = true
		case <-ctx.Done():
			done = true
		}
	}
}

// listReply returns the reply as of now, and a channel that is closed at the next newer
// list.
func (l *Loop) listReply(after uint64) (ListReply, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.machine.RecordLongPoll(l.spec.Clock.Now()) {
		l.signalRun()
	}
	reply := ListReply{
		Report: l.machine.Report(l.spec.Clock.Now()),
	}
	if reply.Report.List <= after {
		return reply, l.listChanged
	}
	reply.Compressed = l.compressedList()
	return reply, l.listChanged
}
