package mgbackup

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgmigration"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// minExposure is the least exposure of a generation with a backup. A shorter one
	// is cheaply produced again by a caller that retries, and most of its time is over
	// before the copy of its prompt is complete.
	minExposure = 3 * mgclock.Second
	// minLossProbability is the least probability that the generation's engine is
	// lost while it runs, weighted as its exposure. With one loss among 40 engines,
	// generations of 8 s get backups for 4 s.
	minLossProbability = 0.01
	// reserve is the part of an engine's memory that stays free beside the full
	// expected size of the generation: about one more average generation (3,800 of
	// 26,900 tokens), as loads are known 0.2 to 0.4 s late.
	reserve = 0.15
	// outputWeight is how many prompt tokens of work one output token counts for; see
	// mgmigration.
	outputWeight = 10
)

// The costs by which engines that fit are compared. The probability that the engine
// is lost as well counts in full.
const (
	// sameZoneCost is the cost of an engine in the generation's own availability zone,
	// which may fail as a whole.
	sameZoneCost = 0.1
	// oldestCost is the cost of the engine that started first, in proportion less for
	// those that started later.
	oldestCost = 0.3
	// fullCost is the cost of an engine without free memory, in proportion less for
	// the others.
	fullCost = 0.5
	// maxRandomCost limits the pseudorandom part.
	maxRandomCost = 0.2
)

// A Run describes a generation that is about to be sent to an engine.
type Run struct {
	ID        string
	Service   string
	Prompt    int            // tokens
	Output    int            // expected total of output tokens
	Generated int            // output tokens that other engines have produced before
	Duration  mgclock.Millis // expected from now on
	Source    Engine         // where it runs
	Version   string         // software version of the source, "" if unknown
}

// Size returns the full expected size of the generation's memory.
func (r Run) Size() int { return r.Prompt + r.Generated + r.Remaining() }

// Memory returns the average size of the generation's memory while it runs.
func (r Run) Memory() int { return r.Prompt + r.Generated + r.Remaining()/2 }

// Remaining returns the expected number of further output tokens.
func (r Run) Remaining() int {
	return mgmigration.Run{
		ExpectedOutput: r.Output,
		Generated:      r.Generated,
	}.RemainingTokens()
}

// exposure returns the expected duration, weighted with the ratio of all work that a
// loss would destroy at the end to the work that is still to be done.
func (r Run) exposure() mgclock.Millis {
	ahead := r.Prompt + outputWeight*r.Remaining()
	if ahead <= 0 {
		return 0
	}
	return mgclock.Millis(float64(r.Duration) * float64(ahead+outputWeight*r.Generated) / float64(ahead))
}

// Justifies reports whether a generation should have a backup, at the present rates of
// losses.
func (r Run) Justifies(rates Rates) Reason {
	exposure := r.exposure()
	switch {
	case exposure < minExposure:
		return Short
	case rates.Engine*float64(exposure) < minLossProbability:
		return Safe
	}
	return Named
}

// A Destination is an engine that may hold a backup.
type Destination struct {
	Engine
	Version  string // software version, "" if unknown
	Capacity int    // tokens of memory
	Free     int    // of which nothing is counted for
	Cold     bool   // it can handle few requests yet
	Limited  bool   // it has a rate limit, or asked for no requests for a time
	Suspect  bool   // it failed recently
	Barred   bool   // it leaves or is cordoned, or the request may not run there
}

// isFit reports whether the engine may hold a backup of the generation.
func (d Destination) isFit(r Run) bool {
	if d.Name == r.Source.Name || d.Cold || d.Limited || d.Suspect || d.Barred {
		return false
	}
	return d.Version != "" && d.Version == r.Version
}

// hasRoom reports whether the engine has room beside the reserve.
func (d Destination) hasRoom(size int) bool {
	return d.Capacity > 0 && float64(d.Free-size) >= reserve*float64(d.Capacity)
}

// A Reason says why a generation got a backup or none.
type Reason string

// The reasons.
const (
	Named  Reason = "named"  // it has one
	Short  Reason = "short"  // it is expected to end soon
	Safe   Reason = "safe"   // engines are not lost now
	Unfit  Reason = "unfit"  // no engine is fit to hold it
	NoRoom Reason = "noroom" // no engine has room beside the reserve
	Spent  Reason = "spent"  // this process's share of memory is used up
)

// Choose returns the index of the best engine for a generation's backup. The reason is
// Named, or why there is none.
func Choose(r Run, rates Rates, destinations []Destination) (int, Reason) {
	starts := startsOf(destinations)
	best, minCost, reason := -1, 0.0, Unfit
	for i, d := range destinations {
		if !d.isFit(r) {
			continue
		}
		if !d.hasRoom(r.Size()) {
			if reason == Unfit {
				reason = NoRoom
			}
			continue
		}
		reason = Named
		if cost := d.cost(r, rates, starts); best < 0 || cost < minCost {
			best, minCost = i, cost
		}
	}
	return best, reason
}

// cost returns the cost of a backup at the engine. starts are the sorted start times of
// all engines.
func (d Destination) cost(r Run, rates Rates, starts []int64) float64 {
	cost := min(rates.Zones[d.Zone]*float64(r.Duration), 1)
	if d.Zone == r.Source.Zone {
		cost += sameZoneCost
	}
	older, _ := slices.BinarySearch(starts, d.Start)
	cost += oldestCost * (1 - float64(older)/float64(len(starts)))
	cost += fullCost * (1 - float64(d.Free)/float64(d.Capacity))
	const scale = 1 << 20
	random := float64(xxhash.Sum64String(r.ID+" "+d.Name)%scale) / scale
	return cost + maxRandomCost*random
}

// startsOf returns the sorted start times of engines.
func startsOf(destinations []Destination) []int64 {
	starts := make([]int64, 0, len(destinations))
	for _, d := range destinations {
		starts = append(starts, d.Start)
	}
	slices.Sort(starts)
	return starts
}
