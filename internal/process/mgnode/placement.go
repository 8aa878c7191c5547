package mgnode

import (
	"context"
	"slices"
	"sync"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgwaitlist"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// placementHoldTimeout is how long the hub holds a request for a placement, so
	// that a placement is returned as soon as it is assigned and not at the next
	// request.
	placementHoldTimeout = 250 * mgclock.Millis(1)
	// placementTimeout limits the wait for the hub's response. A hub that doesn't
	// respond is dead or cut off; the request is then sent as if there were none.
	placementTimeout = placementHoldTimeout + 150
	// minAssignInterval is the minimum interval between two assignments of a service.
	minAssignInterval = 10 * mgclock.Millis(1)
	// capacityTTL is how long the upstreams' free capacity, once read, is used for
	// assignments. Grants made meanwhile are counted, and entries report other
	// changes every 200 ms only. Reading it takes some thousand lookups when 40
	// entries report on 400 upstreams.
	capacityTTL = 40 * mgclock.Millis(1)
	// pendingTTL is how long a request still counts as waiting after its call has
	// ended, and how long a placement assigned to it meanwhile is kept. Its entry
	// calls again at once.
	pendingTTL = 300 * mgclock.Millis(1)
)

// acquirePlacement waits until an upstream of a service has memory for a request,
// or the hub gives the request up. A request given up returns true and a grant with an
// empty Place. It returns false if the hub didn't respond or ctx has ended.
func (n *Node) acquirePlacement(ctx context.Context, service string, request mgwaitlist.Request) (mgwaitlist.Grant, bool) {
	for ctx.Err() == nil {
		hub := n.hubPeer()
		var grant mgwaitlist.Grant
		if hub == nil {
			grant = n.awaitPlacement(ctx, service, request)
		} else {
			var err error
			grant, err = n.requestPlacement(ctx, hub.PeerAddr(), service, request)
			if err != nil && n.recordHandover(hub, err) {
				continue
			}
			if err != nil {
				if ctx.Err() == nil {
					n.peerFailed(hub.Name())
					n.log.Info("a request for a placement failed, the request is sent without one",
						"hub", hub.Name(), "request", request.Name, "why", err.Error())
				}
				return mgwaitlist.Grant{}, false
			}
		}
		if grant != (mgwaitlist.Grant{}) {
			return grant, true
		}
	}
	return mgwaitlist.Grant{}, false
}

func (n *Node) requestPlacement(ctx context.Context, hub, service string, request mgwaitlist.Request) (mgwaitlist.Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, placementTimeout.Duration())
	defer cancel()
	now := n.clock.Now()
	reply, err := n.peerClient(hub).Place(ctx, &mgrpc.PlaceRequest{
		Service: service,
		Request: request.Name,
		Account: request.Account,
		Rank:    int64(request.Rank),
		Need:    int64(request.Need),
		Made:    int64(request.Output),
		Span:    int64(request.Duration),
		Left:    int64(request.Due - now), // time left in which a placement lets its response begin on time
		Waited:  int64(now - request.Arrived),
		Rest:    int64(request.GiveUpAt - now), // until it is given up
	})
	if err != nil {
		return mgwaitlist.Grant{}, err
	}
	return mgwaitlist.Grant{
		Place: reply.GetPlace(),
		Retry: mgclock.Millis(reply.GetRetry()),
	}, nil
}

// Place enqueues a request of an entry until it has a placement. Its need is in tokens of memory.
// For a request given up, retry is the time after which there may be a place for it.
func (p peerServer) Place(ctx context.Context, r *mgrpc.PlaceRequest) (*mgrpc.PlaceReply, error) {
	if p.node.hasHandedOver() {
		return nil, errHandedOver
	}
	now := p.node.clock.Now()
	grant := p.node.awaitPlacement(ctx, r.GetService(), mgwaitlist.Request{
		Name:     r.GetRequest(),
		Account:  r.GetAccount(),
		Rank:     int(r.GetRank()),
		Need:     int(r.GetNeed()),
		Output:   int(r.GetMade()),
		Duration: mgclock.Millis(r.GetSpan()),
		Due:      now + mgclock.Millis(r.GetLeft()),
		Arrived:  now - mgclock.Millis(r.GetWaited()),
		GiveUpAt: now + mgclock.Millis(r.GetRest()),
	})
	return &mgrpc.PlaceReply{
		Place: grant.Place,
		Retry: int64(grant.Retry),
	}, nil
}

// placementQueues holds the requests of the cell's entries that wait at this process while it is the
// cell's hub, by service. The zero value is empty.
type placementQueues struct {
	mu        sync.Mutex
	byService map[string]*placementQueue
	admission bool // see mgwaitlist.WaitingList.EnableAdmission
}

