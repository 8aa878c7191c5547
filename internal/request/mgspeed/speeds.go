package mgspeed

import (
	"cmp"
	"math"
	"slices"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// priorWeight is the number of samples that the reference counts as.
	priorWeight = 2.0
	// minKnownWeight is the weight of samples from which an engine counts for the reference
	// and may deviate, and minKnownEngines the number of such engines from which there is a
	// reference.
	minKnownWeight  = 3.0
	minKnownEngines = 3
	// minFactor is the ratio to the reference, or its inverse, from which an engine
	// deviates. Engines that are 2.5 times as slow for 15 % of the time, in spells, have a
	// limited mean ratio of 1.1 to 1.2.
	minFactor = 1.25
	// certainErrors is the number of standard errors by which an engine that deviates
	// differs from the reference. With 2, one of 12 equal engines deviated for 3 s in six
	// plays of 40 s at 0.9 of their load; with 2.5 and 3, none did.
	certainErrors = 3.0
	// certainSlopeErrors is the same for the slope of an engine whose level deviates: it is one of few, so that noise
	// that looks like a slope is rarer among them.
	certainSlopeErrors = 2.0
	// minStepDeviation and minReadDeviation are the least standard deviations of a sample.
	// Few samples may be alike by chance. Prefill depends on prompts of other entries,
	// which are known late.
	minStepDeviation = 0.12
	minReadDeviation = 0.3
	// slopeWeight shrinks a slope to 0, in units of the squared deviation of x.
	slopeWeight = 0.1
	// minSlope is the additional time per running request in ms from which a slope counts:
	// the default once more.
	minSlope = DefaultPerRun
	// prefillShare is the assumed share of steps with prefill. It is about one half at 0.6
	// of an engine's capacity and nearly one at its capacity.
	prefillShare = 0.5
)

// A Speed is the estimated speed of an incarnation of an engine that deviates. Levels are
// ratios of measured times to the expected ones.
type Speed struct {
	Upstream string  `json:"upstream"`
	Service  string  `json:"service"`
	Start    int64   `json:"born"`
	Level    float64 `json:"level"`           // of steps
	Slope    float64 `json:"slope,omitempty"` // additional ms of a step per running request, beside Level
	Base     float64 `json:"base"`            // level of steps without running requests; Level if there is no slope
	Read     float64 `json:"read"`            // level of prefill
	Error    float64 `json:"error"`           // standard error of Level
	ReadErr  float64 `json:"readError"`       // standard error of Read
}

// rounded returns s with the digits that a message carries.
func (s Speed) rounded() Speed {
	for _, v := range []*float64{&s.Level, &s.Slope, &s.Base, &s.Read, &s.Error, &s.ReadErr} {
		*v = math.Round(*v*1000) / 1000
	}
	return s
}

// A Reference describes the typical engine of a service.
type Reference struct {
	Service string  `json:"service"`
	Level   float64 `json:"level"`  // of steps
	Read    float64 `json:"read"`   // of prefill
	Prompt  float64 `json:"prompt"` // mean tokens of a prompt, 0 if not known
	Known   int     `json:"known"`  // engines with enough samples
	Mean    float64 `json:"mean"`   // of steps over these engines, of which those that don't deviate count as typical
	Samples float64 `json:"samples"`
}

// A Report has the references of the services, and the speeds of the engines that deviate.
type Report struct {
	References []Reference `json:"references,omitempty"`
	Speeds     []Speed     `json:"speeds,omitempty"`
}

// Speeds are the known speeds of engines. It doesn't change, and a nil *Speeds knows none.
type Speeds struct {
	report     Report
	byUpstream map[string]Speed
	byService  map[string]Reference
	known      map[string]int64 // starts of the engines with enough samples, by upstream; nil if they aren't known here
}

// NewSpeeds returns the speeds of a report. It ignores rows that can't be used.
func NewSpeeds(report Report) *Speeds {
	s := &Speeds{
		report:     report,
		byUpstream: make(map[string]Speed, len(report.Speeds)),
		byService:  make(map[string]Reference, len(report.References)),
	}
	for _, r := range report.References {
		if r.Level > 0 && r.Read > 0 {
			s.byService[r.Service] = r
		}
	}
	for _, row := range report.Speeds {
		if row.Level > 0 && row.Base > 0 && row.Read > 0 && row.Slope >= 0 {
			s.byUpstream[row.Upstream] = row
		}
	}
	return s
}

