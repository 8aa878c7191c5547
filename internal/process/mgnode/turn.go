package mgnode

import (
	"context"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgmigration"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// turnHold is how long an entry that gives turns holds a question for which
	// it isn't time yet: a free turn is then told at once, and not at the next
	// question.
	turnHold = 100 * mgclock.Millis(1)
	// turnLook is the interval at which it looks.
	turnLook = 5 * mgclock.Millis(1)
	// turnWait bounds the answer. An entry that doesn't give one is dead or cut
	// off, and the notice of an upstream is one or two seconds.
	turnWait = turnHold + 150
)

// turn asks the entry that gives a service's turns until it gives one, or false
// where it can't be asked.
func (n *Node) turn(ctx context.Context, service string, ask mgmigration.Ask) (string, bool) {
	for ctx.Err() == nil {
		home := n.turnHome(service)
		if home == nil {
			if place := n.holdTurn(ctx, ask); place != "" {
				return place, true
			}
			continue
		}
		place, err := n.askTurn(ctx, home, ask)
		if err != nil {
			if ctx.Err() == nil {
				n.failed(home.Name())
				n.log.Info("no turn could be asked for, the generation is moved without one",
					"home", home.Name(), "run", ask.Run, "why", err.Error())
			}
			return "", false
		}
		if place != "" {
			return place, true
		}
	}
	return "", false
}

func (n *Node) askTurn(ctx context.Context, home *mgmember.Member, ask mgmigration.Ask) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, turnWait.Duration())
	defer cancel()
	var names []string
	var costs, spans []float64
	for _, spot := range ask.Places {
		names = append(names, spot.Name)
		costs = append(costs, spot.Cost)
		spans = append(spans, spot.Span)
	}
	reply, err := n.peer(home.PeerAddr()).Turn(ctx, &mgrpc.TurnRequest{
		Source: ask.Source,
		Run:    ask.Run,
		Worth:  ask.Worth,
		Places: names,
		Costs:  costs,
		Spans:  spans,
	})
	if err != nil {
		return "", err
	}
	return reply.GetPlace(), nil
}

// endTurn gives a turn back. A lost message costs the next run the turn's span.
func (n *Node) endTurn(service, source, run string) {
	home := n.turnHome(service)
	if home == nil {
		n.turns.End(source, run)
		return
	}
	ctx, cancel := context.WithTimeout(n.killed, turnWait.Duration())
	defer cancel()
	_, err := n.peer(home.PeerAddr()).Turn(ctx, &mgrpc.TurnRequest{
		Source: source,
		Run:    run,
		End:    true,
	})
	if err != nil {
		n.log.Info("a turn could not be given back and runs out by itself", "home", home.Name(), "run", run, "why", err.Error())
	}
}

// turnHome returns the entry that gives the turns of a service, or nil where it
// is this one. Entries that know different others may choose differently; their
// moves then share a link, which costs time and nothing else.
func (n *Node) turnHome(service string) *mgmember.Member { return n.first("turns " + service) }

// first returns the first by rendezvous of the processes of this cell that are
// known here and well, or nil where it is this one.
func (n *Node) first(key string) *mgmember.Member {
	able, self := n.able()
	return other(mgmember.Rank(key, able, 1)[0], self)
}

// hubPeer returns the process of this cell that works for all, or nil where it is this
// one.
func (n *Node) hubPeer() *mgmember.Member {
	able, self := n.able()
	return other(mgmember.RankHub(able, 1)[0], self)
}

// able returns the processes of this cell that may work for all: those that are
// known here and well, and this one. One that stops does so only where it is
// alone. Its peers pass it over; were it to go on for itself, two would give the
// turns of one source, and the copies that share the source's link would all end
// after it was reclaimed.
func (n *Node) able() (able []*mgmember.Member, self *mgmember.Member) {
	cell := n.members.View().Cell(n.settings.Name, n.settings.Region)
	self = mgmember.Self(n.settings.Name, n.settings.Zone, int(n.settings.Power))
	if n.leaving.Load() && len(cell.Peers) > 0 {
		return cell.Peers, self
	}
	return append(cell.Peers, self), self
}

// other returns a member, or nil where it is self.
func other(m, self *mgmember.Member) *mgmember.Member {
	if m == self {
		return nil
	}
	return m
}

// holdTurn waits a while for a turn that this entry gives.
func (n *Node) holdTurn(ctx context.Context, ask mgmigration.Ask) string {
	until := n.clock.Now() + turnHold
	for {
		now := n.clock.Now()
		if place, ok := n.turns.Ask(now, ask); ok {
			return place
		}
		if now >= until || !n.clock.Sleep(ctx, turnLook) {
			return ""
		}
	}
}

// Turn gives an entry a turn, or takes it back.
func (p peerServer) Turn(ctx context.Context, r *mgrpc.TurnRequest) (*mgrpc.TurnReply, error) {
	if r.GetEnd() {
		p.node.turns.End(r.GetSource(), r.GetRun())
		return &mgrpc.TurnReply{}, nil
	}
	var spots []mgmigration.Spot
	for i, name := range r.GetPlaces() {
		spot := mgmigration.Spot{Name: name}
		if i < len(r.GetCosts()) {
			spot.Cost = r.GetCosts()[i]
		}
		if i < len(r.GetSpans()) {
			spot.Span = r.GetSpans()[i]
		}
		spots = append(spots, spot)
	}
	place := p.node.holdTurn(ctx, mgmigration.Ask{
		Source: r.GetSource(),
		Run:    r.GetRun(),
		Worth:  r.GetWorth(),
		Places: spots,
	})
	return &mgrpc.TurnReply{
		Place: place,
	}, nil
}
