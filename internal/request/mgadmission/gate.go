package mgadmission

import (
	"math"
	"slices"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mglength"
)

// The defaults of a Spec. How much memory must be left depends on what matters to the
// service's callers. A whole answer is admitted while the batch outgrows memory with a
// probability of some 0.6 % at any one horizon. A steady one must leave more: a smaller
// batch has shorter steps, and an answer that isn't preempted has no gap. The Pareto front
// between them is measured in docs/MEASUREMENTS.md.
//
// A short steady answer may use the memory that the others leave, up to a probability of 7
// %: with one z for all, a lookup would wait until a report ends.
const (
	DefaultBatch  = 64
	DefaultFree   = 0.1
	DefaultShort  = 1.5
	DefaultSteady = 4
	DefaultWhole  = 2.5
)

// stride is the number of tokens after which an answer's projection is recomputed. With 16,
// one block of an engine's memory, the projection of a batch of 64 has an error below 64·16
// tokens, and the cost per token is a sixteenth of that of a projection.
const stride = 16

// horizons holds the numbers of steps ahead for which memory is projected. Memory is
// outgrown within some thousand steps or not at all: by then most answers have ended.
var horizons = [...]int{1, 16, 32, 64, 128, 256, 512, 1024, 2048, 4096, 8192}

// projection is the expected memory of an answer, or of a batch, at each horizon.
type projection struct {
	mean     [len(horizons)]float64
	variance [len(horizons)]float64
}

// An Allocation is one answer's part of the memory. The zero Allocation holds nothing.
type Allocation struct {
	projection  projection
	prompt      int // tokens
	produced    int // tokens
	projectedAt int // value of produced when the projection was computed
	max         int // maximum tokens that it may produce
	isRunning   bool
}

// Tokens returns the tokens of memory that the answer holds.
func (s *Allocation) Tokens() int { return s.prompt + s.produced }

// A Gate admits requests to one upstream. The zero Gate has the defaults of a Spec and is
// ready for use.
type Gate struct {
	spec       Spec
	projection projection
	used       int64 // tokens of memory that the admitted answers hold
	reserved   int64
	running    int                // answers
	reports    [reportCount]int64 // memory that the engine reported beyond used
	nextReport int
}

// reportCount is the number of an engine's reports that must agree on memory which the gate
// doesn't know of. A single report is out of date while answers end.
const reportCount = 8

// NewGate returns a gate for an idle upstream.
func NewGate(spec Spec) *Gate {
	return &Gate{
		spec: spec,
	}
}

// Running returns the number of admitted answers that have not ended.
func (g *Gate) Running() int { return g.running }

// Used returns the tokens of memory that they hold.
func (g *Gate) Used() int64 { return g.used }

// Headroom returns the free tokens of memory, or 0 where the memory is unlimited.
func (g *Gate) Headroom() int64 { return max(g.available()-g.used, 0) }

// RecordUsed records the engine's own count of used memory. What all recent reports show
// beyond the gate's count is in use by something else.
func (g *Gate) RecordUsed(tokens int64) {
	g.reports[g.nextReport%reportCount] = max(tokens-g.used, 0)
	g.nextReport++
}

// SetBatch sets the maximum number of running answers, 0 for DefaultBatch. Answers beyond a
// lower limit keep running.
func (g *Gate) SetBatch(batch int) { g.spec.Batch = batch }

// available returns the memory that the gate can assign.
func (g *Gate) available() int64 {
	return g.spec.Memory - slices.Min(g.reports[:])
}

// CanFit reports whether a prompt and one token fit the memory at all.
func (g *Gate) CanFit(prompt int) bool {
	return g.spec.Memory <= 0 || int64(prompt) < g.spec.Memory
}

// Full reports whether a full batch runs, so that nothing may start.
func (g *Gate) Full() bool { return g.running >= g.batch() }

// CanAdmit reports whether c may start now.
func (g *Gate) CanAdmit(c Candidate) bool {
	switch {
	case g.Full():
		return false
	case g.spec.Memory <= 0:
		return true
	case g.running == 0:
		return g.CanFit(c.Prompt)
	}
	available := g.available()
	if g.used+int64(c.Prompt+g.running) >= available {
		return false
	}
	switch g.spec.Rule {
	case CurrentSize:
		return true
	case Watermark:
		return float64(g.used+int64(c.Prompt)) <= (1-g.freeShare())*float64(available)
	case Reserve:
		return g.reserved+g.maxTokens(c.Prompt, c.Max) <= available
	default:
		return g.staysWithin(c, float64(available))
	}
}