// Estimate computes the speeds of engines from the sums of all entries.
func Estimate(all []Sums) *Speeds {
	byService := map[string][]Sums{}
	for _, s := range merge(all) {
		byService[s.Service] = append(byService[s.Service], s)
	}
	var report Report
	known := map[string]int64{}
	for service, engines := range byService {
		r := referenceOf(service, engines)
		difference := 0.0
		for _, s := range engines {
			row, deviates := estimate(s, r.Level, r.Read)
			if deviates {
				report.Speeds = append(report.Speeds, row.rounded())
			}
			if s.Step.N >= minKnownWeight {
				known[s.Upstream] = s.Start
				difference += row.Level - r.Level
			}
		}
		r.Mean = r.Level + difference/float64(max(r.Known, 1))
		report.References = append(report.References, r)
	}
	slices.SortFunc(report.References, func(a, b Reference) int { return cmp.Compare(a.Service, b.Service) })
	slices.SortFunc(report.Speeds, func(a, b Speed) int { return cmp.Compare(a.Upstream, b.Upstream) })
	speeds := NewSpeeds(report)
	speeds.known = known
	return speeds
}

// referenceOf returns the reference of the engines of a service.
func referenceOf(service string, engines []Sums) Reference {
	r := Reference{
		Service: service,
	}
	var prompts Line
	var steps, reads []float64
	for _, s := range engines {
		prompts = prompts.plus(s.Read)
		r.Samples += s.Step.N + s.Read.N
		if s.Step.N >= minKnownWeight {
			steps = append(steps, s.Step.Y/s.Step.N)
		}
		if s.Read.N >= minKnownWeight {
			reads = append(reads, s.Read.Y/s.Read.N)
		}
	}
	r.Known = len(steps)
	r.Level, r.Read = medianLevel(steps), medianLevel(reads)
	if prompts.N > 0 {
		r.Prompt = math.Round(prompts.X / prompts.N)
	}
	return r
}

// medianLevel returns the (lower) median of the engines' mean ratios, or 1 if few are known.
func medianLevel(means []float64) float64 {
	if len(means) < minKnownEngines {
		return 1
	}
	slices.Sort(means)
	return means[(len(means)-1)/2]
}

// estimate returns an engine's speed and whether it deviates from the references of steps
// and prefill. What doesn't deviate has the reference's value.
func estimate(s Sums, level, read float64) (row Speed, deviates bool) {
	row = Speed{
		Upstream: s.Upstream,
		Service:  s.Service,
		Start:    s.Start,
		Level:    level,
		Base:     level,
		Read:     read,
	}
	step := independent(s.Step, s.Age)
	mean, sigma, meanError := posterior(step, level, minStepDeviation)
	row.Error = meanError
	readPrior := read
	// With fewer samples there is no reference yet to compare with.
	if s.Step.N >= minKnownWeight && isDeviation(mean, level, meanError) {
		deviates = true
		row.Level, row.Base = mean, mean
		// An engine whose steps are slow prefills slowly as well.
		readPrior = read * mean / level
	}
	slopeErrors := certainErrors
	if deviates {
		slopeErrors = certainSlopeErrors
	}
	if base, slope, certain := fitSlope(step, mean, sigma, slopeErrors); certain {
		deviates = true
		row.Level, row.Base, row.Slope = mean, base, slope
	}
	mean, _, row.ReadErr = posterior(independent(s.Read, s.Age), readPrior, minReadDeviation)
	if (deviates || s.Read.N >= minKnownWeight) && isDeviation(mean, read, row.ReadErr) {
		deviates = true
		row.Read = mean
	}
	return row, deviates
}

// independent scales the weights of samples, of which those of several entries within one
// window are alike, to at most the number of windows since the first sample.
func independent(l Line, age mgclock.Millis) Line {
	windows := float64(sampleDecay) / float64(sampleWindow) * (1 - math.Exp(-float64(age)/float64(sampleDecay)))
	if l.N <= windows {
		return l
	}
	return l.times(windows / l.N)
}

// posterior returns the mean ratio shrunk to a prior mean, the standard deviation of a
// sample, and the standard error of the mean.
func posterior(l Line, prior, minDeviation float64) (mean, sigma, meanError float64) {
	mean = (priorWeight*prior + l.Y) / (priorWeight + l.N)
	sigma = minDeviation * prior
	if l.N > 0 {
		variance := l.YY/l.N - (l.Y/l.N)*(l.Y/l.N)
		sigma = math.Sqrt(max(sigma*sigma, variance))
	}
	return mean, sigma, sigma / math.Sqrt(priorWeight+l.N)
}

