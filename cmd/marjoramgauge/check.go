package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgsettings"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

type checkCommand struct {
	Args struct {
		File string `positional-arg-name:"SETTINGS|TABLE" required:"yes"`
	} `positional-args:"yes"`
	output outputs
}

// Execute checks a file and reports every fault in it. It recognizes the kind of file
// by its keys: a table has rows, the settings of an agent name an upstream.
func (c *checkCommand) Execute([]string) error {
	data, err := os.ReadFile(c.Args.File)
	if err != nil {
		return fmt.Errorf("check: can't read the file: name one that exists: %w", err)
	}
	kind, err := check(c.Args.File, data)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.output.out, "%s: %s without faults\n", c.Args.File, kind)
	return nil
}

func check(name string, data []byte) (string, error) {
	if strings.HasSuffix(name, ".csv") {
		_, err := mgtable.Import(data)
		return "table", err
	}
	keys := map[string]any{}
	_ = toml.Unmarshal(data, &keys)
	switch {
	case keys["listen"] != nil && keys["platform"] != nil:
		return "entry settings", mgsettings.Parse(name, data, &mgsettings.Entry{})
	case keys["upstream"] != nil && keys["platform"] != nil:
		return "agent settings", mgsettings.Parse(name, data, &mgsettings.Agent{})
	default:
		return "table", mgtable.Check(data)
	}
}

// readTable reads a table in TOML, or in CSV if the file's extension is .csv.
func readTable(path string) (*mgtable.Table, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("table: can't read the file: name one that exists: %w", err)
	}
	if strings.HasSuffix(path, ".csv") {
		return mgtable.Import(data)
	}
	return mgtable.Parse(data)
}

type tableDiffCommand struct {
	Args struct {
		Old string `positional-arg-name:"OLD" required:"yes"`
		New string `positional-arg-name:"NEW" required:"yes"`
	} `positional-args:"yes"`
	output outputs
}

// Execute prints the changes between two tables, one per line.
func (c *tableDiffCommand) Execute([]string) error {
	older, err := readTable(c.Args.Old)
	if err != nil {
		return err
	}
	newer, err := readTable(c.Args.New)
	if err != nil {
		return err
	}
	changes := mgtable.Diff(older, newer)
	for _, change := range changes {
		fmt.Fprintln(c.output.out, change.String())
	}
	switch {
	case len(changes) == 0:
		fmt.Fprintln(c.output.out, "no change")
	case newer.Version() <= older.Version():
		// Of two tables with the same version, every process selects the same one by
		// the digests, so the edited table may not be the one selected.
		fmt.Fprintf(c.output.out, "version is still %d: raise it above %d, or the edit may not come into force\n", newer.Version(), older.Version())
	}
	return nil
}

type tableExportCommand struct {
	Args struct {
		Table string `positional-arg-name:"TABLE" required:"yes"`
	} `positional-args:"yes"`
	output outputs
}

// Execute prints the table as CSV.
func (c *tableExportCommand) Execute([]string) error {
	table, err := readTable(c.Args.Table)
	if err != nil {
		return err
	}
	_, err = c.output.out.Write(table.Export())
	return err
}

type tableImportCommand struct {
	Args struct {
		File string `positional-arg-name:"CSV" required:"yes"`
	} `positional-args:"yes"`
	output outputs
}

// Execute prints the CSV as a table in TOML.
func (c *tableImportCommand) Execute([]string) error {
	data, err := os.ReadFile(c.Args.File)
	if err != nil {
		return fmt.Errorf("table import: can't read the file: name one that exists: %w", err)
	}
	table, err := mgtable.Import(data)
	if err != nil {
		return err
	}
	_, err = c.output.out.Write(table.TOML())
	return err
}

// dumpTimeout limits a dump: a process that needs longer is stuck.
const dumpTimeout = 10 * time.Second

type dumpCommand struct {
	Args struct {
		Address string `positional-arg-name:"ADDRESS" required:"yes" description:"the process's admin address and port"`
	} `positional-args:"yes"`
	output outputs
}

// Execute prints a process's state as JSON.
func (c *dumpCommand) Execute([]string) error {
	client := &http.Client{Timeout: dumpTimeout}
	response, err := client.Get("http://" + strings.TrimPrefix(c.Args.Address, "http://") + "/dump")
	if err != nil {
		return fmt.Errorf("dump: can't reach the process: give its admin address as IP:port: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("dump: the process answered %s: give its admin address, not its callers' one", response.Status)
	}
	_, err = io.Copy(c.output.out, response.Body)
	return err
}
