package mgnode

import (
	"context"
	"slices"
	"sync"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgroom"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// placeHold is how long the entry that gives places holds a question: a place
	// is then told at once, and not at the next question.
	placementHoldTimeout = 250 * mgclock.Millis(1)
	// placeWait bounds the answer. An entry that doesn't give one is dead or cut
	// off, and the request goes where it would have gone without asking.
	placementTimeout = placementHoldTimeout + 150
	// placeLook is the least interval between two looks for places.
	minAssignInterval = 10 * mgclock.Millis(1)
	// placeLife is how long what is seen of the upstreams serves such looks: what
	// was given meanwhile is counted, and entries tell of the rest each 200 ms. The
	// sum is some thousand lookups where 40 entries tell of 400 upstreams.
	capacityTTL = 40 * mgclock.Millis(1)
	// askLife is how long a request that was asked for counts as waiting, or a
	// place that nobody was there to take is kept: its entry asks again at once.
	pendingTTL = 300 * mgclock.Millis(1)
)

// place waits until an upstream of a service has memory for a request, or the
// request is given up. It returns false where nobody could be asked, or ctx has
// ended.
func (n *Node) acquirePlacement(ctx context.Context, service string, request mgroom.Wait) (mgroom.Grant, bool) {
	for ctx.Err() == nil {
		hub := n.hubPeer()
		var grant mgroom.Grant
		if hub == nil {
			grant = n.awaitPlacement(ctx, service, request)
		} else {
			var err error
			grant, err = n.requestPlacement(ctx, hub.PeerAddr(), service, request)
			if err != nil {
				if ctx.Err() == nil {
					n.peerFailed(hub.Name())
					n.log.Info("no place could be asked for, the request is sent without one",
						"hub", hub.Name(), "request", request.Name, "why", err.Error())
				}
				return mgroom.Grant{}, false
			}
		}
		if grant != (mgroom.Grant{}) {
			return grant, true
		}
	}
	return mgroom.Grant{}, false
}

func (n *Node) requestPlacement(ctx context.Context, hub, service string, request mgroom.Wait) (mgroom.Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, placementTimeout.Duration())
	defer cancel()
	now := n.clock.Now()
	reply, err := n.peerClient(hub).Place(ctx, &mgrpc.PlaceRequest{
		Service: service,
		Request: request.Name,
		Account: request.Account,
		Need:    int64(request.Need),
		Made:    int64(request.Made),
		Span:    int64(request.Span),
		Left:    int64(request.Due - now),
		Waited:  int64(now - request.Came),
		Rest:    int64(request.End - now),
	})
	if err != nil {
		return mgroom.Grant{}, err
	}
	return mgroom.Grant{
		Place: reply.GetPlace(),
		Retry: mgclock.Millis(reply.GetRetry()),
	}, nil
}

// Place has an entry's request wait for a place.
func (p peerServer) Place(ctx context.Context, r *mgrpc.PlaceRequest) (*mgrpc.PlaceReply, error) {
	now := p.node.clock.Now()
	grant := p.node.awaitPlacement(ctx, r.GetService(), mgroom.Wait{
		Name:    r.GetRequest(),
		Account: r.GetAccount(),
		Need:    int(r.GetNeed()),
		Made:    int(r.GetMade()),
		Span:    mgclock.Millis(r.GetSpan()),
		Due:     now + mgclock.Millis(r.GetLeft()),
		Came:    now - mgclock.Millis(r.GetWaited()),
		End:     now + mgclock.Millis(r.GetRest()),
	})
	return &mgrpc.PlaceReply{
		Place: grant.Place,
		Retry: int64(grant.Retry),
	}, nil
}

// lines are the requests that wait with this entry, by service. The zero lines
// is empty.
type placementQueues struct {
	mu        sync.Mutex
	byService map[string]*placementQueue
}

