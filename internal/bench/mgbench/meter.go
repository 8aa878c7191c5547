package mgbench

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// stallThreshold is the gap between two tokens, in ms, above which a reader
// notices that the stream stalls. It is five times the step of a full batch of
// the default engine (about 20 ms), and the same for all policies, so that a
// policy can't gain by slowing down its usual step.
const stallThreshold = 100.0

// fairnessWindow is the window, in ms, over which fairness and shares are
// computed. It is several times the duration of a usual answer, so that a
// single answer doesn't dominate it.
const fairnessWindow = 20000.0

// promptTokenWeight is the weight of a prompt token in the service that an
// account receives; an output token has weight 1. Prompt tokens weigh less
// because they are computed in parallel.
const promptTokenWeight = 0.1

// pauseThreshold is the maximum gap between two tokens, in ms, that a move may
// cause without the reader of a report noticing a wait.
const pauseThreshold = 180.0

// microsecond is the unit of the histograms, in ms.
const microsecond = 0.001

// newHistogram returns a histogram of 1 microsecond to 10 minutes with 3
// significant digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, 600_000_000, 3)
}

func record(h *hdrhistogram.Histogram, ms float64) {
	value := min(max(int64(ms/microsecond), 1), 600_000_000)
	if err := h.RecordValue(value); err != nil {
		panic("mgbench: delay is outside the histogram's range")
	}
}

// meter collects the measurements of one run.
type meter struct {
	scenario         ScenarioSpec
	asked            int
	inTime           int
	tokens           int   // in answers within their deadline
	refused          int   // requests whose last refusal was final
	refusals         int   // refusals with the outcome "not run", retried ones included
	expired          int   // requests whose client hung up at the deadline
	lateNotRun       int   // requests that were neither started nor refused before the deadline
	lost             int   // generations that were running on an engine when it left
	lostForGood      int   // lost generations that were not continued elsewhere
	pausedByMove     int   // answers with a gap above pauseThreshold that a move caused
	onTimeCount      []int // by service: complete answers, first token in time, no gap above pauseThreshold
	requestCount     []int // by service
	preempts         int
	stall            float64 // ms
	tokenGaps        *hdrhistogram.Histogram
	firstTokenDelays *hdrhistogram.Histogram
	steadyStreams    streamMeter // of services that prefer steady tokens
	wholeStreams     streamMeter // of services that prefer few stalls and preemptions
	accounts         []accountMeter
	windows          int
	demandSamples    int
	jains            []float64
}

// streamMeter collects the measurements of the services of one preference.
type streamMeter struct {
	tokenGaps *hdrhistogram.Histogram
	stall     float64 // ms
	preempts  int
	inTime    int
}

// streams returns the streamMeter for the preference of c's service.
func (m *meter) streams(c *call) *streamMeter {
	if c.spec.Prefer == Whole {
		return &m.wholeStreams
	}
	return &m.steadyStreams
}

// accountMeter collects the measurements of one account.
type accountMeter struct {
	demand    int     // requests that wait or were refused and will be retried
	minDemand int     // minimum demand within the window
	service   float64 // within the window
	shares    []float64
}

func newMeter(s ScenarioSpec) *meter {
	return &meter{
		scenario:         s,
		tokenGaps:        newHistogram(),
		firstTokenDelays: newHistogram(),
		accounts:         make([]accountMeter, len(s.Accounts)),
		onTimeCount:      make([]int, len(s.Services)),
		requestCount:     make([]int, len(s.Services)),
		steadyStreams: streamMeter{
			tokenGaps: newHistogram(),
		},
		wholeStreams: streamMeter{
			tokenGaps: newHistogram(),
		},
	}
}

func (m *meter) arrive(c *call) {
	m.asked++
	m.requestCount[c.service]++
	m.accounts[c.account].demand++
}

// requeue counts a running call as waiting again.
func (m *meter) requeue(c *call) {
	if c.state == running {
		m.accounts[c.account].demand++
	}
}

func (m *meter) start(_ float64, c *call) {
	a := &m.accounts[c.account]
	a.demand--
	a.service += promptTokenWeight * float64(c.sequence.Prompt)
}

