package mgadmission

import (
	"math"
	"slices"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mglength"
)

// The defaults of a Spec. The room that an answer leaves depends on what its
// service's callers mind. A whole answer is let in while the batch outgrows
// memory with a chance of some 0.6 % at one moment. A steady one leaves more: a
// smaller batch has shorter steps, and what isn't preempted has no gap. The front
// between them is measured in docs/MEASUREMENTS.md.
//
// A short steady answer may use the room that the others leave, up to a chance
// of 7 %: with one z for all, a lookup waits until a report ends.
const (
	DefaultBatch  = 64
	DefaultFree   = 0.1
	DefaultShort  = 1.5
	DefaultSteady = 4
	DefaultWhole  = 2.5
)

// stride is the number of tokens after which an answer's part in the outlook
// is computed anew. At 16, one block of an engine's memory, a batch of 64
// looks ahead with an error below 64·16 tokens, and the cost per token is a
// sixteenth of that of an outlook.
const stride = 16

// moments holds the steps ahead at which the batch is weighed. Memory is
// outgrown within some thousand steps or not at all: by then most answers have
// ended.
var moments = [...]int{1, 16, 32, 64, 128, 256, 512, 1024, 2048, 4096, 8192}

// outlook is what an answer, or a batch, is going to hold at each moment.
type outlook struct {
	mean     [len(moments)]float64
	variance [len(moments)]float64
}

// A Share is one answer's part of the memory. The zero Share holds nothing.
type Share struct {
	outlook  outlook
	prompt   int // tokens
	produced int // tokens
	weighed  int // produced when outlook was computed
	max      int // tokens that it may produce at most
	running  bool
}

// Held returns the tokens of memory that the answer holds.
func (s *Share) Held() int { return s.prompt + s.produced }

// A Gate lets requests into one upstream. The zero Gate has the defaults of a
// Spec and is ready for use.
type Gate struct {
	spec     Spec
	outlook  outlook
	used     int64 // tokens of memory that the answers let in hold
	reserved int64
	running  int            // answers
	reports  [reports]int64 // of memory that the engine holds beyond used
	report   int
}

// reports is the number of an engine's reports that must agree on memory which
// the gate doesn't know of. One report alone is out of date while answers end.
const reports = 8

// NewGate returns a gate with nothing behind it.
func NewGate(spec Spec) *Gate {
	return &Gate{
		spec: spec,
	}
}

// Running returns the number of answers behind the gate.
func (g *Gate) Running() int { return g.running }

// Used returns the tokens of memory that they hold.
func (g *Gate) Used() int64 { return g.used }

// Headroom returns the tokens of memory that are free, or 0 without a bound.
func (g *Gate) Headroom() int64 { return max(g.room()-g.used, 0) }

// Reported takes in the engine's own count of used memory. What all of the
// last reports show beyond the gate's count is in use by something else.
func (g *Gate) Reported(tokens int64) {
	g.reports[g.report%reports] = max(tokens-g.used, 0)
	g.report++
}

// Limit sets the most answers at a time from now on, 0 for DefaultBatch. What
// runs beyond it goes on.
func (g *Gate) Limit(batch int) { g.spec.Batch = batch }

// room returns the memory that is the gate's to fill.
func (g *Gate) room() int64 {
	return g.spec.Memory - slices.Min(g.reports[:])
}

// Holds reports whether a prompt and one token fit the memory at all.
func (g *Gate) Holds(prompt int) bool {
	return g.spec.Memory <= 0 || int64(prompt) < g.spec.Memory
}

// Full reports whether a batch runs, so that nothing may start.
func (g *Gate) Full() bool { return g.running >= g.batch() }

// Admits reports whether c may start now.
func (g *Gate) Admits(c Candidate) bool {
	switch {
	case g.Full():
		return false
	case g.spec.Memory <= 0:
		return true
	case g.running == 0:
		return g.Holds(c.Prompt)
	}
	room := g.room()
	if g.used+int64(c.Prompt+g.running) >= room {
		return false
	}
	switch g.spec.Rule {
	case Now:
		return true
	case Mark:
		return float64(g.used+int64(c.Prompt)) <= (1-g.free())*float64(room)
	case Reserve:
		return g.reserved+g.most(c.Prompt, c.Max) <= room
	default:
		return g.within(c, float64(room))
	}
}

