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
	placeHold = 250 * mgclock.Millis(1)
	// placeWait bounds the answer. An entry that doesn't give one is dead or cut
	// off, and the request goes where it would have gone without asking.
	placeWait = placeHold + 150
	// placeLook is the least interval between two looks for places.
	placeLook = 10 * mgclock.Millis(1)
	// placeLife is how long what is seen of the upstreams serves such looks: what
	// was given meanwhile is counted, and entries tell of the rest each 200 ms. The
	// sum is some thousand lookups where 40 entries tell of 400 upstreams.
	placeLife = 40 * mgclock.Millis(1)
	// askLife is how long a request that was asked for counts as waiting, or a
	// place that nobody was there to take is kept: its entry asks again at once.
	askLife = 300 * mgclock.Millis(1)
)

// place waits until an upstream of a service has memory for a request, or the
// request is given up. It returns false where nobody could be asked, or ctx has
// ended.
func (n *Node) place(ctx context.Context, service string, wait mgroom.Wait) (mgroom.Grant, bool) {
	for ctx.Err() == nil {
		hub := n.hubPeer()
		var grant mgroom.Grant
		if hub == nil {
			grant = n.holdPlace(ctx, service, wait)
		} else {
			var err error
			grant, err = n.askPlace(ctx, hub.PeerAddr(), service, wait)
			if err != nil {
				if ctx.Err() == nil {
					n.failed(hub.Name())
					n.log.Info("no place could be asked for, the request is sent without one",
						"hub", hub.Name(), "request", wait.Name, "why", err.Error())
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

func (n *Node) askPlace(ctx context.Context, hub, service string, wait mgroom.Wait) (mgroom.Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, placeWait.Duration())
	defer cancel()
	now := n.clock.Now()
	reply, err := n.peer(hub).Place(ctx, &mgrpc.PlaceRequest{
		Service: service,
		Request: wait.Name,
		Account: wait.Account,
		Need:    int64(wait.Need),
		Made:    int64(wait.Made),
		Span:    int64(wait.Span),
		Left:    int64(wait.Due - now),
		Waited:  int64(now - wait.Came),
		Rest:    int64(wait.End - now),
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
	grant := p.node.holdPlace(ctx, r.GetService(), mgroom.Wait{
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
type lines struct {
	mu  sync.Mutex
	all map[string]*line
}

// line is the requests that wait for one service.
type line struct {
	room   mgroom.Room
	asks   map[string]*ask
	looked mgclock.Millis
	seen   []mgroom.Place // of the upstreams, as of the time summed
	summed mgclock.Millis
	told   mgclock.Millis // when a log line told of the line last
}

// ask is a request that waits, and what it was given.
type ask struct {
	until mgclock.Millis // it is forgotten then unless it is asked for again
	grant mgroom.Grant
	given chan struct{} // closed once grant is set
}

// holdPlace has a request wait with this entry for a while. It returns the zero
// Grant while there is none.
func (n *Node) holdPlace(ctx context.Context, service string, wait mgroom.Wait) mgroom.Grant {
	own := n.lines.join(n.clock.Now(), service, wait)
	end := n.clock.After(placeHold)
	for {
		n.look(service)
		select {
		case <-own.given:
			return n.lines.leave(service, wait.Name)
		case <-n.clock.After(placeLook):
		case <-end:
			return mgroom.Grant{}
		case <-ctx.Done():
			n.lines.leave(service, wait.Name)
			return mgroom.Grant{}
		}
	}
}

// join has a request wait, or finds it waiting.
func (l *lines) join(now mgclock.Millis, service string, wait mgroom.Wait) *ask {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.all == nil {
		l.all = map[string]*line{}
	}
	if l.all[service] == nil {
		l.all[service] = &line{
			asks:   map[string]*ask{},
			looked: now - placeLook,
			summed: now - placeLife,
		}
	}
	to := l.all[service]
	own := to.asks[wait.Name]
	if own == nil {
		own = &ask{
			given: make(chan struct{}),
		}
		to.asks[wait.Name] = own
		to.room.Add(wait)
	}
	own.until = now + placeHold + askLife
	return own
}

// leave takes a request out and returns what it was given, if anything.
func (l *lines) leave(service, name string) mgroom.Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := l.all[service].asks[name]
	if own == nil {
		return mgroom.Grant{}
	}
	delete(l.all[service].asks, name)
	l.all[service].room.Drop(name)
	own.grant.Name = "" // who asked knows it
	return own.grant
}

// look gives what can be given now.
func (n *Node) look(service string) {
	now := n.clock.Now()
	places := n.places.Load()
	n.lines.mu.Lock()
	defer n.lines.mu.Unlock()
	to := n.lines.all[service]
	if places == nil || now < to.looked+placeLook {
		return
	}
	to.looked = now
	for name, own := range to.asks {
		if now >= own.until {
			delete(to.asks, name)
			to.room.Drop(name)
		}
	}
	if to.room.Len() == 0 {
		return
	}
	if now >= to.summed+placeLife {
		to.summed = now
		to.seen = (*places)(service, n.hub.Others(now, n.settings.Name))
		n.tellLine(now, service, to)
	}
	seen := slices.Clone(to.seen)
	parts := n.boundPlaces(now, seen)
	grants := to.grants(now, seen)
	n.reservePermits(now, grants, parts)
	for _, grant := range grants {
		if own := to.asks[grant.Name]; own != nil {
			own.grant = grant
			close(own.given)
		}
	}
}

// grants returns what can be given to those that wait by the upstreams that are seen, or
// that nothing can.
func (l *line) grants(now mgclock.Millis, seen []mgroom.Place) []mgroom.Grant {
	if seen == nil {
		return l.room.Close()
	}
	return l.room.Look(now, seen)
}