// isDeviation reports whether a level differs from the reference with certainty.
func isDeviation(level, reference, levelError float64) bool {
	ratio := level / reference
	return (ratio >= minFactor || ratio <= 1/minFactor) && math.Abs(level-reference) > certainErrors*levelError
}

// fitSlope returns the level without running requests and its increase with each of them, ms,
// and whether the increase differs from 0 by a number of standard errors.
func fitSlope(l Line, mean, sigma, errors float64) (base, slope float64, certain bool) {
	if l.N < minKnownWeight {
		return mean, 0, false
	}
	square := l.XX - l.X*l.X/l.N
	product := l.XY - l.X*l.Y/l.N
	slope = product / (square + slopeWeight)
	slopeError := sigma / math.Sqrt(square+slopeWeight)
	base = mean - slope*l.X/l.N
	certain = slope >= minSlope && slope > errors*slopeError && base > 0
	return base, slope, certain
}

// row returns the speed of an incarnation that deviates.
func (s *Speeds) row(upstream string, start int64) (Speed, bool) {
	if s == nil {
		return Speed{}, false
	}
	row, ok := s.byUpstream[upstream]
	return row, ok && row.Start == start
}

// A Deviation is by how much an engine is slower than a typical one, or faster if negative.
// The zero Deviation is that of a typical engine.
type Deviation struct {
	Step float64 // ms per step
	Run  float64 // ms per step and running request
	Read float64 // ms per prompt token
}

// Of returns the deviation of an incarnation of an engine, and whether there is one.
func (s *Speeds) Of(engine Engine) (Deviation, bool) {
	row, ok := s.row(engine.Upstream, engine.Start)
	if !ok {
		return Deviation{}, false
	}
	reference := s.reference(row.Service)
	difference := row.Base - reference.Level
	return Deviation{
		Step: difference * (DefaultStep + prefillShare*prefillTime),
		Run:  difference*DefaultPerRun + row.Slope,
		Read: (row.Read/reference.Read - 1) / DefaultReadRate,
	}, true
}

// OfUnmeasured returns the mean deviation of a service's engines for one of which too little is
// known, and false for others. It is that of a typical engine where none deviates, and where the
// measured engines aren't known.
func (s *Speeds) OfUnmeasured(engine Engine) (Deviation, bool) {
	if s == nil || s.known == nil {
		return Deviation{}, false
	}
	if start, isKnown := s.known[engine.Upstream]; isKnown && start == engine.Start {
		return Deviation{}, false
	}
	reference := s.reference(engine.Service)
	if reference.Mean <= reference.Level {
		return Deviation{}, false
	}
	difference := reference.Mean - reference.Level
	return Deviation{
		Step: difference * (DefaultStep + prefillShare*prefillTime),
		Run:  difference * DefaultPerRun,
	}, true
}

// TokenCost returns the additional time for each token of a request at an engine with some
// running requests, ms.
func (d Deviation) TokenCost(runs int) float64 { return d.Step + d.Run*float64(max(runs, 0)) }

// ReadFactor returns the time of prefill as a multiple of a typical engine's.
func (d Deviation) ReadFactor() float64 { return max(1+d.Read*DefaultReadRate, 0) }

// RunFactor returns the time that a running request adds to each step as a multiple of a
// typical engine's.
func (d Deviation) RunFactor() float64 { return max(1+d.Run/DefaultPerRun, 0) }

// reference returns the reference of a service.
func (s *Speeds) reference(service string) Reference {
	if s != nil {
		if r, ok := s.byService[service]; ok {
			return r
		}
	}
	return Reference{
		Service: service,
		Level:   1,
		Read:    1,
	}
}

// Report returns the report that s was made of.
func (s *Speeds) Report() Report {
	if s == nil {
		return Report{}
	}
	return s.report
}

// Slowest returns the largest level of steps, as a multiple of the reference; 1 if no
// engine is slower.
func (s *Speeds) Slowest() float64 {
	slowest := 1.0
	for _, row := range s.Report().Speeds {
		slowest = max(slowest, row.Level/s.reference(row.Service).Level)
	}
	return slowest
}

// Samples returns the weight of the samples of all engines.
func (s *Speeds) Samples() float64 {
	samples := 0.0
	for _, r := range s.Report().References {
		samples += r.Samples
	}
	return samples
}

// Prompt returns the mean tokens of a prompt of a service, 0 if it isn't known.
func (s *Speeds) Prompt(service string) int { return int(s.reference(service).Prompt) }
