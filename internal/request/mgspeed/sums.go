package mgspeed

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// DefaultStep is the published time of a decoding step without running requests, ms.
	DefaultStep = 7.0
	// DefaultPerRun is the published time that each running request adds to a step, ms.
	DefaultPerRun = 0.12
	// DefaultReadRate is the rate of prefill beside running requests, prompt tokens per ms:
	// chunkTokens for each step with prefill.
	DefaultReadRate = 7.4
	// chunkTokens and prefillTime are the prompt tokens that a step prefills, and the
	// published time in ms that this adds to the step (14 tokens per ms).
	chunkTokens = 112.0
	prefillTime = 8.0
)

// A Line has the weighted sums of samples (x, y) that a linear regression needs: N is the sum
// of the weights. Lines of separate samples add up.
type Line struct {
	N, X, XX, Y, XY, YY float64
}

// MarshalJSON encodes l as the array N, X, XX, Y, XY, YY, with significantDigits.
func (l Line) MarshalJSON() ([]byte, error) {
	b := []byte{'['}
	for i, v := range []float64{l.N, l.X, l.XX, l.Y, l.XY, l.YY} {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendFloat(b, v, 'g', significantDigits, 64)
	}
	return append(b, ']'), nil
}

// UnmarshalJSON decodes the output of MarshalJSON.
func (l *Line) UnmarshalJSON(data []byte) error {
	var v [6]float64
	if err := json.Unmarshal(data, &v); err != nil {
		return fmt.Errorf("mgspeed: sums are not an array of six numbers: send them as this release does: %w", err)
	}
	*l = Line{
		N:  v[0],
		X:  v[1],
		XX: v[2],
		Y:  v[3],
		XY: v[4],
		YY: v[5],
	}
	return nil
}

// with returns l with another sample of a weight.
func (l Line) with(weight, x, y float64) Line {
	return l.plus(Line{
		N:  weight,
		X:  weight * x,
		XX: weight * x * x,
		Y:  weight * y,
		XY: weight * x * y,
		YY: weight * y * y,
	})
}

// plus returns the sum of two lines.
func (l Line) plus(o Line) Line {
	return Line{
		N:  l.N + o.N,
		X:  l.X + o.X,
		XX: l.XX + o.XX,
		Y:  l.Y + o.Y,
		XY: l.XY + o.XY,
		YY: l.YY + o.YY,
	}
}

// times returns l with all weights multiplied by a factor.
func (l Line) times(factor float64) Line {
	return Line{
		N:  factor * l.N,
		X:  factor * l.X,
		XX: factor * l.XX,
		Y:  factor * l.Y,
		XY: factor * l.XY,
		YY: factor * l.YY,
	}
}

// valid reports whether l can be the sums of samples.
func (l Line) valid() bool {
	for _, v := range []float64{l.N, l.X, l.XX, l.Y, l.XY, l.YY} {
		if !(v >= 0 && v <= maxSum) {
			return false
		}
	}
	return true
}

const (
	// significantDigits of sums are sent. The variance of ratios around 1 is the difference
	// of two sums; with five digits its error is 1e-4, far below any noise.
	significantDigits = 5
	// maxSum limits the sums that are accepted from another process.
	maxSum = 1e9
)

// Sums are the samples of one incarnation of an engine, as one entry has measured them, or
// several together.
type Sums struct {
	Upstream string         `json:"upstream"`
	Service  string         `json:"service"` // whose engines it is compared with
	Start    int64          `json:"born"`    // start of the incarnation as stated by the list, 0 if not stated
	Age      mgclock.Millis `json:"age"`     // time since the first sample
	Step     Line           `json:"step"`    // x: running requests by expected ms, y: measured by expected time
	Read     Line           `json:"read"`    // x: tokens of the request's own prompt, y: measured by expected time
}

// valid reports whether s can be used, wherever it comes from.
func (s Sums) valid() bool {
	return s.Upstream != "" && s.Age >= 0 && s.Step.valid() && s.Read.valid()
}

// plus returns the sums of the samples of two entries.
func (s Sums) plus(o Sums) Sums {
	s.Age = max(s.Age, o.Age)
	s.Step = s.Step.plus(o.Step)
	s.Read = s.Read.plus(o.Read)
	return s
}

// decayed returns s after some time without samples.
func (s Sums) decayed(elapsed mgclock.Millis) Sums {
	factor := math.Exp(-float64(max(elapsed, 0)) / float64(sampleDecay))
	s.Age += max(elapsed, 0)
	s.Step = s.Step.times(factor)
	s.Read = s.Read.times(factor)
	return s
}

// merge adds up sums by upstream. Those of an earlier incarnation than the latest that any
// entry has seen are dropped.
func merge(all []Sums) map[string]Sums {
	merged := map[string]Sums{}
	for _, s := range all {
		known, ok := merged[s.Upstream]
		switch {
		case !s.valid():
		case !ok || s.Start > known.Start:
			merged[s.Upstream] = s
		case s.Start == known.Start:
			merged[s.Upstream] = known.plus(s)
		}
	}
	return merged
}
