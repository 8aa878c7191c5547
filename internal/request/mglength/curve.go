package mglength

import (
	"math"
	"math/bits"
)

// Buckets is the number of buckets of a histogram: four per octave from
// 8 tokens to beyond 131,072, the longest answer of a present model.
const Buckets = 4*14 + 2

// edges holds the lower edge of each bucket; the last bucket is open.
var edges = func() (e [Buckets + 1]float64) {
	for b := 1; b <= Buckets; b++ {
		e[b] = math.Floor(8 * math.Exp2(float64(b-1)/4))
	}
	return e
}()

// bucket returns the bucket that contains a length.
func bucket(length int) int {
	if length < 8 {
		return 0
	}
	octave := bits.Len(uint(length)) - 4
	b := min(4*octave+1, Buckets-1)
	for b < Buckets-1 && float64(length) >= edges[b+1] {
		b++
	}
	return b
}

// histogram counts the answers of one level. Instead of a decay of all earlier
// counts with each answer, weightUnit, the weight of a new answer, grows, so
// that earlier answers weigh less in comparison.
type histogram struct {
	atRisk     [Buckets]float32 // answers that passed the bucket or ended in it
	ended      [Buckets]float32
	weightUnit float32
	version    uint64 // number of changes
}

// weightGrowth is the factor by which weightUnit grows with each answer, so
// that counts from HalfLife answers before weigh half.
var weightGrowth = float32(math.Exp2(1.0 / HalfLife))

// maxWeightUnit is the weightUnit above which all counts are scaled back, well
// within the precision of a float32.
const maxWeightUnit = 1 << 16

func (c *histogram) addPassed(b int) {
	c.atRisk[b] += c.weight()
	c.version++
}

func (c *histogram) addEnded(b int) {
	w := c.weight()
	c.atRisk[b] += w
	c.ended[b] += w
	c.version++
	c.weightUnit = w * weightGrowth
	if c.weightUnit > maxWeightUnit {
		c.rescale()
	}
}

// weight returns weightUnit, which is 1 for the first answer.
func (c *histogram) weight() float32 {
	if c.weightUnit == 0 {
		c.weightUnit = 1
	}
	return c.weightUnit
}

func (c *histogram) rescale() {
	for b := range c.atRisk {
		c.atRisk[b] /= c.weightUnit
		c.ended[b] /= c.weightUnit
	}
	c.weightUnit = 1
}

// hazard returns the probability that an answer which reaches bucket b ends in
// it, given that probability at the parent level.
func (c *histogram) hazard(b int, parentHazard float64) float64 {
	w := float64(c.weight())
	return (float64(c.ended[b])/w + PriorWeight*parentHazard) / (float64(c.atRisk[b])/w + PriorWeight)
}

// Curve is a survival function of lengths. The zero Curve is that of answers
// that end at once.
type Curve struct {
	survival [Buckets + 1]float64 // probability of a length of at least the edge
	area     [Buckets + 1]float64 // integral of the survival beyond the edge
}

// priorHazard is the hazard of a log-logistic distribution with a median of 256
// tokens and the shape 2. The tail is long because an unknown answer may be
// long. Its mean is 402 tokens.
var priorHazard = func() (h [Buckets]float64) {
	survival := func(length float64) float64 { return 1 / (1 + math.Pow(length/256, 2)) }
	for b := range h {
		h[b] = 1 - survival(edges[b+1])/survival(edges[b])
	}
	h[Buckets-1] = 1
	return h
}()

// prior is the survival function of answers without any data.
var prior = func() (c Curve) {
	c.fill(func(b int) float64 { return priorHazard[b] })
	return c
}()

func (c *Curve) fill(hazard func(b int) float64) {
	c.survival[0] = 1
	for b := range Buckets {
		c.survival[b+1] = c.survival[b] * (1 - hazard(b))
	}
	c.survival[Buckets] = 0
	c.area[Buckets] = 0
	for b := Buckets - 1; b >= 0; b-- {
		width := edges[b+1] - edges[b]
		c.area[b] = c.area[b+1] + width*(c.survival[b]+c.survival[b+1])/2
	}
}

// Beyond returns the probability of a length beyond x: the unconditional
// survival function.
func (c *Curve) Beyond(x int) float64 {
	b := bucket(x)
	fraction := min((float64(x)-edges[b])/(edges[b+1]-edges[b]), 1)
	return c.survival[b] + (c.survival[b+1]-c.survival[b])*fraction
}

// areaBeyond returns the integral of the survival beyond x.
func (c *Curve) areaBeyond(x int) float64 {
	b := bucket(x)
	width := edges[b+1] - edges[b]
	remaining := max(edges[b+1]-float64(x), 0)
	survivalAtX := c.survival[b+1] + (c.survival[b]-c.survival[b+1])*remaining/width
	return c.area[b+1] + remaining*(survivalAtX+c.survival[b+1])/2
}

// Survival returns the conditional survival function: the probability that an
// answer which has produced tokens so far still runs after ahead more.
func (c *Curve) Survival(produced, ahead int) float64 {
	reached := c.Beyond(produced)
	if reached <= 0 {
		return 0
	}
	return c.Beyond(produced+ahead) / reached
}

// MeanRemaining returns the expected number of remaining tokens of an answer
// that has produced some and stops at limit, 0 for no limit.
func (c *Curve) MeanRemaining(produced, limit int) float64 {
	reached := c.Beyond(produced)
	if reached <= 0 || limit > 0 && produced >= limit {
		return 0
	}
	area := c.areaBeyond(produced)
	if limit > 0 {
		area -= c.areaBeyond(limit)
	}
	return area / reached
}
