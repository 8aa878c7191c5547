package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/pelletier/go-toml/v2"

	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgstandin"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// tableKey stands in a platform's settings for the table, which is published
// as its manifest and pages.
const tableKey = "table"

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

// serveStandin serves until the process is told to stop.
func serveStandin(to streams, name, addr string, handler http.Handler) error {
	ctx, cancel := interrupted()
	defer cancel()
	server, err := mgstandin.Listen(addr, handler)
	if err != nil {
		return err
	}
	defer server.Close()
	fmt.Fprintf(to.out, "%s on %s\n", name, server.Addr())
	<-ctx.Done()
	return nil
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
	engine := mgstandin.NewEngine(spec, mgclock.Clock{})
	defer engine.Close()
	return serveStandin(c.to, "engine", spec.Listen, engine.Handler())
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
	return serveStandin(c.to, "service", spec.Listen, mgstandin.NewService(spec, mgclock.Clock{}).Handler())
}

type standinPlatform struct {
	Settings string `long:"settings" required:"yes" value-name:"FILE" description:"settings of the platform, TOML"`
	to       streams
}

// Execute runs a platform until it is interrupted. Its values' files are
// found beside the settings.
func (c *standinPlatform) Execute([]string) error {
	var spec mgstandin.PlatformSpec
	if err := readStandin(c.Settings, &spec); err != nil {
		return err
	}
	platform := mgstandin.NewPlatform(spec, mgclock.Clock{})
	for _, value := range spec.Values {
		data, err := os.ReadFile(filepath.Join(filepath.Dir(c.Settings), value.File))
		if err != nil {
			return fmt.Errorf("standin: value %s: give a file beside the settings: %w", value.Key, err)
		}
		if value.Key != tableKey {
			platform.Put(value.Key, data)
			continue
		}
		if _, err := platform.PutTable(data); err != nil {
			return err
		}
	}
	return serveStandin(c.to, "platform", spec.Listen, platform.Handler())
}