// line is the requests that wait for one service.
type placementQueue struct {
	waiting         mgroom.Room
	pending         map[string]*pendingRequest
	assignedAt      mgclock.Millis
	upstreams       []mgroom.Place // of the upstreams, as of the time summed
	upstreamsReadAt mgclock.Millis
	loggedAt        mgclock.Millis // when a log line told of the line last
}

// ask is a request that waits, and what it was given.
type pendingRequest struct {
	expiresAt mgclock.Millis // it is forgotten then unless it is asked for again
	grant     mgroom.Grant
	granted   chan struct{} // closed once grant is set
}

// holdPlace has a request wait with this entry for a while. It returns the zero
// Grant while there is none.
func (n *Node) awaitPlacement(ctx context.Context, service string, request mgroom.Wait) mgroom.Grant {
	pending := n.placementQueues.enqueue(n.clock.Now(), service, request)
	holdEnd := n.clock.After(placementHoldTimeout)
	for {
		n.assignPlacements(service)
		select {
		case <-pending.granted:
			return n.placementQueues.dequeue(service, request.Name)
		case <-n.clock.After(minAssignInterval):
		case <-holdEnd:
			return mgroom.Grant{}
		case <-ctx.Done():
			n.placementQueues.dequeue(service, request.Name)
			return mgroom.Grant{}
		}
	}
}

// join has a request wait, or finds it waiting.
func (l *placementQueues) enqueue(now mgclock.Millis, service string, request mgroom.Wait) *pendingRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byService == nil {
		l.byService = map[string]*placementQueue{}
	}
	if l.byService[service] == nil {
		l.byService[service] = &placementQueue{
			pending:         map[string]*pendingRequest{},
			assignedAt:      now - minAssignInterval,
			upstreamsReadAt: now - capacityTTL,
		}
	}
	queue := l.byService[service]
	pending := queue.pending[request.Name]
	if pending == nil {
		pending = &pendingRequest{
			granted: make(chan struct{}),
		}
		queue.pending[request.Name] = pending
		queue.waiting.Add(request)
	}
	pending.expiresAt = now + placementHoldTimeout + pendingTTL
	return pending
}

// leave takes a request out and returns what it was given, if anything.
func (l *placementQueues) dequeue(service, name string) mgroom.Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	pending := l.byService[service].pending[name]
	if pending == nil {
		return mgroom.Grant{}
	}
	delete(l.byService[service].pending, name)
	l.byService[service].waiting.Drop(name)
	pending.grant.Name = "" // who asked knows it
	return pending.grant
}

// look gives what can be given now.
func (n *Node) assignPlacements(service string) {
	now := n.clock.Now()
	readUpstreams := n.readUpstreams.Load()
	n.placementQueues.mu.Lock()
	defer n.placementQueues.mu.Unlock()
	queue := n.placementQueues.byService[service]
	if readUpstreams == nil || now < queue.assignedAt+minAssignInterval {
		return
	}
	queue.assignedAt = now
	for name, own := range queue.pending {
		if now >= own.expiresAt {
			delete(queue.pending, name)
			queue.waiting.Drop(name)
		}
	}
	if queue.waiting.Len() == 0 {
		return
	}
	if now >= queue.upstreamsReadAt+capacityTTL {
		queue.upstreamsReadAt = now
		queue.upstreams = (*readUpstreams)(service, n.hub.Others(now, n.settings.Name))
		n.reportQueue(now, service, queue)
	}
	upstreams := slices.Clone(queue.upstreams)
	parts := n.applyLimits(now, upstreams)
	grants := queue.assign(now, upstreams)
	n.reservePermits(now, grants, parts)
	for _, grant := range grants {
		if own := queue.pending[grant.Name]; own != nil {
			own.grant = grant
			close(own.granted)
		}
	}
}

// grants returns what can be given to those that wait by the upstreams that are seen, or
// that nothing can.
func (l *placementQueue) assign(now mgclock.Millis, upstreams []mgroom.Place) []mgroom.Grant {
	if upstreams == nil {
		return l.waiting.Close()
	}
	return l.waiting.Look(now, upstreams)
}
