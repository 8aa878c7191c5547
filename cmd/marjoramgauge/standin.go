package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/pelletier/go-toml/v2"

	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgstandin"
)

// interruptContext returns a context that ends with SIGINT or SIGTERM.
func interruptContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// readStandin reads the settings of a stand-in.
func readStandin(path string, spec any) error {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("standin: can't read the settings: name a file with --settings: %w", err)
	}
	defer file.Close()
	if err := toml.NewDecoder(file).DisallowUnknownFields().Decode(spec); err != nil {
		return fmt.Errorf("standin: %s: correct the file: %w", path, err)
	}
	return nil
}

// printAddress returns a function that prints the address of a stand-in.
func printAddress(to outputs, name string) func(string) {
	return func(addr string) { fmt.Fprintf(to.out, "%s on %s\n", name, addr) }
}

type standinEngineCommand struct {
	Settings string `long:"settings" required:"yes" value-name:"FILE" description:"settings of the engine, TOML"`
	output   outputs
}

// Execute runs an engine until it is interrupted.
func (c *standinEngineCommand) Execute([]string) error {
	var spec mgstandin.EngineSpec
	if err := readStandin(c.Settings, &spec); err != nil {
		return err
	}
	ctx, cancel := interruptContext()
	defer cancel()
	return mgstandin.RunEngine(ctx, spec, printAddress(c.output, "engine"))
}

type standinServiceCommand struct {
	Settings string `long:"settings" required:"yes" value-name:"FILE" description:"settings of the service, TOML"`
	output   outputs
}

// Execute runs a plain service until it is interrupted.
func (c *standinServiceCommand) Execute([]string) error {
	var spec mgstandin.ServiceSpec
	if err := readStandin(c.Settings, &spec); err != nil {
		return err
	}
	ctx, cancel := interruptContext()
	defer cancel()
	return mgstandin.RunService(ctx, spec, printAddress(c.output, "service"))
}

type standinEventsCommand struct {
	Settings string `long:"settings" required:"yes" value-name:"FILE" description:"settings of the upstream, TOML"`
	output   outputs
}

// Execute runs an upstream that streams events until it is interrupted.
func (c *standinEventsCommand) Execute([]string) error {
	var spec mgstandin.EventsSpec
	if err := readStandin(c.Settings, &spec); err != nil {
		return err
	}
	ctx, cancel := interruptContext()
	defer cancel()
	return mgstandin.RunEvents(ctx, spec, printAddress(c.output, "events"))
}

type standinPlatformCommand struct {
	Settings string `long:"settings" required:"yes" value-name:"FILE" description:"settings of the platform, TOML"`
	output   outputs
}

// Execute runs a stand-in for the platform until it is interrupted. Relative paths in
// its settings start at the folder of the settings file.
func (c *standinPlatformCommand) Execute([]string) error {
	var spec mgstandin.PlatformSpec
	if err := readStandin(c.Settings, &spec); err != nil {
		return err
	}
	folder := filepath.Dir(c.Settings)
	spec.Table = resolvePath(folder, spec.Table)
	for i, value := range spec.Values {
		key, file, found := strings.Cut(value, "=")
		if found {
			spec.Values[i] = key + "=" + resolvePath(folder, file)
		}
	}
	ctx, cancel := interruptContext()
	defer cancel()
	return mgstandin.RunPlatform(ctx, spec, printAddress(c.output, "platform"))
}

// resolvePath returns the path of a file that is named relative to a folder.
func resolvePath(folder, file string) string {
	if file == "" || filepath.IsAbs(file) {
		return file
	}
	return filepath.Join(folder, file)
}
