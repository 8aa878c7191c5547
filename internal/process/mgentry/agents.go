package mgentry

import (
	"context"
	"net/http"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgrouting"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
)

// fleet holds the agents of one view in the form that routing needs. It is
// replaced with the view.
type fleet struct {
	view    *mgmember.View
	routes  *mgrouting.Fleet
	members []*mgmember.Member // by index in routes
	// directHosts holds, by service, the upstreams that this entry reaches without
	// an agent and that accept new work.
	directHosts map[string][]*mgmember.Member
	// regionHosts holds the same, also for the upstreams of other cells.
	regionHosts map[string][]*mgmember.Member
	// assignerCount is, by service, the number of the region's processes that assign
	// placements at directHosts.
	assignerCount map[string]int
}

// fleet returns the agents of the current view. The first request after a change
// builds them; the in-flight counts are carried over.
func (e *Entry) fleet() *fleet {
	view := e.spec.View()
	old := e.currentFleet.Load()
	if old != nil && old.view == view {
		return old
	}
	e.fleetMu.Lock()
	defer e.fleetMu.Unlock()
	if old = e.currentFleet.Load(); old != nil && old.view == view {
		return old
	}
	built := newFleet(view, old)
	built.restrictToCell(view.Cell(e.spec.Settings.Name, e.spec.Settings.Region))
	e.currentFleet.Store(built)
	return built
}

func newFleet(view *mgmember.View, old *fleet) *fleet {
	built := &fleet{
		view:          view,
		directHosts:   map[string][]*mgmember.Member{},
		assignerCount: map[string]int{},
	}
	var list []mgrouting.Upstream
	for _, member := range view.All() {
		if member.Upstream() == "" {
			continue
		}
		built.members = append(built.members, member)
		if !member.IsPeer() && !member.Leaving() && !member.Cordoned() && member.Listed() {
			for _, service := range member.Services() {
				built.directHosts[service] = append(built.directHosts[service], member)
			}
		}
		list = append(list, mgrouting.Upstream{
			Name:    member.Upstream(),
			Zone:    member.Zone(),
			Region:  member.Region(),
			Models:  append(append([]string{}, member.Models()...), member.Services()...),
			Leaving: member.Leaving() || member.Cordoned() || member.Suspect() || !member.Listed(),
		})
	}
	var before *mgrouting.Fleet
	if old != nil {
		before = old.routes
	}
	built.routes = mgrouting.NewFleet(list, before)
	return built
}

// client returns the RPC client of an agent.
func (e *Entry) client(agent *mgmember.Member) mgrpc.Agent {
	base := e.spec.BaseURL(agent.PeerAddr())
	if found, ok := e.clients.Load(base); ok {
		return found.(mgrpc.Agent)
	}
	client := mgrpc.NewAgentProtobufClient(base, &http.Client{Transport: e.spec.Calls})
	found, _ := e.clients.LoadOrStore(base, client)
	return found.(mgrpc.Agent)
}

// reportFailed reports an agent that did not answer. If the request's own context
// has ended, the caller has disconnected and nothing is reported: otherwise
// callers that hang up would make one healthy agent after another suspect.
func (e *Entry) reportFailed(request context.Context, agent *mgmember.Member) {
	if request.Err() == nil {
		e.spec.ReportFailed(agent.Name())
	}
}

// agentByUpstream returns the agent that currently serves an upstream.
func (e *Entry) agentByUpstream(upstream string) (*mgmember.Member, bool) {
	return e.spec.View().Agent(upstream)
}
