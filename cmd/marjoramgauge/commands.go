package main

import (
	"fmt"
	"runtime/debug"

	"github.com/jessevdk/go-flags"
)

// newParser returns the parser with every command.
func newParser(to streams) *flags.Parser {
	parser := flags.NewNamedParser("marjoramgauge", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "serves language-model generations of unknown length on crowded engines"
	root := parser.Command
	add(root, "entry", "run an entry, which callers reach", &entryCommand{to: to})
	add(root, "agent", "run the agent beside an upstream", &agentCommand{to: to})
	add(root, "demo", "run a whole deployment in this process", &demoCommand{to: to})
	standin := add(root, "standin", "run a stand-in of what surrounds the system", &struct{}{})
	add(standin, "engine", "a model engine", &standinEngine{to: to})
	add(standin, "service", "a plain service", &standinService{to: to})
	add(standin, "platform", "the platform's config service and list of VMs", &standinPlatform{to: to})
	add(root, "call", "send one request and stream its answer", &callCommand{to: to})
	add(root, "bench", "measure policies against each other in virtual time", &benchCommand{to: to})
	add(root, "soak", "run a deployment of separate processes under faults and check its promises", &soakCommand{to: to})
	add(root, "check", "check a settings file or a table", &checkCommand{to: to})
	table := add(root, "table", "work on the operators' table", &struct{}{})
	add(table, "diff", "say what an edit changes for whom", &tableDiff{to: to})
	add(table, "export", "write a table as CSV for a spreadsheet", &tableExport{to: to})
	add(table, "import", "write a CSV as a table", &tableImport{to: to})
	add(root, "dump", "show a process's state", &dumpCommand{to: to})
	add(root, "version", "show the version", &versionCommand{to: to})
	return parser
}

// add adds a command; a wrong declaration of its options is a fault of the
// program, which the test of the help finds.
func add(parent *flags.Command, name, short string, data any) *flags.Command {
	made, err := parent.AddCommand(name, short, short, data)
	if err != nil {
		panic(fmt.Sprintf("command %s: %v", name, err))
	}
	return made
}

type versionCommand struct {
	to streams
}

// Execute prints the version of the module and of Go.
func (c *versionCommand) Execute([]string) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return fmt.Errorf("version: the binary carries no build information: build it with go build")
	}
	fmt.Fprintf(c.to.out, "marjoramgauge %s %s\n", info.Main.Version, info.GoVersion)
	return nil
}
