package main

import "github.com/marjoramgauge/marjoramgauge/internal/bench/mgbench"

type benchCommand struct {
	mgbench.Command
	to streams
}

// Execute measures policies in virtual time.
func (c *benchCommand) Execute([]string) error {
	ctx, cancel := interrupted()
	defer cancel()
	c.Progress = c.to.err
	return c.Run(ctx, c.to.out)
}
