package main

import "github.com/marjoramgauge/marjoramgauge/internal/soak/mgsoak"

type soakCommand struct {
	mgsoak.Command
	output outputs
}

// Execute runs a deployment of separate processes under faults.
func (c *soakCommand) Execute([]string) error {
	ctx, cancel := interruptContext()
	defer cancel()
	return c.Run(ctx, c.output.out)
}
