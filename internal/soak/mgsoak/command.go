package mgsoak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Command holds the command line of the soak, for go-flags.
type Command struct {
	Size
	Seed    uint64  `long:"seed" default:"1" description:"first seed"`
	Seeds   int     `long:"seeds" default:"1" description:"number of seeds, from the first one on"`
	Minutes float64 `long:"minutes" default:"0.5" description:"length of each run"`
	Replay  string  `long:"replay" description:"file with a schedule, as a run writes it, in place of the seed's"`
	Out     string  `long:"out" description:"directory for schedules, findings and plots; none is written without it"`

	// Binary is the path of the program under test. Empty means this program.
	Binary string `no-flag:"true"`
}

// runRecord is the JSON file written for a run: the schedule, which can be replayed,
// and the findings.
type runRecord struct {
	Seed     uint64         `json:"seed"`
	Size     Size           `json:"size"`
	Length   mgclock.Millis `json:"length"`
	Faults   []Fault        `json:"faults"`
	Findings []Finding      `json:"findings"`
}

// Run runs the seeds one after another and returns an error if a promise was broken.
func (c *Command) Run(ctx context.Context, out io.Writer) error {
	if c.Binary == "" {
		self, err := os.Executable()
		if err != nil {
			return fmt.Errorf("soak: the path of this program is unknown: run it by its path: %w", err)
		}
		c.Binary = self
	}
	broken := 0
	for i := range max(c.Seeds, 1) {
		r, err := c.prepare(c.Seed + uint64(i))
		if err != nil {
			return fmt.Errorf("soak: %w", err)
		}
		if err := c.runOne(ctx, r, out); err != nil {
			return fmt.Errorf("soak: %w", err)
		}
		if len(r.findings) > 0 {
			broken++
		}
	}
	if broken > 0 {
		return fmt.Errorf("soak: promises were broken under %d of %d seeds: replay one with --seed and the same sizes", broken, max(c.Seeds, 1))
	}
	return nil
}

// prepare returns the run of a seed, or the recorded run to replay.
func (c *Command) prepare(seed uint64) (*run, error) {
	length := mgclock.Millis(c.Minutes * float64(mgclock.Minute))
	if c.Replay == "" {
		return &run{
			seed:   seed,
			size:   c.Size,
			faults: Draw(seed, c.Size, length),
			length: length,
		}, nil
	}
	data, err := os.ReadFile(c.Replay)
	if err != nil {
		return nil, fmt.Errorf("replay: name a file that a run has written: %w", err)
	}
	var recorded runRecord
	if err := json.Unmarshal(data, &recorded); err != nil {
		return nil, fmt.Errorf("replay %s: %w", c.Replay, err)
	}
	return &run{
		seed:   recorded.Seed,
		size:   recorded.Size,
		faults: recorded.Faults,
		length: recorded.Length,
	}, nil
}

// runOne executes a run and prints its summary and findings.
func (c *Command) runOne(ctx context.Context, r *run, out io.Writer) error {
	folder, err := os.MkdirTemp("", "mgsoak")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	if err := r.play(ctx, c.Binary, folder); err != nil {
		return err
	}
	fmt.Fprintln(out, r.summary())
	for _, f := range r.findings {
		fmt.Fprintln(out, "  ", f)
	}
	if c.Out == "" {
		return nil
	}
	return c.write(r)
}

// write saves the run's record and plot in the output directory.
func (c *Command) write(r *run) error {
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return fmt.Errorf("out: create the directory or name another: %w", err)
	}
	data, err := json.MarshalIndent(runRecord{
		Seed:     r.seed,
		Size:     r.size,
		Length:   r.length,
		Faults:   r.faults,
		Findings: r.findings,
	}, "", "  ")
	if err != nil {
		return err
	}
	name := filepath.Join(c.Out, fmt.Sprintf("soak-%d", r.seed))
	if err := os.WriteFile(name+".json", data, 0o644); err != nil {
		return fmt.Errorf("out: %w", err)
	}
	return r.plot(name + ".png")
}
