package mgbench

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"text/tabwriter"
)

// writeTable writes a scenario's medians as a table, with the range over the
// seeds below each row if there are several runs.
func writeTable(w io.Writer, s ScenarioSpec, policies []policy, runs []run) error {
	fmt.Fprintf(w, "%s: %s\n", s.Name, s.Description)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "policy\t")
	for _, f := range figuresOf(s) {
		fmt.Fprint(t, f.heading, "\t")
	}
	fmt.Fprintln(t)
	for _, p := range s.playablePolicies(policies) {
		writeRow(t, figuresOf(s), p.name, runsOf(runs, s.Name, p.name))
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("table: %w", err)
	}
	_, err := fmt.Fprintln(w)
	return err
}

func writeRow(w io.Writer, figures []figure, name string, runs []run) {
	fmt.Fprint(w, name, "\t")
	for _, f := range figures {
		median, _, _ := medianAndRange(runs, f)
		fmt.Fprint(w, formatNumber(median, f.digits), "\t")
	}
	fmt.Fprintln(w)
	if len(runs) < 2 {
		return
	}
	fmt.Fprint(w, "\t")
	for _, f := range figures {
		_, minimum, maximum := medianAndRange(runs, f)
		fmt.Fprint(w, formatNumber(minimum, f.digits), "..", formatNumber(maximum, f.digits), "\t")
	}
	fmt.Fprintln(w)
}

func formatNumber(x float64, digits int) string {
	if math.IsNaN(x) {
		return "-"
	}
	return strconv.FormatFloat(x, 'f', digits, 64)
}

// runsOf returns the runs of a scenario under a policy.
func runsOf(runs []run, scenario, policy string) []run {
	var chosen []run
	for _, r := range runs {
		if r.scenario == scenario && r.policy == policy {
			chosen = append(chosen, r)
		}
	}
	return chosen
}

// writeLines writes the runs as JSON lines.
func writeLines(w io.Writer, runs []run) error {
	encoder := json.NewEncoder(w)
	for _, r := range runs {
		if err := encoder.Encode(r); err != nil {
			return fmt.Errorf("runs: %w", err)
		}
	}
	return nil
}

// summarized lists the figures that get a table of their own over all
// scenarios.
var summarized = []string{"goodput", "tokens", "preempts", "stall", "p99", "first50", "away", "jain", "steady99", "steady999", "wholestall", "wholepreempts"}

// writeSummary writes a Markdown table of medians for each figure in
// summarized.
func writeSummary(w io.Writer, scenarios []ScenarioSpec, policies []policy, runs []run) error {
	page := new(strings.Builder)
	for _, name := range summarized {
		f := figureByName(name)
		fmt.Fprintf(page, "### %s\n\n| policy |", f.heading)
		for _, s := range scenarios {
			fmt.Fprintf(page, " %s |", s.Name)
		}
		fmt.Fprintf(page, "\n|---|%s\n", strings.Repeat("---|", len(scenarios)))
		for _, p := range policies {
			fmt.Fprintf(page, "| %s |", p.name)
			for _, s := range scenarios {
				median, _, _ := medianAndRange(runsOf(runs, s.Name, p.name), f)
				fmt.Fprintf(page, " %s |", formatNumber(median, f.digits))
			}
			fmt.Fprintln(page)
		}
		fmt.Fprintln(page)
	}
	if _, err := io.WriteString(w, page.String()); err != nil {
		return fmt.Errorf("summary: %w", err)
	}
	return nil
}

// writePages writes a Markdown table for each scenario: medians, with the
// ranges over the seeds in parentheses.
func writePages(w io.Writer, scenarios []ScenarioSpec, policies []policy, runs []run) error {
	page := new(strings.Builder)
	for _, s := range scenarios {
		fmt.Fprintf(page, "### %s\n\n%s.\n\n| policy |", s.Name, s.Description)
		for _, f := range figuresOf(s) {
			fmt.Fprintf(page, " %s |", f.heading)
		}
		fmt.Fprintf(page, "\n|---|%s\n", strings.Repeat("---|", len(figuresOf(s))))
		for _, p := range s.playablePolicies(policies) {
			writePageRow(page, figuresOf(s), p.name, runsOf(runs, s.Name, p.name))
		}
		fmt.Fprintln(page)
	}
	if _, err := io.WriteString(w, page.String()); err != nil {
		return fmt.Errorf("tables: %w", err)
	}
	return nil
}

func writePageRow(w io.Writer, figures []figure, name string, runs []run) {
	fmt.Fprintf(w, "| %s |", name)
	for _, f := range figures {
		median, minimum, maximum := medianAndRange(runs, f)
		fmt.Fprintf(w, " %s", formatNumber(median, f.digits))
		if minimum < maximum {
			fmt.Fprintf(w, " (%s to %s)", formatNumber(minimum, f.digits), formatNumber(maximum, f.digits))
		}
		fmt.Fprint(w, " |")
	}
	fmt.Fprintln(w)
}