// Admit admits c and initializes its allocation. The caller keeps the allocation until
// Release.
func (g *Gate) Admit(s *Allocation, c Candidate) {
	*s = Allocation{
		prompt:    c.Prompt,
		max:       c.Max,
		isRunning: true,
	}
	g.running++
	g.used += int64(c.Prompt)
	g.reserved += g.maxTokens(c.Prompt, c.Max)
	g.UpdateProjection(s, c.Curve)
}

// RecordProgress records the total number of tokens that the answer has produced. It
// reports whether UpdateProjection is due. An answer that the engine preempts doesn't grow:
// its memory stays counted, so that nothing is admitted that would keep it from being
// resumed.
func (g *Gate) RecordProgress(s *Allocation, produced int) bool {
	if !s.isRunning || produced <= s.produced {
		return false
	}
	g.used += int64(produced - s.produced)
	s.produced = produced
	return g.spec.Rule == OverflowProbability && produced-s.projectedAt >= stride
}

// Release releases the answer's memory.
func (g *Gate) Release(s *Allocation) {
	if !s.isRunning {
		return
	}
	g.running--
	g.used -= int64(s.Tokens())
	g.reserved -= g.maxTokens(s.prompt, s.max)
	g.projection.subtract(&s.projection)
	if g.running == 0 {
		g.projection = projection{} // avoids drift of the sums
	}
	*s = Allocation{}
}

// staysWithin reports whether the batch with c stays within memory at each horizon.
func (g *Gate) staysWithin(c Candidate, available float64) bool {
	z := g.z(c)
	var sum projection
	sum.project(&Allocation{
		prompt: c.Prompt,
		max:    c.Max,
	}, c.Curve)
	sum.add(&g.projection)
	for k := range horizons {
		if sum.mean[k]+z*math.Sqrt(max(sum.variance[k], 0)) > available {
			return false
		}
	}
	return true
}

// UpdateProjection recomputes the answer's projection from the curve of its length.
func (g *Gate) UpdateProjection(s *Allocation, curve *mglength.Curve) {
	if g.spec.Rule != OverflowProbability || g.spec.Memory <= 0 || !s.isRunning {
		return
	}
	g.projection.subtract(&s.projection)
	s.projectedAt = s.produced
	s.projection.project(s, curve)
	g.projection.add(&s.projection)
}

// project sets mean and variance of one answer's memory at each horizon: its whole context
// with the probability that it still runs, else nothing. Without a curve it runs until its
// maximum length.
func (o *projection) project(s *Allocation, curve *mglength.Curve) {
	survival := 1.0
	if curve != nil {
		survival = max(curve.Beyond(s.produced), math.SmallestNonzeroFloat64)
	}
	*o = projection{}
	for k, horizon := range horizons {
		length := s.produced + horizon
		if s.max > 0 && length >= s.max {
			return
		}
		probability := 1.0
		if curve != nil {
			probability = curve.Beyond(length) / survival
		}
		tokens := float64(s.prompt + length)
		o.mean[k] = tokens * probability
		o.variance[k] = tokens * tokens * probability * (1 - probability)
	}
}

func (o *projection) add(p *projection) {
	for k := range horizons {
		o.mean[k] += p.mean[k]
		o.variance[k] += p.variance[k]
	}
}

func (o *projection) subtract(p *projection) {
	for k := range horizons {
		o.mean[k] -= p.mean[k]
		o.variance[k] -= p.variance[k]
	}
}

// maxTokens returns the maximum memory of an answer, in tokens.
func (g *Gate) maxTokens(prompt, limit int) int64 {
	if limit <= 0 {
		return g.spec.Memory
	}
	return int64(prompt) + int64(limit)
}

func (g *Gate) batch() int {
	if g.spec.Batch > 0 {
		return g.spec.Batch
	}
	return DefaultBatch
}

func (g *Gate) freeShare() float64 {
	if g.spec.Free > 0 {
		return g.spec.Free
	}
	return DefaultFree
}

// z returns the number of standard deviations that must be left free for c.
func (g *Gate) z(c Candidate) float64 {
	switch {
	case c.Whole:
		return valueOr(g.spec.Whole, DefaultWhole)
	case g.isShort(c):
		return valueOr(g.spec.Short, DefaultShort)
	default:
		return valueOr(g.spec.Steady, DefaultSteady)
	}
}

// isShort reports whether c is expected to become no larger than the average of what runs.
// If the bound were a fixed share of the memory instead, the same short answer would count
// as short on a large engine and as long on a small one.
func (g *Gate) isShort(c Candidate) bool {
	size := float64(c.Prompt)
	if c.Curve != nil {
		size += c.Curve.MeanRemaining(0, c.Max)
	}
	return size*float64(g.running) <= float64(g.used)
}

// valueOr returns value where it is set, else fallback.
func valueOr(value, fallback float64) float64 {
	if value > 0 {
		return value
	}
	return fallback
}
