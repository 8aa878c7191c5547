package main

import (
	"fmt"
	"runtime/debug"

	"github.com/jessevdk/go-flags"
)

// newParser returns the parser with all commands.
func newParser(output outputs) *flags.Parser {
	parser := flags.NewNamedParser("marjoramgauge", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "serves language-model generations of unknown length on crowded engines"
	root := parser.Command
	addCommand(root, "entry", "run an entry, which callers reach", &entryCommand{output: output})
	addCommand(root, "agent", "run the agent beside an upstream", &agentCommand{output: output})
	addCommand(root, "demo", "run a whole deployment in this process", &demoCommand{output: output})
	standin := addCommand(root, "standin", "run a stand-in of what surrounds the system", &struct{}{})
	addCommand(standin, "engine", "a model engine", &standinEngineCommand{output: output})
	addCommand(standin, "service", "a plain service", &standinServiceCommand{output: output})
	addCommand(standin, "events", "an upstream that streams events", &standinEventsCommand{output: output})
	addCommand(standin, "platform", "the platform's config service and list of VMs", &standinPlatformCommand{output: output})
	addCommand(root, "call", "send one request and stream its answer", &callCommand{output: output})
	addCommand(root, "bench", "measure policies against each other in virtual time", &benchCommand{output: output})
	addCommand(root, "soak", "run a deployment of separate processes under faults and check its promises", &soakCommand{output: output})
	addCommand(root, "check", "check a settings file or a table", &checkCommand{output: output})
	table := addCommand(root, "table", "work on the operators' table", &struct{}{})
	addCommand(table, "diff", "say what an edit changes for whom", &tableDiffCommand{output: output})
	addCommand(table, "export", "write a table as CSV for a spreadsheet", &tableExportCommand{output: output})
	addCommand(table, "import", "write a CSV as a table", &tableImportCommand{output: output})
	addCommand(root, "dump", "show a process's state", &dumpCommand{output: output})
	addCommand(root, "version", "show the version", &versionCommand{output: output})
	return parser
}

// addCommand adds a command. It panics if the declaration of the options is invalid, a
// programming error that the test of --help detects.
func addCommand(parent *flags.Command, name, short string, data any) *flags.Command {
	command, err := parent.AddCommand(name, short, short, data)
	if err != nil {
		panic(fmt.Sprintf("command %s: %v", name, err))
	}
	return command
}

type versionCommand struct {
	output outputs
}

// Execute prints the version of the module and of Go.
func (c *versionCommand) Execute([]string) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return fmt.Errorf("version: the binary carries no build information: build it with go build")
	}
	fmt.Fprintf(c.output.out, "marjoramgauge %s %s\n", info.Main.Version, info.GoVersion)
	return nil
}
