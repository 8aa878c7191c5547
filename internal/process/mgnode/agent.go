package mgnode

import (
	"context"
	"net/http"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgservice"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgagent"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgsettings"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgorigin"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgplacement"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// RunAgent runs an agent until stop ends, and then drains it. The drain ends early
// when abortDrain ends.
func RunAgent(stop, abortDrain context.Context, settings mgsettings.Agent, n *Node) error {
	return n.run(stop, abortDrain, func(ctx context.Context) (Drain, error) { return n.startAgent(ctx, settings) })
}

// startAgent starts to accept work for the upstream, and returns the drain that
// stops it.
func (n *Node) startAgent(ctx context.Context, settings mgsettings.Agent) (Drain, error) {
	agent, err := mgagent.New(mgagent.Spec{
		Settings:       settings,
		Incarnation:    n.incarnation,
		Clock:          n.clock,
		Log:            n.log,
		Metrics:        n.metrics,
		Signer:         n.signer,
		Engine:         mgengine.NewHTTP(settings.UpstreamURL, nil),
		Service:        mgservice.NewHTTP(settings.UpstreamURL, nil),
		Table:          n.Table,
		ObserveVersion: n.ObserveVersion,
		AwaitVersion:   n.configLoop.Await,
		Plan:           (&planner{node: n}).plan,
		IsCurrent:      func() (mgclock.Millis, bool) { return n.isAgentOf(settings.Upstream) },
		OtherAgents:    n.otherAgents,
		StartedUnix:    mgclock.UnixMillis(),
	})
	if err != nil {
		return Drain{}, err
	}
	n.admin.AddSection("agent", func() any { return agent.State() })
	n.SetRoleHandler(agent.Handler())
	n.background.Go(func() { agent.Run(ctx) })
	// No notice delay is needed: an entry learns from an agent's first refusal that
	// the agent is leaving, and chooses another one.
	drain := n.NewDrain(agent.Leave, agent.Busy)
	drain.NoticeDelay = 0
	return drain, nil
}

// otherAgents returns the region's other agents whose engines hold a model, run the
// software version of this agent's engine, and are not leaving.
func (n *Node) otherAgents(model string) []mgagent.OtherAgent {
	view := n.members.View()
	self, ok := view.Member(n.settings.Name)
	if !ok {
		return nil
	}
	origin := mgorigin.Origin{
		Service: model,
		Version: self.SoftwareVersion(),
	}
	var others []mgagent.OtherAgent
	for _, member := range view.Upstreams(model) { // the upstreams' agents
		if member.Name() == n.settings.Name || member.Region() != n.settings.Region || member.Leaving() {
			continue
		}
		if !origin.Accepts(model, member.SoftwareVersion()) {
			continue
		}
		others = append(others, mgagent.OtherAgent{
			Name:  member.Name(),
			Zone:  member.Zone(),
			Agent: mgrpc.NewAgentProtobufClient(n.guard.BaseURL(member.PeerAddr()), &http.Client{Transport: n.calls}),
		})
	}
	return others
}

// planner computes which engine holds which model, and caches the plan until the
// table or the members change. It is used by one goroutine only, the one in
// which the agent orders its engine to load models.
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

// peerEvidenceMaxAge is how recently a peer must have been seen for this process's
// list of VMs to count as current. It is the time of two exchanges of versions with
// peers, which mgconfig makes every 2 s on average, and 1 s of delay.
const peerEvidenceMaxAge = 5 * mgclock.Second

// isAgentOf reports whether this process is the agent of an upstream, and when
// that was checked: the list of VMs names it (a member that isn't Listed is known
// from gossip only), and some peer was seen recently or the list names no other
// process. A process that sees no peer may be one that has
// been replaced.
func (n *Node) isAgentOf(upstream string) (mgclock.Millis, bool) {
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
		if n.members.SeenWithin(now, member.Name(), peerEvidenceMaxAge) {
			return now, true
		}
		noPeerListed = noPeerListed && !member.Listed()
	}
	return now, noPeerListed
}
