package main

import "github.com/marjoramgauge/marjoramgauge/internal/bench/mgbench"

type benchCommand struct {
	mgbench.Command
	output outputs
}

// Execute measures policies in virtual time.
func (c *benchCommand) Execute([]string) error {
	ctx, cancel := interruptContext()
	defer cancel()
	c.Progress = c.output.errOut
	return c.Run(ctx, c.output.out)
}
