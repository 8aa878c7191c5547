package mgload

import (
	"math"
	"sync"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgspeed"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// A Load is what was sent to an upstream and has not ended.
type Load struct {
	Runs    int // requests
	Pending int // prompt tokens without a first event
	Memory  int // tokens of prompts and expected outputs
}

// Add returns the sum of two loads.
func (r Load) Add(o Load) Load {
	return Load{
		Runs:    r.Runs + o.Runs,
		Pending: r.Pending + o.Pending,
		Memory:  r.Memory + o.Memory,
	}
}

const (
	// ReadRate is the prefill rate: the number of prompt tokens that an engine reads
	// (prefills) in a ms; it gives the time that a request waits for the prompts before its
	// own. Engines publish 14, but they alternate between prefill of prompts (reading) and
	// decode steps of the runs.
	ReadRate = mgspeed.DefaultReadRate
	// RunCost is the cost of each run, in ms: it makes each step 0.12 ms longer, which is
	// 110 ms for a generation of 900 tokens.
	RunCost = 110.0
	// missingTokenCost is the cost of each missing token of memory, in ms. A run without
	// memory is preempted and read again, and delays all that run there.
	missingTokenCost = 2.0 / ReadRate
	// copyToFullCost is the cost of a copy to an upstream without memory for it, in ms. Such
	// a copy is refused, which outweighs any network delay between availability zones.
	copyToFullCost = 1500.0
	// crossZoneCost is the cost of another availability zone in ms: a round trip.
	crossZoneCost = 1.0
	// crossZoneCopyCost is the cost of another availability zone for a copy, in ms. For a
	// copy of 3,500 tokens the transfer takes twice as much time as within the zone.
	crossZoneCopyCost = 190.0
)

// A Query describes what a request needs.
type Query struct {
	Zone     string // of the entry, or of the source of a copy
	Memory   int    // tokens of the prompt and the expected output
	Capacity int    // tokens of an upstream's memory, 0 for unlimited
	Copy     bool   // the request is a copy, see the package comment, that brings its memory along
	Prompt   int    // tokens that the upstream has to read for the request
	Tokens   int    // expected tokens of the output, 1 for a call (a request whose answer isn't a stream)
}

// A State is what an entry knows of an upstream.
type State struct {
	Load      Load
	Zone      string
	TokenCost float64 // additional time compared with others, ms for each token; see the function SlowPenalty
	Faults    float64 // weight of its faults; see Tracker.Faults
	// Speed is how its steps and its prefill differ from a typical engine's; zero if they
	// don't, or if this isn't known.
	Speed mgspeed.Deviation
}

// WithSpeed returns s with the known speed of the upstream. A higher cost for each token that
// follows from paces stays: an upstream that has become far slower just now is found by its
// pace first.
func (s State) WithSpeed(speed mgspeed.Deviation) State {
	s.Speed = speed
	if cost := speed.TokenCost(s.Load.Runs); s.TokenCost == 0 || cost > s.TokenCost {
		s.TokenCost = cost
	}
	return s
}

// PendingAsTypical returns the prompt tokens that a typical upstream would prefill in the time
// in which this one prefills those that are pending.
func (s State) PendingAsTypical() int {
	return int(math.Round(float64(s.Load.Pending) * s.Speed.ReadFactor()))
}

// Cost returns the cost in ms of a request at an upstream. The prompts before the request,
// the request's own prompt and the runs count by the speed of the upstream.
func Cost(s State, q Query) float64 {
	r := s.Load
	cost := float64(r.Pending)/ReadRate*s.Speed.ReadFactor() + RunCost*float64(r.Runs)*s.Speed.RunFactor()
	cost += s.Speed.Read*float64(q.Prompt) + s.TokenCost*float64(q.Tokens) + faultCost*s.Faults
	if lack := r.Memory + q.Memory - q.Capacity; q.Capacity > 0 && lack > 0 {
		cost += missingTokenCost * float64(lack)
		if q.Copy {
			cost += copyToFullCost
		}
	}
	switch {
	case s.Zone == q.Zone:
	case q.Copy:
		cost += crossZoneCopyCost
	default:
		cost += crossZoneCost
	}
	return cost
}

// A Tracker counts what one entry has sent. The zero Tracker is empty and ready for use by
// several goroutines.
type Tracker struct {
	mu     sync.Mutex
	loads  map[string]Load
	paces  map[string]pace
	faults map[string]fault
}

// Add adds delta, whose counts may be negative, to an upstream's load.
func (c *Tracker) Add(upstream string, delta Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loads == nil {
		c.loads = map[string]Load{}
	}
	load := c.loads[upstream].Add(delta)
	if load == (Load{}) {
		delete(c.loads, upstream)
		return
	}
	c.loads[upstream] = load
}

// Load returns an upstream's load.
func (c *Tracker) Load(upstream string) Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loads[upstream]
}

