package mgnode

import (
	"context"
	"net/http"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgservice"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgagent"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgsettings"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgplacement"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// RunAgent runs an agent until stop ends, then drains it; hurry cuts the drain
// short.
func RunAgent(stop, abortDrain context.Context, settings mgsettings.Agent, n *Node) error {
	return n.run(stop, abortDrain, func(ctx context.Context) (Drain, error) { return n.startAgent(ctx, settings) })
}

// openAgent begins to take work for the upstream, and returns how that is
// stopped.
func (n *Node) startAgent(ctx context.Context, settings mgsettings.Agent) (Drain, error) {
	agent, err := mgagent.New(mgagent.Spec{
		Settings:    settings,
		Incarnation: n.incarnation,
		Clock:       n.clock,
		Log:         n.log,
		Metrics:     n.metrics,
		Seal:        n.seal,
		Engine:      mgengine.NewHTTP(settings.Address, nil),
		Service:     mgservice.NewHTTP(settings.Address, nil),
		Table:       n.Table,
		Seen:        n.ObserveVersion,
		Await:       n.loop.Await,
		Plan:        (&planner{node: n}).plan,
		Ours:        func() (mgclock.Millis, bool) { return n.isOwnAgentOf(settings.Upstream) },
		Others:      n.otherAgents,
		Started:     mgclock.UnixMillis(),
	})
	if err != nil {
		return Drain{}, err
	}
	n.admin.Source("agent", func() any { return agent.State() })
	n.SetRoleHandler(agent.Routes())
	n.background.Go(func() { agent.Run(ctx) })
	// An entry learns of a leaving agent from its first refusal and goes
	// elsewhere, so that no notice is needed.
	drain := n.NewDrain(agent.Leave, agent.Busy)
	drain.NoticeDelay = 0
	return drain, nil
}

// otherAgents returns the agents of the region beside engines that hold a model.
func (n *Node) otherAgents(model string) []mgagent.Other {
	var others []mgagent.Other
	for _, member := range n.members.View().Upstreams(model) {
		if member.Name() == n.settings.Name || member.Region() != n.settings.Region || member.Leaving() {
			continue
		}
		others = append(others, mgagent.Other{
			Name:  member.Name(),
			Zone:  member.Zone(),
			Agent: mgrpc.NewAgentProtobufClient(n.guard.Base(member.PeerAddr()), &http.Client{Transport: n.calls}),
		})
	}
	return others
}

// planner works the placement out anew when the table or the members change.
// One goroutine, that of the agent's orders, uses it.
type planner struct {
	node   *Node
	table  *mgtable.Table
	view   *mgmember.View
	cached *mgplacement.Plan
}

func (p *planner) plan() *mgplacement.Plan {
	table, view := p.node.Table(), p.node.members.View()
	if p.cached == nil || p.table != table || p.view != view {
		p.table = table
		p.view = view
		p.cached = mgplacement.Assign(table, view)
	}
	return p.cached
}

// evidence is how lately a peer must have been heard for the list to count as
// present: two rounds of exchanges and a delay.
const peerEvidenceMaxAge = 5 * mgclock.Second

// owns reports whether this process is an upstream's own agent: listed as such,
// by a list that some peer, too, went by lately. A process that hears nobody
// may be the one that was replaced.
func (n *Node) isOwnAgentOf(upstream string) (mgclock.Millis, bool) {
	view := n.members.View()
	now := n.clock.Now()
	own, found := view.Agent(upstream)
	if !found || own.Name() != n.settings.Name || own.Leaving() || !own.Listed() {
		return now, false
	}
	noPeerListed := true
	for _, member := range view.All() {
		if member.Name() == n.settings.Name {
			continue
		}
		if n.members.Recent(now, member.Name(), peerEvidenceMaxAge) {
			return now, true
		}
		noPeerListed = noPeerListed && !member.Listed()
	}
	return now, noPeerListed
}
