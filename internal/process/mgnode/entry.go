package mgnode

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgentry"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgsettings"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// RunEntry runs an entry until stop ends, then drains it; hurry cuts the drain
// short.
func RunEntry(stop, hurry context.Context, settings mgsettings.Entry, n *Node) error {
	ctx, cancel := context.WithCancel(n.killed)
	defer n.Wait()
	defer cancel()
	if err := n.Start(ctx, stop); err != nil {
		return err
	}
	public, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return fmt.Errorf("key listen: can't listen on %s: give a free IP and port of this VM: %w", settings.Listen, err)
	}
	directory := &directory{node: n}
	entry := mgentry.New(mgentry.Spec{
		Settings: settings,
		Clock:    n.clock,
		Log:      n.log,
		Metrics:  n.metrics,
		Seal:     n.seal,
		Table:    n.Table,
		Seen:     n.Seen,
		Agents:   directory.agents,
		Suspect:  func(string) {},
		Heard:    func(string) {},
		Calls:    n.guard.Transport(false),
		Frames:   n.guard.Transport(true),
		Base:     n.guard.Base,
	}, n.incarnation)
	n.admin.Source("entry", func() any { return entry.State() })
	n.Serve(ctx, ServerSpec{
		Name:     "callers",
		Listener: public,
		Handler:  entry.Routes(),
		Head:     int(settings.Head),
		Slow:     mgclock.Millis(settings.Slow),
	})
	select {
	case <-n.killed.Done():
		return nil
	case <-stop.Done():
	}
	n.Stop(entry.Leave, entry.Busy).Run(hurry)
	return nil
}

// directory turns the list of VMs into agents, once per list.
type directory struct {
	node *Node
	made atomic.Pointer[madeDirectory]
}

type madeDirectory struct {
	list   *mgplatform.List
	agents []mgentry.Agent
}

func (d *directory) agents() []mgentry.Agent {
	list := d.node.List()
	if made := d.made.Load(); made != nil && made.list == list {
		return made.agents
	}
	made := &madeDirectory{list: list}
	for _, vm := range list.VMs {
		if vm.Kind != mgplatform.AgentKind {
			continue
		}
		made.agents = append(made.agents, mgentry.Agent{
			Name:     vm.Name,
			Address:  vm.PeerAddr(),
			Zone:     vm.Zone,
			Region:   vm.Region,
			Upstream: vm.Upstream,
			Models:   vm.Models,
			Services: vm.Services,
			Leaving:  vm.State == mgplatform.Leaving,
		})
	}
	d.made.Store(made)
	return made.agents
}
