package mgbench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
)

// Command implements the benchmark's command line, for go-flags.
type Command struct {
	Scenario string  `long:"scenario" default:"all" description:"scenarios, separated by commas, or all"`
	Policy   string  `long:"policy" default:"all" description:"policies, separated by commas, or all"`
	Seed     uint64  `long:"seed" default:"1" description:"first seed"`
	Seeds    int     `long:"seeds" default:"5" description:"number of seeds, from the first one on"`
	Out      string  `long:"out" description:"directory for runs.jsonl, summary.md, tables.md and plots; none is written without it"`
	Span     float64 `long:"span" description:"seconds of arrivals, in place of the scenarios' own"`
	Jobs     int     `long:"jobs" description:"runs at once; half of the processors without it"`

	// Progress receives the progress line; it may be nil.
	Progress io.Writer `no-flag:"true"`
}

// job is one run to be measured.
type job struct {
	scenario ScenarioSpec
	policy   policy
	seed     uint64
}

// Run measures the scenarios and policies that the flags select, writes the
// tables to stdout, and writes the runs and plots to the output directory.
func (c *Command) Run(ctx context.Context, stdout io.Writer) error {
	scenarios, err := c.scenarios()
	if err != nil {
		return fmt.Errorf("bench: %w", err)
	}
	chosen, err := c.policies()
	if err != nil {
		return fmt.Errorf("bench: %w", err)
	}
	runs, err := c.measure(ctx, c.jobs(scenarios, chosen))
	if err != nil {
		return fmt.Errorf("bench: %w", err)
	}
	for _, s := range scenarios {
		if err := writeTable(stdout, s, chosen, runs); err != nil {
			return fmt.Errorf("bench: %w", err)
		}
	}
	if c.Out == "" {
		return nil
	}
	if err := c.write(scenarios, chosen, runs); err != nil {
		return fmt.Errorf("bench: %w", err)
	}
	return nil
}

func (c *Command) scenarios() ([]ScenarioSpec, error) {
	all := Scenarios()
	if c.Scenario != "all" && c.Scenario != "" {
		all = nil
		for name := range strings.SplitSeq(c.Scenario, ",") {
			s, err := scenarioByName(name)
			if err != nil {
				return nil, err
			}
			all = append(all, s)
		}
	}
	for i := range all {
		if c.Span > 0 {
			all[i].Duration = c.Span
		}
	}
	return all, nil
}

func (c *Command) policies() ([]policy, error) {
	if c.Policy == "all" || c.Policy == "" {
		return append(policies(), movePolicies()...), nil
	}
	var chosen []policy
	for name := range strings.SplitSeq(c.Policy, ",") {
		p, err := policyByName(name)
		if err != nil {
			return nil, err
		}
		chosen = append(chosen, p)
	}
	return chosen, nil
}

func (c *Command) jobs(scenarios []ScenarioSpec, chosen []policy) []job {
	var jobs []job
	for _, s := range scenarios {
		for i := range max(c.Seeds, 1) {
			for _, p := range s.playablePolicies(chosen) {
				jobs = append(jobs, job{
					scenario: s,
					policy:   p,
					seed:     c.Seed + uint64(i),
				})
			}
		}
	}
	return jobs
}

// measure runs the jobs in parallel, and returns the runs in the order of the
// jobs.
func (c *Command) measure(ctx context.Context, jobs []job) ([]run, error) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(c.parallelism())
	runs := make([]run, len(jobs))
	var done atomic.Int64
	for i, j := range jobs {
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return fmt.Errorf("stopped before the end: %w", err)
			}
			runs[i] = j.measure()
			c.progress(int(done.Add(1)), len(jobs))
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	c.writeProgress("\n")
	return runs, nil
}

func (c *Command) parallelism() int {
	if c.Jobs > 0 {
		return c.Jobs
	}
	return max(runtime.GOMAXPROCS(0)/2, 1)
}

// progress rewrites the progress line whenever a run finishes.
func (c *Command) progress(done, all int) {
	c.writeProgress(fmt.Sprintf("\rbench: %d of %d runs", done, all))
}

func (c *Command) writeProgress(text string) {
	if c.Progress != nil {
		_, _ = io.WriteString(c.Progress, text)
	}
}

// measure runs the job. For the oracle it returns the best run of the oracle's
// orders.
func (j job) measure() run {
	w := newWorkload(j.scenario, j.seed)
	r := run{
		scenario: j.scenario.Name,
		policy:   j.policy.name,
		seed:     j.seed,
	}
	if j.policy.build != nil {
		r.meter = simulate(w, j.policy, j.seed)
		return r
	}
	for _, p := range oracleOrders() {
		m := simulate(w, p, j.seed)
		if r.meter == nil || m.inTime > r.meter.inTime {
			r.meter = m
		}
	}
	return r
}

// write writes the runs, the tables and the plots to the output directory.
func (c *Command) write(scenarios []ScenarioSpec, chosen []policy, runs []run) error {
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return fmt.Errorf("out: create the directory or name another: %w", err)
	}
	files := map[string]func(w io.Writer) error{
		"runs.jsonl": func(w io.Writer) error { return writeLines(w, runs) },
		"summary.md": func(w io.Writer) error { return writeSummary(w, scenarios, chosen, runs) },
		"tables.md":  func(w io.Writer) error { return writePages(w, scenarios, chosen, runs) },
	}
	for name, write := range files {
		if err := c.writeFile(name, write); err != nil {
			return err
		}
	}
	var group errgroup.Group
	group.SetLimit(c.parallelism())
	for _, s := range scenarios {
		group.Go(func() error { return writePlots(c.Out, s, chosen, runs) })
	}
	return group.Wait()
}

// writeFile writes one file to the output directory.
func (c *Command) writeFile(name string, write func(w io.Writer) error) error {
	f, err := os.Create(filepath.Join(c.Out, name))
	if err != nil {
		return fmt.Errorf("out: %w", err)
	}
	if err := errors.Join(write(f), f.Close()); err != nil {
		return fmt.Errorf("out: %s: %w", name, err)
	}
	return nil
}
