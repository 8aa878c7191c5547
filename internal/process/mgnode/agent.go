package mgnode

import (
	"context"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgservice"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgagent"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgsettings"
)

// RunAgent runs an agent until stop ends, then drains it; hurry cuts the drain
// short.
func RunAgent(stop, hurry context.Context, settings mgsettings.Agent, n *Node) error {
	ctx, cancel := context.WithCancel(n.killed)
	defer n.Wait()
	defer cancel()
	if err := n.Start(ctx, stop); err != nil {
		return err
	}
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
	})
	if err != nil {
		return err
	}
	n.admin.Source("agent", func() any { return agent.State() })
	n.Role(agent.Routes())
	n.servers.Go(func() { agent.Run(ctx) })
	n.Serving()
	select {
	case <-n.killed.Done():
		return nil
	case <-stop.Done():
	}
	// An entry learns of a leaving agent from its first refusal and goes
	// elsewhere, so that no notice is needed.
	stopping := n.Stop(agent.Leave, agent.Busy)
	stopping.Notice = 0
	stopping.Run(hurry)
	return nil
}
