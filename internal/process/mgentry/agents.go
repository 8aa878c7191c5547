package mgentry

import (
	"net/http"
	"slices"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
)

// Agent is an agent as the list of VMs and direct evidence show it.
type Agent struct {
	Name     string
	Address  string
	Zone     string
	Region   string
	Upstream string
	Models   []string
	Services []string
	Leaving  bool
}

func (a Agent) holds(model string) bool { return slices.Contains(a.Models, model) }

func (a Agent) runs(service string) bool { return slices.Contains(a.Services, service) }

// client returns the calls of an agent.
func (e *Entry) client(agent Agent) mgrpc.Agent {
	base := e.spec.Base(agent.Address)
	if found, ok := e.clients.Load(base); ok {
		return found.(mgrpc.Agent)
	}
	made := mgrpc.NewAgentProtobufClient(base, &http.Client{Transport: e.spec.Calls})
	found, _ := e.clients.LoadOrStore(base, made)
	return found.(mgrpc.Agent)
}

// byUpstream returns the agent that gives an upstream its work now.
func (e *Entry) byUpstream(upstream string) (Agent, bool) {
	for _, agent := range e.spec.Agents() {
		if agent.Upstream == upstream {
			return agent, true
		}
	}
	return Agent{}, false
}