// placementQueue holds the requests that wait for an upstream of one service.
type placementQueue struct {
	waiting         mgwaitlist.WaitingList     // the requests without a grant
	byName          map[string]*pendingRequest // the requests, also those granted and not fetched yet
	assignedAt      mgclock.Millis
	upstreams       []mgwaitlist.Place // with their free capacity at upstreamsReadAt
	upstreamsReadAt mgclock.Millis
	loggedAt        mgclock.Millis // time of the last log line about the queue
}

// pendingRequest is a request that waits, and its grant.
type pendingRequest struct {
	expiresAt mgclock.Millis // it is dropped then unless its entry has called again
	grant     mgwaitlist.Grant
	granted   chan struct{} // closed once grant is set
}

// awaitPlacement enqueues a request at this entry and waits for its grant, for
// placementHoldTimeout at most. It returns the zero Grant if there is none by then.
func (n *Node) awaitPlacement(ctx context.Context, service string, request mgwaitlist.Request) mgwaitlist.Grant {
	pending := n.placementQueues.enqueue(n.clock.Now(), service, request)
	holdEnd := n.clock.After(placementHoldTimeout)
	for {
		n.assignPlacements(service)
		select {
		case <-pending.granted:
			return n.placementQueues.dequeue(service, request.Name)
		case <-n.clock.After(minAssignInterval):
		case <-holdEnd:
			return mgwaitlist.Grant{}
		case <-ctx.Done():
			n.placementQueues.dequeue(service, request.Name)
			return mgwaitlist.Grant{}
		}
	}
}

// enqueue adds a request to the queue of its service, or extends its wait if it is queued.
func (l *placementQueues) enqueue(now mgclock.Millis, service string, request mgwaitlist.Request) *pendingRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byService == nil {
		l.byService = map[string]*placementQueue{}
	}
	if l.byService[service] == nil {
		l.byService[service] = &placementQueue{
			byName:          map[string]*pendingRequest{},
			assignedAt:      now - minAssignInterval,
			upstreamsReadAt: now - capacityTTL,
		}
		if l.admission {
			l.byService[service].waiting.EnableAdmission()
		}
	}
	queue := l.byService[service]
	pending := queue.byName[request.Name]
	if pending == nil {
		pending = &pendingRequest{
			granted: make(chan struct{}),
		}
		queue.byName[request.Name] = pending
		queue.waiting.Add(request)
	}
	pending.expiresAt = now + placementHoldTimeout + pendingTTL
	return pending
}

// dequeue removes a request and returns its grant, if there is one.
func (l *placementQueues) dequeue(service, name string) mgwaitlist.Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	pending := l.byService[service].byName[name]
	if pending == nil {
		return mgwaitlist.Grant{}
	}
	delete(l.byService[service].byName, name)
	l.byService[service].waiting.Remove(name)
	pending.grant.Name = "" // the caller knows the name of its request
	return pending.grant
}

// assignPlacements assigns the free capacity of a service's upstreams to the waiting requests.
func (n *Node) assignPlacements(service string) {
	now := n.clock.Now()
	placementCandidates := n.placementCandidates.Load()
	n.placementQueues.mu.Lock()
	defer n.placementQueues.mu.Unlock()
	queue := n.placementQueues.byService[service]
	if placementCandidates == nil || now < queue.assignedAt+minAssignInterval {
		return
	}
	queue.assignedAt = now
	for name, pending := range queue.byName {
		if now >= pending.expiresAt {
			delete(queue.byName, name)
			queue.waiting.Remove(name)
		}
	}
	if queue.waiting.Len() == 0 {
		return
	}
	if now >= queue.upstreamsReadAt+capacityTTL {
		queue.upstreamsReadAt = now
		queue.upstreams = (*placementCandidates)(service, n.entryLoads.Others(now, n.settings.Name))
		n.reportQueue(now, service, queue)
	}
	for _, grant := range n.assignWithPermits(now, queue) {
		if pending := queue.byName[grant.Name]; pending != nil {
			pending.grant = grant
			close(pending.granted)
		}
	}
}

// assignWithPermits assigns upstreams to a queue's requests and reserves their permits. No
// other request is granted a permit meanwhile.
func (n *Node) assignWithPermits(now mgclock.Millis, queue *placementQueue) []mgwaitlist.Grant {
	release := n.permits.Hold()
	defer release()
	upstreams := slices.Clone(queue.upstreams)
	limitShares := n.applyLimits(now, upstreams)
	grants := queue.assign(now, upstreams)
	n.reservePermits(now, grants, limitShares)
	return grants
}

// assign returns the grants that are possible now. Without upstreams that may be given work,
// it gives all waiting requests up: their grants have no Place.
func (l *placementQueue) assign(now mgclock.Millis, upstreams []mgwaitlist.Place) []mgwaitlist.Grant {
	if upstreams == nil {
		return l.waiting.GiveUpAll()
	}
	return l.waiting.Assign(now, upstreams)
}
