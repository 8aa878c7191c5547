package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclient"
)

// keyVariable is the environment variable that holds the account's key. A key on the
// command line is visible in lists of processes.
const keyVariable = "MARJORAMGAUGE_KEY"

type callCommand struct {
	Entry   []string `long:"entry" required:"yes" value-name:"URL" description:"an entry's base URL; more than one to resume through another"`
	Key     string   `long:"key" description:"the client account's key; better given in MARJORAMGAUGE_KEY"`
	Service string   `long:"service" required:"yes" description:"generation service or model"`
	Max     int      `long:"max" description:"longest answer in tokens"`
	Args    struct {
		Prompt []string `positional-arg-name:"PROMPT" required:"yes"`
	} `positional-args:"yes"`
	output outputs
}

// Execute sends the prompt and prints the tokens as they arrive. After a lost
// connection it resumes the answer.
func (c *callCommand) Execute([]string) error {
	key := c.Key
	if key == "" {
		key = os.Getenv(keyVariable)
	}
	if key == "" {
		return newUsageError("call: no key: give the account's key with --key or in %s", keyVariable)
	}
	ctx, cancel := interruptContext()
	defer cancel()
	client := mgclient.New(mgclient.Spec{
		Bases: c.Entry,
		Key:   key,
	})
	answer, err := client.Complete(ctx, mgclient.Request{
		Model:     c.Service,
		MaxTokens: c.Max,
		Messages: []mgclient.Message{{
			Role:    "user",
			Content: strings.Join(c.Args.Prompt, " "),
		}},
	}, func(t mgclient.Token) error {
		_, err := fmt.Fprint(c.output.out, t.Text())
		return err
	})
	fmt.Fprintln(c.output.out)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.output.errOut, "%d tokens, end %s, resumed %d times, answer %s\n", answer.Tokens(), answer.EndReason(), answer.ResumeCount(), answer.Name())
	return nil
}