// Enter lets c in. The share is the caller's to keep until Leave.
func (g *Gate) Enter(s *Share, c Candidate) {
	*s = Share{
		prompt:  c.Prompt,
		max:     c.Max,
		running: true,
	}
	g.running++
	g.used += int64(c.Prompt)
	g.reserved += g.most(c.Prompt, c.Max)
	g.Weigh(s, c.Curve)
}

// Grow tells that the answer has produced a number of tokens in all. It reports
// whether Weigh is due. An answer that the engine preempts just doesn't grow: its
// memory stays counted, so that nothing is let in which would keep it out.
func (g *Gate) Grow(s *Share, produced int) bool {
	if !s.running || produced <= s.produced {
		return false
	}
	g.used += int64(produced - s.produced)
	s.produced = produced
	return g.spec.Rule == Outgrow && produced-s.weighed >= stride
}

// Leave gives the answer's memory back.
func (g *Gate) Leave(s *Share) {
	if !s.running {
		return
	}
	g.running--
	g.used -= int64(s.Held())
	g.reserved -= g.most(s.prompt, s.max)
	g.outlook.subtract(&s.outlook)
	if g.running == 0 {
		g.outlook = outlook{} // no drift of the sums
	}
	*s = Share{}
}

// within reports whether the batch with c stays within memory at each moment.
func (g *Gate) within(c Candidate, room float64) bool {
	z := g.z(c)
	var sum outlook
	sum.fill(&Share{
		prompt: c.Prompt,
		max:    c.Max,
	}, c.Curve)
	sum.add(&g.outlook)
	for k := range moments {
		if sum.mean[k]+z*math.Sqrt(max(sum.variance[k], 0)) > room {
			return false
		}
	}
	return true
}

// Weigh computes the answer's outlook anew from the curve of its length.
func (g *Gate) Weigh(s *Share, curve *mglength.Curve) {
	if g.spec.Rule != Outgrow || g.spec.Memory <= 0 || !s.running {
		return
	}
	g.outlook.subtract(&s.outlook)
	s.weighed = s.produced
	s.outlook.fill(s, curve)
	g.outlook.add(&s.outlook)
}

// fill sets mean and variance of what one answer holds at each moment: all of
// its context with the chance that it still runs, else nothing. Without a
// curve it runs on.
func (o *outlook) fill(s *Share, curve *mglength.Curve) {
	given := 1.0
	if curve != nil {
		given = max(curve.Beyond(s.produced), math.SmallestNonzeroFloat64)
	}
	*o = outlook{}
	for k, ahead := range moments {
		length := s.produced + ahead
		if s.max > 0 && length >= s.max {
			return
		}
		chance := 1.0
		if curve != nil {
			chance = curve.Beyond(length) / given
		}
		held := float64(s.prompt + length)
		o.mean[k] = held * chance
		o.variance[k] = held * held * chance * (1 - chance)
	}
}

func (o *outlook) add(p *outlook) {
	for k := range moments {
		o.mean[k] += p.mean[k]
		o.variance[k] += p.variance[k]
	}
}

func (o *outlook) subtract(p *outlook) {
	for k := range moments {
		o.mean[k] -= p.mean[k]
		o.variance[k] -= p.variance[k]
	}
}

// most returns the tokens that an answer can grow to.
func (g *Gate) most(prompt, limit int) int64 {
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

func (g *Gate) free() float64 {
	if g.spec.Free > 0 {
		return g.spec.Free
	}
	return DefaultFree
}

// z returns the deviations of room that c must leave.
func (g *Gate) z(c Candidate) float64 {
	switch {
	case c.Whole:
		return either(g.spec.Whole, DefaultWhole)
	case g.short(c):
		return either(g.spec.Short, DefaultShort)
	default:
		return either(g.spec.Steady, DefaultSteady)
	}
}

// short reports whether c is expected to grow no larger than what runs is on
// average. A share of the memory as the bound would take notes for short on
// large engines and for long on small ones.
func (g *Gate) short(c Candidate) bool {
	size := float64(c.Prompt)
	if c.Curve != nil {
		size += c.Curve.Mean(0, c.Max)
	}
	return size*float64(g.running) <= float64(g.used)
}

// either returns value where it is set.
func either(value, otherwise float64) float64 {
	if value > 0 {
		return value
	}
	return otherwise
}
