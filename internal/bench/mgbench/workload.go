package mgbench

import (
	"math"
	"math/rand/v2"
	"strconv"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/marjoramgauge/marjoramgauge/internal/bench/mgmodel"
)

// request is one request of a workload. It is the same under each policy.
type request struct {
	index    int
	account  int
	service  int
	arrival  float64 // ms
	deadline float64 // ms
	jitter   float64 // 0 to 1, for the client's retry waits
	sequence mgmodel.Sequence
}

// workload holds the requests that the clients of a scenario send for one
// seed.
type workload struct {
	scenario ScenarioSpec
	requests []request
}

// sampler draws the random numbers of a workload.
type sampler struct {
	scenario    ScenarioSpec
	source      rand.Source
	uniform     distuv.Uniform
	services    distuv.Categorical
	block       int
	bursting    bool
	stateEndsAt float64 // time of the next change between burst and calm, ms
}

// newWorkload draws the requests of s for a seed.
func newWorkload(s ScenarioSpec, seed uint64) *workload {
	d := newSampler(s, seed)
	w := &workload{
		scenario: s,
	}
	now := d.nextArrival(0)
	for now < s.Duration*1000 {
		w.requests = append(w.requests, d.request(len(w.requests), now))
		now = d.nextArrival(now)
	}
	return w
}

// randomStream separates the benchmark's random numbers from other uses of a
// seed.
const randomStream = 0x6d617267

func newSampler(s ScenarioSpec, seed uint64) *sampler {
	source := rand.NewPCG(seed, randomStream)
	d := &sampler{
		scenario: s,
		source:   source,
		uniform: distuv.Uniform{
			Max: 1,
			Src: source,
		},
		block: mgmodel.New(s.Model).Spec().BlockTokens,
	}
	weights := make([]float64, len(s.Services))
	for i, service := range s.Services {
		weights[i] = service.Share
	}
	d.services = distuv.NewCategorical(weights, source)
	d.stateEndsAt = math.Inf(1)
	if s.Burst.Factor > 0 {
		d.stateEndsAt = d.exponential(s.Burst.CalmDuration * 1000)
	}
	return d
}

func (d *sampler) exponential(mean float64) float64 {
	return distuv.Exponential{
		Rate: 1 / mean,
		Src:  d.source,
	}.Rand()
}

// nextArrival draws the time of the arrival after now. A draw beyond the next
// state change is discarded and drawn again from that change on, which leaves
// the distribution unchanged because the exponential distribution is
// memoryless.
func (d *sampler) nextArrival(now float64) float64 {
	for {
		at := now + d.exponential(d.meanInterarrival(now))
		if at < d.stateEndsAt {
			return at
		}
		now = d.stateEndsAt
		d.bursting = !d.bursting
		meanDuration := d.scenario.Burst.CalmDuration
		if d.bursting {
			meanDuration = d.scenario.Burst.BurstDuration
		}
		d.stateEndsAt = now + d.exponential(meanDuration*1000)
	}
}

// meanInterarrival returns the mean time in ms between arrivals at now.
func (d *sampler) meanInterarrival(now float64) float64 {
	s := d.scenario
	rate := s.SaturationRate * s.Load * float64(s.Engines) * d.phase(now).Rate * s.Burst.factor(d.bursting)
	return 1000 / rate
}

// factor returns the factor on the mean rate in the burst or the calm state.
// The rate in the calm state is chosen so that the mean is kept.
func (b BurstSpec) factor(bursting bool) float64 {
	switch {
	case b.Factor == 0:
		return 1
	case bursting:
		return b.Factor
	default:
		return (b.BurstDuration + b.CalmDuration - b.Factor*b.BurstDuration) / b.CalmDuration
	}
}

// phase returns the phase in effect at now.
func (d *sampler) phase(now float64) PhaseSpec {
	current := PhaseSpec{
		Rate:   1,
		Length: 1,
	}
	for _, p := range d.scenario.Phases {
		if now >= p.From*d.scenario.Duration*1000 {
			current = p
		}
	}
	return current
}

// request draws the request that arrives at now.
func (d *sampler) request(index int, now float64) request {
	service := int(d.services.Rand())
	account := d.account(now)
	spec := d.scenario.Services[service]
	prompt := d.length(spec.Prompt, 1)
	return request{
		index:    index,
		account:  account,
		service:  service,
		arrival:  now,
		deadline: now + spec.Deadline*1000,
		jitter:   d.uniform.Rand(),
		sequence: mgmodel.Sequence{
			ID:     strconv.Itoa(index),
			Prompt: prompt,
			Prefix: d.prefix(index, account, service, prompt),
			Output: d.length(spec.Output, d.phase(now).Length),
		},
	}
}

// account draws an account among those that are active at now.
func (d *sampler) account(now float64) int {
	runFraction := now / (d.scenario.Duration * 1000)
	total := 0.0
	for _, a := range d.scenario.Accounts {
		if runFraction >= a.From {
			total += a.Share
		}
	}
	remaining := d.uniform.Rand() * total
	for i, a := range d.scenario.Accounts {
		if runFraction < a.From {
			continue
		}
		remaining -= a.Share
		if remaining < 0 {
			return i
		}
	}
	return 0
}

// length draws a number of tokens, scaled by a factor.
func (d *sampler) length(s LengthSpec, factor float64) int {
	median := s.Median
	if s.SecondWeight > 0 && d.uniform.Rand() < s.SecondWeight {
		median = s.SecondMedian
	}
	n := distuv.LogNormal{
		Mu:    math.Log(median * factor),
		Sigma: s.Sigma,
		Src:   d.source,
	}.Rand()
	return min(max(int(n), 1), s.Limit)
}

// prefix returns the hashes of a prompt's complete blocks. The leading ones, a
// fraction of the service's median prompt, are common to the account's
// requests.
func (d *sampler) prefix(index, account, service, prompt int) []uint64 {
	spec := d.scenario.Services[service]
	common := int(spec.SharedPrefix*spec.Prompt.Median) / d.block
	blocks := make([]uint64, prompt/d.block)
	for i := range blocks {
		owner := uint64(account)<<8 | uint64(service)
		if i >= common {
			owner = 1<<32 | uint64(index)
		}
		blocks[i] = owner<<16 | uint64(i)
	}
	return blocks
}
