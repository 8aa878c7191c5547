package mgbench

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// stallBound is the gap between two tokens, in ms, above which a reader
// notices that the stream stands still. It is five times the step of a full
// batch of the default engine (about 20 ms), and the same for all policies, so
// that a policy can't gain by slowing its usual step.
const stallThreshold = 100.0

// window is the span over which fairness and shares are taken, in ms. It is
// some times the life of a usual answer, so that one answer doesn't decide it.
const fairnessWindow = 20000.0

// promptShare is what a prompt token counts for in the service that an account
// gets; an output token counts 1. Prompts are computed in parallel.
const promptTokenWeight = 0.1

// pauseBound is the gap that a move may make between two tokens, in ms: above
// it the reader of a report has waited.
const pauseThreshold = 180.0

// microsecond is the histograms' unit in ms.
const microsecond = 0.001

// newHistogram returns a histogram of 1 microsecond to 10 minutes, to 3 digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, 600_000_000, 3)
}

func record(h *hdrhistogram.Histogram, ms float64) {
	value := min(max(int64(ms/microsecond), 1), 600_000_000)
	if err := h.RecordValue(value); err != nil {
		panic("mgbench: a delay out of the histogram's range")
	}
}

// meter measures one run.
type meter struct {
	scenario         ScenarioSpec
	asked            int
	inTime           int
	tokens           int   // of answers in time
	refused          int   // requests that ended "not run"
	refusals         int   // times that a client was told "not run"
	expired          int   // requests that the client hung up on
	lateNotRun       int   // of these, such as nobody had started or turned away
	lost             int   // generations that went with their engine
	lostForGood      int   // of these, such as nobody went on with
	pausedByMove     int   // answers that a move made wait, see pauseBound
	onTimeCount      []int // by service: whole, begun within the aim and without a longer gap
	requestCount     []int // by service: requests
	preempts         int
	stall            float64 // ms
	tokenGaps        *hdrhistogram.Histogram
	firstTokenDelays *hdrhistogram.Histogram
	steadyStreams    streamMeter // of the services that prefer steady tokens
	wholeStreams     streamMeter // of those that mind stalls and preemptions
	accounts         []accountMeter
	windows          int
	demandSamples    int
	jains            []float64
}

// streamMeter is the part of a meter for the services of one preference.
type streamMeter struct {
	tokenGaps *hdrhistogram.Histogram
	stall     float64 // ms
	preempts  int
	inTime    int
}

// streams returns the part for c's preference.
func (m *meter) streams(c *call) *streamMeter {
	if c.spec.Prefer == Whole {
		return &m.wholeStreams
	}
	return &m.steadyStreams
}

// accountMeter is an account's part of a meter.
type accountMeter struct {
	demand    int     // requests that wait or were turned away for now
	minDemand int     // demand, the least within the window
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

// requeue counts a running or queued call as waiting again.
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

// token counts a token and the gap before it.
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

// stalled counts a gap as stall time if it is long.
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

// expire counts a client that hangs up. A gap that is still open is stall time
// too, or a policy could hide its longest stalls behind the deadline.
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

// sever counts a generation that went with its engine and ends there.
func (m *meter) countLostForGood(now float64, c *call) {
	m.lost++
	m.lostForGood++
	m.countStall(c, c.openGap(now))
}

func (m *meter) preempt(c *call) {
	m.preempts++
	m.streams(c).preempts++
}

// look samples the accounts' demands, and closes a window when it is full.
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

// close ends a window.
func (m *meter) closeWindow() {
	var services []float64
	for i := range m.accounts {
		a := &m.accounts[i]
		a.shares = append(a.shares, a.service)
		if a.minDemand >= m.scenario.Engines { // fewer can't take a share of each engine
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

// jain returns the fairness index of Jain, Chiu and Hawe: 1 when all are
// served alike, 1/n when one gets all.
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

// fairness returns the mean index over windows with two backlogged accounts or
// more, or NaN when there were none.
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
