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
	l.act(func(m *Machine, now mgclock.Millis) []Action {
		var actions []Action
		reply, actions = m.Heard(now, s)
		return actions
	})
	if reply == nil {
		return nil, errStopped
	}
	return reply, nil
}

// Fetch serves a peer's fetch.
func (l *Loop) Fetch(_ context.Context, r *mgrpc.FetchRequest) (*mgrpc.FetchReply, error) {
	var packed []byte
	if r.GetList() {
		l.mu.Lock()
		packed = l.packedList()
		l.mu.Unlock()
	}
	return Serve(l.Current(), packed, r), nil
}

// packedList returns the list of VMs compressed, once for all that ask, or nil before
// the first. It is called with mu held.
func (l *Loop) packedList() []byte {
	version := l.machine.members.View().Version()
	if version == 0 {
		return nil
	}
	if l.packed.Word.List != version {
		l.packed.Word.List = version
		l.packed.Packed = compress(l.machine.List())
	}
	return l.packed.Packed
}

// Word returns what this process can tell others of the platform.
func (l *Loop) Word() Word {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Word(l.spec.Clock.Now())
}

// Gossiped serves a peer that tells of processes.
func (l *Loop) Gossiped(all []mgmember.Gossip) []mgmember.Gossip {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Gossiped(l.spec.Clock.Now(), all)
}

// Listing returns this process's word, and the list of VMs as soon as it is newer than
// a version, or nil after a wait.
func (l *Loop) Listing(ctx context.Context, after uint64, wait mgclock.Millis) Listing {
	end := l.spec.Clock.After(wait)
	for over := false; ; {
		listing, listed := l.listing(after)
		if listing.Packed != nil || over {
			return listing
		}
		select {
		case <-listed:
		case <-end:
			over = true
		case <-ctx.Done():
			over = true
		}
	}
}

// listing returns what there is now, and a channel that is closed once the list is
// newer.
func (l *Loop) listing(after uint64) (Listing, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.machine.Asked(l.spec.Clock.Now()) {
		l.kickRun()
	}
	listing := Listing{
		Word: l.machine.Word(l.spec.Clock.Now()),
	}
	if listing.Word.List <= after {
		return listing, l.listed
	}
	listing.Packed = l.packedList()
	return listing, l.listed
}
