package mgprobe

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// Interval is the time between two probes of an engine. The notice of an engine is 1.5 to 2 s
	// long, and a move of a generation takes at least 200 ms. In 10.5 s, those of a silent store and
	// of its recovery, 40 engines are asked 1,200 times at this interval.
	Interval = 350 * mgclock.Millis(1)
	// takeoverDelay is the time by which an answer must be overdue for the second in rank to ask, and
	// takeoverStep the same for each further rank. A probe takes up to 150 ms, and a message a few ms.
	takeoverDelay = 200 * mgclock.Millis(1)
	takeoverStep  = 100 * mgclock.Millis(1)
	// maxUnprobedTime is the age of the last answer at which an entry asks an engine that runs its
	// generations, whatever its rank, while another entry doesn't respond or doesn't probe. No engine may stay unprobed for
	// more than 1 s.
	maxUnprobedTime = 750 * mgclock.Millis(1)
	// exchangeInterval is the interval at which an entry sends a message to a random entry. With half of
	// the entries cut off, an entry has to notice it within 650 ms, the timeout of a message included.
	exchangeInterval = Interval / 2
	// slotCount is the number of slots to which engines hash. An entry sends to the next in rank of
	// each of its slots, so that fewer slots mean fewer messages and a more uneven distribution.
	slotCount = 32
	// successorCount is the number of entries, next in rank, that receive an answer and take over. Others
	// mostly don't know of recent answers.
	successorCount = 2
)

// An Engine is an upstream that runs generations.
type Engine struct {
	Name     string
	Shared   bool // entries of all cells of the region use it
	RunsHere bool // it runs generations of this entry
}

// slotOf returns the slot of an engine.
func slotOf(engine string) int { return int(xxhash.Sum64String(engine) % slotCount) }

// A ranking ranks entries for each slot by rendezvous hashing.
type ranking struct {
	entries  []string
	hashes   []uint64       // of the entries
	ownRanks [slotCount]int // ranks of this entry, from 0; math.MaxInt if it isn't among the entries
}

func newRanking(self string, entries []string) *ranking {
	r := &ranking{
		entries: entries,
	}
	for _, entry := range entries {
		r.hashes = append(r.hashes, xxhash.Sum64String(entry))
	}
	own := slices.Index(entries, self)
	for slot := range slotCount {
		if own < 0 {
			r.ownRanks[slot] = math.MaxInt
			continue
		}
		for other := range entries {
			if r.ranksBefore(slot, other, own) {
				r.ownRanks[slot]++
			}
		}
	}
	return r
}

// ranksBefore reports whether entry a ranks before entry b for a slot. Both are indexes.
func (r *ranking) ranksBefore(slot, a, b int) bool {
	scoreA, scoreB := mix(slot, r.hashes[a]), mix(slot, r.hashes[b])
	return scoreA > scoreB || scoreA == scoreB && r.entries[a] < r.entries[b]
}

// mix returns the score of an entry for a slot: the output function of SplitMix64 (Steele, Lea, Flood 2014).
func mix(slot int, hash uint64) uint64 {
	z := hash + uint64(slot+1)*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// successors returns the first entries in rank for a slot, without self.
func (r *ranking) successors(slot int, self string) []string {
	var first []int
	for i, entry := range r.entries {
		if entry == self {
			continue
		}
		at := 0
		for at < len(first) && r.ranksBefore(slot, first[at], i) {
			at++
		}
		first = slices.Insert(first, at, i)
		first = first[:min(successorCount, len(first))]
	}
	names := make([]string, 0, len(first))
	for _, i := range first {
		names = append(names, r.entries[i])
	}
	return names
}

// dueAge returns the age of an engine's last answer at which an entry of a rank asks it, and false if the
// entry doesn't. isAlarmed is true if another entry doesn't respond or doesn't probe. It may be one of many that are
// cut off, or whose lists aren't stale, all entries that were to take over among them.
func dueAge(rank int, runsHere, isAlarmed bool) (mgclock.Millis, bool) {
	switch {
	case rank == 0:
		return Interval, true
	case rank <= successorCount:
		return Interval + takeoverDelay + takeoverStep*mgclock.Millis(rank-1), true
	default:
		return maxUnprobedTime, runsHere && isAlarmed
	}
}
