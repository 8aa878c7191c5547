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
func RunAgent(stop, hurry context.Context, settings mgsettings.Agent, n *Node) error {
	return n.run(stop, hurry, func(ctx context.Context) (Stop, error) { return n.openAgent(ctx, settings) })
}

// openAgent begins to take work for the upstream, and returns how that is
// stopped.
func (n *Node) openAgent(ctx context.Context, settings mgsettings.Agent) (Stop, error) {
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
		Seen:        n.Seen,
		Await:       n.loop.Await,
		Plan:        (&planner{node: n}).plan,
		Ours:        func() (mgclock.Millis, bool) { return n.owns(settings.Upstream) },
		Others:      n.otherAgents,
		Started:     mgclock.UnixMillis(),
	})
	if err != nil {
		return Stop{}, err
	}
	n.admin.Source("agent", func() any { return agent.State() })
	n.Role(agent.Routes())
	n.servers.Go(func() { agent.Run(ctx) })
	// An entry learns of a leaving agent from its first refusal and goes
	// elsewhere, so that no notice is needed.
	stopping := n.Stop(agent.Leave, agent.Busy)
	stopping.Notice = 0
	return stopping, nil
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
	node  *Node
	table *mgtable.Table
	view  *mgmember.View
	made  *mgplacement.Plan
}

func (p *planner) plan() *mgplacement.Plan {
	table, view := p.node.Table(), p.node.members.View()
	if p.made == nil || p.table != table || p.view != view {
		p.table = table
		p.view = view
		p.made = mgplacement.Assign(table, view)
	}
	return p.made
}

// evidence is how lately a peer must have been heard for the list to count as
// present: two rounds of exchanges and a delay.
const evidence = 5 * mgclock.Second

// owns reports whether this process is an upstream's own agent: listed as such,
// by a list that some peer, too, went by lately. A process that hears nobody
// may be the one that was replaced.
func (n *Node) owns(upstream string) (mgclock.Millis, bool) {
	view := n.members.View()
	now := n.clock.Now()
	own, found := view.Agent(upstream)
	if !found || own.Name() != n.settings.Name || own.Leaving() || !own.Listed() {
		return now, false
	}
	alone := true
	for _, member := range view.All() {
		if member.Name() == n.settings.Name {
			continue
		}
		if n.members.Recent(now, member.Name(), evidence) {
			return now, true
		}
		alone = alone && !member.Listed()
	}
	return now, alone
}
