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

// interrupted returns a context that ends with SIGINT or SIGTERM.
func interrupted() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// readStandin reads a stand-in's settings.
func readStandin(path string, spec any) error {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("standin: can't read the settings: name a file with --settings: %w", err)
	}
	defer file.Close()
	if err := toml.NewDecoder(file).DisallowUnknownFields().Decode(spec); err != nil {
		return fmt.Errorf("standin: %s: mend the file: %w", path, err)
	}
	return nil
}

// listening tells which address a stand-in has.
func listening(to streams, name string) func(string) {
	return func(addr string) { fmt.Fprintf(to.out, "%s on %s\n", name, addr) }
}

type standinEngine struct {
	Settings string `long:"settings" required:"yes" value-name:"FILE" description:"settings of the engine, TOML"`
	to       streams
}

// Execute runs an engine until it is interrupted.
func (c *standinEngine) Execute([]string) error {
	var spec mgstandin.EngineSpec
	if err := readStandin(c.Settings, &spec); err != nil {
		return err
	}
	ctx, cancel := interrupted()
	defer cancel()
	return mgstandin.RunEngine(ctx, spec, listening(c.to, "engine"))
}

type standinService struct {
	Settings string `long:"settings" required:"yes" value-name:"FILE" description:"settings of the service, TOML"`
	to       streams
}

// Execute runs a plain service until it is interrupted.
func (c *standinService) Execute([]string) error {
	var spec mgstandin.ServiceSpec
	if err := readStandin(c.Settings, &spec); err != nil {
		return err
	}
	ctx, cancel := interrupted()
	defer cancel()
	return mgstandin.RunService(ctx, spec, listening(c.to, "service"))
}

type standinPlatform struct {
	Settings string `long:"settings" required:"yes" value-name:"FILE" description:"settings of the platform, TOML"`
	to       streams
}

// Execute runs a platform until it is interrupted. Its files are named from
// the settings' folder.
func (c *standinPlatform) Execute([]string) error {
	var spec mgstandin.PlatformSpec
	if err := readStandin(c.Settings, &spec); err != nil {
		return err
	}
	folder := filepath.Dir(c.Settings)
	spec.Table = beside(folder, spec.Table)
	for i, value := range spec.Values {
		key, file, found := strings.Cut(value, "=")
		if found {
			spec.Values[i] = key + "=" + beside(folder, file)
		}
	}
	ctx, cancel := interrupted()
	defer cancel()
	return mgstandin.RunPlatform(ctx, spec, listening(c.to, "platform"))
}

// beside returns a file's path from a folder.
func beside(folder, file string) string {
	if file == "" || filepath.IsAbs(file) {
		return file
	}
	return filepath.Join(folder, file)
}
