package mgbench

import (
	"encoding/json"
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// figure is one measured quantity of a run.
type figure struct {
	name    string // key in the JSON lines
	heading string // column heading with the unit
	digits  int
	measure func(m *meter) float64
}

func newFigure(name, head string, digits int, of func(m *meter) float64) figure {
	return figure{
		name:    name,
		heading: head,
		digits:  digits,
		measure: of,
	}
}

// figureByName returns the figure of a name.
func figureByName(name string) figure {
	for _, f := range append(figures(), preferenceFigures()...) {
		if f.name == name {
			return f
		}
	}
	panic("mgbench: unknown figure " + name)
}

// preferenceFigures returns the figures per service preference. They are left
// out of the terminal's table, which would be too wide with them.
func preferenceFigures() []figure {
	return []figure{
		newFigure("steady99", "steady p99 ms", 1, func(m *meter) float64 { return quantile(m.steadyStreams.tokenGaps, 99) }),
		newFigure("steady999", "steady p99.9 ms", 1, func(m *meter) float64 { return quantile(m.steadyStreams.tokenGaps, 99.9) }),
		newFigure("wholestall", "whole stall s/100", 1, func(m *meter) float64 { return m.wholeStreams.perHundred(m.wholeStreams.stall / 1000) }),
		newFigure("wholepreempts", "whole preempt/100", 1, func(m *meter) float64 { return m.wholeStreams.perHundred(float64(m.wholeStreams.preempts)) }),
	}
}

// figures returns the figures in the order of the tables.
func figures() []figure {
	return []figure{
		newFigure("goodput", "answers/s", 2, (*meter).goodput),
		newFigure("tokens", "tokens/s", 0, (*meter).tokenRate),
		newFigure("away", "away %", 1, func(m *meter) float64 { return m.percent(m.refused) }),
		newFigure("expired", "expired %", 1, func(m *meter) float64 { return m.percent(m.expired) }),
		newFigure("late", "late", 0, func(m *meter) float64 { return float64(m.lateNotRun) }),
		newFigure("preempts", "preempt/100", 1, func(m *meter) float64 { return m.perHundred(float64(m.preempts)) }),
		newFigure("stall", "stall s/100", 1, func(m *meter) float64 { return m.perHundred(m.stall / 1000) }),
		newFigure("p50", "p50 ms", 1, func(m *meter) float64 { return quantile(m.tokenGaps, 50) }),
		newFigure("p95", "p95 ms", 1, func(m *meter) float64 { return quantile(m.tokenGaps, 95) }),
		newFigure("p99", "p99 ms", 1, func(m *meter) float64 { return quantile(m.tokenGaps, 99) }),
		newFigure("first50", "first50 ms", 0, func(m *meter) float64 { return quantile(m.firstTokenDelays, 50) }),
		newFigure("first95", "first95 ms", 0, func(m *meter) float64 { return quantile(m.firstTokenDelays, 95) }),
		newFigure("jain", "jain", 3, (*meter).fairness),
	}
}

// moveFigures returns the figures that only scenarios with reclaims show.
func moveFigures() []figure {
	return []figure{
		newFigure("cut", "cut/100", 2, func(m *meter) float64 { return m.percent(m.lostForGood) }),
		newFigure("reports", "reports on time %", 1, func(m *meter) float64 { return m.onTimePercent(0) }),
		newFigure("notes", "notes on time %", 1, func(m *meter) float64 { return m.onTimePercent(1) }),
		newFigure("paused", "paused/100", 2, func(m *meter) float64 { return m.percent(m.pausedByMove) }),
	}
}

// onTimePercent returns the percentage of a service's requests that were
// answered on time.
func (m *meter) onTimePercent(service int) float64 {
	return 100 * float64(m.onTimeCount[service]) / float64(max(m.requestCount[service], 1))
}

// figuresOf returns the figures in a scenario's table.
func figuresOf(s ScenarioSpec) []figure {
	if s.hasReclaims() {
		return append(moveFigures(), figures()...)
	}
	return figures()
}

func (m *meter) goodput() float64 { return float64(m.inTime) / m.scenario.Duration }

func (m *meter) tokenRate() float64 { return float64(m.tokens) / m.scenario.Duration }

func (m *meter) percent(count int) float64 {
	return 100 * float64(count) / float64(max(m.asked, 1))
}

// perHundred normalizes a total to 100 answers within their deadline.
func (m *meter) perHundred(total float64) float64 {
	return 100 * total / float64(max(m.inTime, 1))
}

// perHundred normalizes a total to 100 answers within their deadline, of the
// services of this preference.
func (s *streamMeter) perHundred(total float64) float64 {
	return 100 * total / float64(max(s.inTime, 1))
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) * microsecond
}

// run is a measured run.
type run struct {
	scenario string
	policy   string
	seed     uint64
	meter    *meter
}

// MarshalJSON encodes a run as an object keyed by the names of the figures. A
// figure that could not be measured is null.
func (r run) MarshalJSON() ([]byte, error) {
	line := map[string]any{
		"scenario": r.scenario,
		"policy":   r.policy,
		"seed":     r.seed,
		"asked":    r.meter.asked,
		"lost":     r.meter.lost,
		"refusals": r.meter.refusals,
	}
	for _, f := range append(figuresOf(r.meter.scenario), preferenceFigures()...) {
		if x := f.measure(r.meter); !math.IsNaN(x) {
			line[f.name] = x
		} else {
			line[f.name] = nil
		}
	}
	return json.Marshal(line)
}

// medianAndRange returns the median, minimum and maximum of a figure over
// runs, leaving out runs that could not measure it.
func medianAndRange(runs []run, f figure) (median, minimum, maximum float64) {
	var values []float64
	for _, r := range runs {
		if x := f.measure(r.meter); !math.IsNaN(x) {
			values = append(values, x)
		}
	}
	if len(values) == 0 {
		return math.NaN(), math.NaN(), math.NaN()
	}
	slices.Sort(values)
	middle := len(values) / 2
	median = values[middle]
	if len(values)%2 == 0 {
		median = (values[middle-1] + values[middle]) / 2
	}
	return median, values[0], values[len(values)-1]
}