// token records a token and the gap before it.
func (m *meter) token(now float64, c *call) {
	m.accounts[c.account].service++
	if c.lastTokenAt > 0 {
		record(m.tokenGaps, now-c.lastTokenAt)
		record(m.streams(c).tokenGaps, now-c.lastTokenAt)
		m.countStall(c, now-c.lastTokenAt)
		c.hasLongGap = c.hasLongGap || now-c.lastTokenAt > pauseThreshold
		c.pausedByMove = c.pausedByMove || c.resumedElsewhere && now-c.lastTokenAt > pauseThreshold
		c.resumedElsewhere = false
	} else if c.firstTokenAt == 0 {
		c.firstTokenAt = now
		record(m.firstTokenDelays, now-c.arrival)
	}
	c.lastTokenAt = now
}

// countStall adds a gap above stallThreshold to the stall time.
func (m *meter) countStall(c *call, gap float64) {
	if gap > stallThreshold {
		m.stall += gap
		m.streams(c).stall += gap
	}
}

func (m *meter) finish(now float64, c *call) {
	if c.pausedByMove {
		m.pausedByMove++
	}
	if !c.hasLongGap && c.firstTokenAt-c.arrival <= c.spec.FirstTokenLimit*1000 {
		m.onTimeCount[c.service]++
	}
	if now <= c.deadline {
		m.inTime++
		m.streams(c).inTime++
		m.tokens += c.produced
	}
}

func (m *meter) refuse(now float64, c *call, again bool) {
	m.refusals++
	if now > c.deadline {
		m.lateNotRun++
	}
	if !again {
		m.refused++
		m.accounts[c.account].demand--
	}
}

// expire records a client that hangs up. A gap that is still open counts as
// stall time too; otherwise a policy could hide its longest stalls behind the
// deadline.
func (m *meter) expire(now float64, c *call) {
	m.expired++
	m.countStall(c, c.openGap(now))
	switch c.state {
	case queued:
		m.lateNotRun++
		m.accounts[c.account].demand--
	case atClient:
		m.accounts[c.account].demand--
	}
}

func (m *meter) countLost(now float64, c *call) {
	if c.state == running {
		m.lost++
		m.countStall(c, c.openGap(now))
	}
}

// countLostForGood records a generation that was running on an engine when it
// left, and that is not continued elsewhere.
func (m *meter) countLostForGood(now float64, c *call) {
	m.lost++
	m.lostForGood++
	m.countStall(c, c.openGap(now))
}

func (m *meter) preempt(c *call) {
	m.preempts++
	m.streams(c).preempts++
}

// sampleDemand samples the accounts' demand, and closes the fairness window
// once it is complete.
func (m *meter) sampleDemand(now float64) {
	for i := range m.accounts {
		a := &m.accounts[i]
		if m.demandSamples == 0 || a.demand < a.minDemand {
			a.minDemand = a.demand
		}
	}
	m.demandSamples++
	if now >= float64(m.windows+1)*fairnessWindow-demandSampleInterval {
		m.closeWindow()
	}
}

// closeWindow evaluates the fairness window and starts the next one.
func (m *meter) closeWindow() {
	var services []float64
	for i := range m.accounts {
		a := &m.accounts[i]
		a.shares = append(a.shares, a.service)
		if a.minDemand >= m.scenario.Engines { // with fewer it can't use a share of each engine
			services = append(services, a.service/m.scenario.Accounts[i].Weight)
		}
		a.service = 0
	}
	if len(services) > 1 {
		m.jains = append(m.jains, jain(services))
	}
	m.windows++
	m.demandSamples = 0
}

// jain returns the fairness index of Jain, Chiu and Hawe: 1 if all are served
// equally, 1/n if one gets everything.
func jain(served []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, x := range served {
		sum += x
		squares += x * x
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(served)) * squares)
}

// fairness returns the mean index over the windows with at least two
// backlogged accounts, or NaN if there were none.
func (m *meter) fairness() float64 {
	if len(m.jains) == 0 {
		return math.NaN()
	}
	sum := 0.0
	for _, x := range m.jains {
		sum += x
	}
	return sum / float64(len(m.jains))
}