// Loads returns a copy of all loads.
func (c *Tracker) Loads() map[string]Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	loads := make(map[string]Load, len(c.loads))
	for upstream, load := range c.loads {
		loads[upstream] = load
	}
	return loads
}

// A Report is what one entry, or several together, have sent to upstreams and measured of
// them.
type Report struct {
	Loads  map[string]Load
	Paces  map[string]float64 // ms; see Tracker.Paces
	Faults map[string]float64 // weights; see Tracker.Faults
}

// reportTTL is how long a hub counts an entry's report: five report intervals. An entry
// that died has no requests any more.
const reportTTL = mgclock.Second

// A Hub merges the reports of entries. The zero Hub is empty and ready for use by several
// goroutines.
type Hub struct {
	mu       sync.Mutex
	reports  map[string]entryReport
	lastSeen map[string]mgclock.Millis // when each entry last sent a message to this process
}

type entryReport struct {
	report Report
	at     mgclock.Millis
}

// Exchange stores an entry's report and returns the merged report of the others: the sum of
// what they sent, and the mean of the paces that they measured.
func (h *Hub) Exchange(now mgclock.Millis, entry string, report Report) Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.markSeen(now, entry)
	if h.reports == nil {
		h.reports = map[string]entryReport{}
	}
	h.reports[entry] = entryReport{
		report: report,
		at:     now,
	}
	return h.sumOthers(now, entry)
}

// MarkSeen records that an entry uses this process as its hub.
func (h *Hub) MarkSeen(now mgclock.Millis, entry string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.markSeen(now, entry)
}

func (h *Hub) markSeen(now mgclock.Millis, entry string) {
	if h.lastSeen == nil {
		h.lastSeen = map[string]mgclock.Millis{}
	}
	h.lastSeen[entry] = now
}

// Entries returns how many entries use this process as their hub.
func (h *Hub) Entries(now mgclock.Millis) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	for entry, at := range h.lastSeen {
		if now >= at+reportTTL {
			delete(h.lastSeen, entry)
		}
	}
	return len(h.lastSeen)
}

// Others returns the merged report of all entries but one.
func (h *Hub) Others(now mgclock.Millis, entry string) Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sumOthers(now, entry)
}

// sumOthers merges the reports of all entries but one. It is called with mu held.
func (h *Hub) sumOthers(now mgclock.Millis, entry string) Report {
	others := Report{
		Loads:  map[string]Load{},
		Paces:  map[string]float64{},
		Faults: map[string]float64{},
	}
	counts := map[string]float64{}
	for name, other := range h.reports {
		if now >= other.at+reportTTL {
			delete(h.reports, name)
			continue
		}
		if name == entry {
			continue
		}
		for upstream, load := range other.report.Loads {
			others.Loads[upstream] = others.Loads[upstream].Add(load)
		}
		if !other.report.widespread() {
			for upstream, weight := range other.report.Faults {
				others.Faults[upstream] += weight
			}
		}
		for upstream, pace := range other.report.Paces {
			others.Paces[upstream] += pace
			counts[upstream]++
		}
	}
	for upstream, count := range counts {
		others.Paces[upstream] /= count
	}
	return others
}

// Pace returns the mean of the pace of an upstream that this entry measured itself (own)
// and the one that the other entries measured (others), or the only one of them, or false
// when there is none.
func Pace(own, others map[string]float64, upstream string) (float64, bool) {
	ownPace, hasOwn := own[upstream]
	othersPace, hasOthers := others[upstream]
	switch {
	case hasOwn && hasOthers:
		return (ownPace + othersPace) / 2, true
	case hasOwn:
		return ownPace, true
	default:
		return othersPace, hasOthers
	}
}
