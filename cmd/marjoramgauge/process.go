package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgnode"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgrelay"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgsettings"
)

// stopSignals returns a context that ends with the first SIGINT or SIGTERM, and one
// that ends with the second.
func stopSignals() (stop, forceStop context.Context) {
	stop, cancelStop := context.WithCancel(context.Background())
	forceStop, cancelForce := context.WithCancel(context.Background())
	received := make(chan os.Signal, 2)
	signal.Notify(received, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-received
		cancelStop()
		<-received
		cancelForce()
	}()
	return stop, forceStop
}

// gcPercent is the growth of the heap in percent that triggers a garbage collection.
// It is half of the default, because a table with many accounts uses most of the
// memory that a node may use.
const gcPercent = 50

// runProcess reads settings from a file and runs a process with them until it receives
// a stop signal. The parameter spec returns the specification of the node once the settings
// have been read.
func runProcess(
	file string, settings any, spec func() mgnode.Spec,
	run func(stop, forceStop context.Context, node *mgnode.Node) error,
) error {
	if err := mgsettings.Load(file, settings); err != nil {
		return err
	}
	node, err := mgnode.New(spec())
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	stop, forceStop := stopSignals()
	return run(stop, forceStop, node)
}

type entryCommand struct {
	Settings string `long:"settings" required:"yes" value-name:"FILE" description:"settings of the entry, TOML"`
	output   outputs
}

// Execute runs an entry until it receives a stop signal.
func (c *entryCommand) Execute([]string) error {
	var settings mgsettings.Entry
	spec := func() mgnode.Spec {
		s := mgnode.Spec{
			Settings: settings.Process,
			Log:      c.output.errOut,
			Memory:   settings.MemoryBytes(),
		}
		if settings.Relay {
			headers := mgrelay.DefaultHeaderNames()
			s.Relay = &headers
		}
		return s
	}
	return runProcess(c.Settings, &settings, spec, func(stop, forceStop context.Context, node *mgnode.Node) error {
		return mgnode.RunEntry(stop, forceStop, settings, node)
	})
}

type agentCommand struct {
	Settings string `long:"settings" required:"yes" value-name:"FILE" description:"settings of the agent, TOML"`
	output   outputs
}

// Execute runs an agent until it receives a stop signal.
func (c *agentCommand) Execute([]string) error {
	var settings mgsettings.Agent
	spec := func() mgnode.Spec {
		return mgnode.Spec{
			Settings: settings.Process,
			Log:      c.output.errOut,
			Memory:   settings.MemoryBytes(),
		}
	}
	return runProcess(c.Settings, &settings, spec, func(stop, forceStop context.Context, node *mgnode.Node) error {
		return mgnode.RunAgent(stop, forceStop, settings, node)
	})
}
