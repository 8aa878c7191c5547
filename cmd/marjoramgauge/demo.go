package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgdemo"
)

// onceTimeout limits demo --once, which usually takes about ten seconds.
const onceTimeout = 60 * time.Second

type demoCommand struct {
	Once   bool `long:"once" description:"send a short mixed load with failures, check every answer, and exit"`
	Logs   bool `long:"logs" description:"show the processes' logs on standard error"`
	output outputs
}

// Execute runs a whole deployment in this process.
func (c *demoCommand) Execute([]string) error {
	ctx, cancel := interruptContext()
	defer cancel()
	spec := mgdemo.Spec{}
	if c.Logs {
		spec.Log = c.output.errOut
		spec.Level = "info"
	}
	deployment, err := mgdemo.Start(ctx, spec)
	if err != nil {
		return err
	}
	defer deployment.Close()
	if c.Once {
		return runLoadOnce(ctx, deployment, c.output.out)
	}
	entry := deployment.Entries()[0]
	fmt.Fprintf(c.output.out, "entries on %v\ntry:\n", deployment.Entries())
	fmt.Fprintf(c.output.out, "  curl -N -H 'Authorization: Bearer sample-tankline' %s/v1/chat/completions \\\n", entry)
	fmt.Fprintln(c.output.out, `    -d '{"model":"report","stream":true,"messages":[{"role":"user","content":"shift report len=60"}]}'`)
	<-ctx.Done()
	return nil
}

// runLoadOnce runs the load and returns an error if any answer was lost, duplicated or
// delivered to the wrong request.
func runLoadOnce(ctx context.Context, deployment *mgdemo.Deployment, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, onceTimeout)
	defer cancel()
	report := deployment.Play(ctx)
	if err := report.Write(out); err != nil {
		return err
	}
	if faults := report.Faults(); len(faults) > 0 {
		return fmt.Errorf("demo: %d faults: see the lines above", len(faults))
	}
	fmt.Fprintln(out, "nothing was lost, doubled or crossed; an engine and an entry were ended in its middle")
	return nil
}
