package mgconfig

import (
	"context"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Exchange serves a peer's exchange.
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

// Fetch serves a peer's fetch.
func (l *Loop) Fetch(_ context.Context, r *mgrpc.FetchRequest) (*mgrpc.FetchReply, error) {
	var compressedList []byte
	if r.GetList() {
		l.mu.Lock()
		compressedList = l.compressedList()
		l.mu.Unlock()
	}
	return Serve(l.Current(), compressedList, r), nil
}

// packedList returns the list of VMs compressed, once for all that ask, or nil before
// the first. It is called with mu held.
func (l *Loop) compressedList() []byte {
	version := l.machine.members.View().Version()
	if version == 0 {
		return nil
	}
	if l.compressed.Word.List != version {
		l.compressed.Word.List = version
		l.compressed.Packed = compress(l.machine.List())
	}
	return l.compressed.Packed
}

// Word returns what this process can tell others of the platform.
func (l *Loop) Word() Word {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Report(l.spec.Clock.Now())
}

// Gossiped serves a peer that tells of processes.
func (l *Loop) Gossiped(all []mgmember.Gossip) []mgmember.Gossip {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.HandleGossip(l.spec.Clock.Now(), all)
}

// Listing returns this process's word, and the list of VMs as soon as it is newer than
// a version, or nil after a wait.
func (l *Loop) Listing(ctx context.Context, after uint64, wait mgclock.Millis) Listing {
	expired := l.spec.Clock.After(wait)
	for done := false; ; {
		listing, changed := l.listReply(after)
		if listing.Packed != nil || done {
			return listing
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

// listing returns what there is now, and a channel that is closed once the list is
// newer.
func (l *Loop) listReply(after uint64) (Listing, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.machine.HandleLongPoll(l.spec.Clock.Now()) {
		l.signalRun()
	}
	listing := Listing{
		Word: l.machine.Report(l.spec.Clock.Now()),
	}
	if listing.Word.List <= after {
		return listing, l.listChanged
	}
	listing.Packed = l.compressedList()
	return listing, l.listChanged
}
