package mgquarantine

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// occurrenceThreshold is the number of occurrences after which a request is held.
	occurrenceThreshold = 3
	// occurrenceWindow is the time within which crashes of several upstreams count as one
	// occurrence, unless the request was sent to the second upstream after the first had
	// crashed. What ends several upstreams at once, such as the loss of an availability
	// zone, is not caused by a request. The window applies to times of one clock.
	occurrenceWindow = 300 * mgclock.Millis(1)
	// sameCrashWindow is the time within which records about one upstream are of the same
	// crash, unless an attempt was sent after the first record's crash. It is longer than
	// the differences between several processes' observations of one crash, and shorter
	// than an upstream takes to restart.
	sameCrashWindow = mgclock.Second
	// initialHold is the duration of the first hold. Each crash after a hold makes the next
	// one holdFactor times as long, up to maxHold.
	initialHold = 30 * mgclock.Second
	holdFactor  = 4
	maxHold     = 32 * mgclock.Minute
	// maxEvaluatedCrashes limits how many crashes of one request are evaluated. Only the
	// latest ones are.
	maxEvaluatedCrashes = 128
)

// crash is the end of one upstream, with the requests that may have caused it.
type crash struct {
	at              mgclock.Millis
	records         []storedRecord // of requests that were about to begin or had just begun
	hasBegunRequest bool           // some of these requests had begun; those are the likelier causes
	explained       bool
}

// isSuspect reports whether a record's request is among the likeliest causes.
func (c *crash) isSuspect(s storedRecord) bool { return s.record.Begun == c.hasBegunRequest }

// involves reports whether a request was about to begin or had just begun.
func (c *crash) involves(digest Digest) bool {
	return slices.ContainsFunc(c.records, func(s storedRecord) bool { return s.digest == digest })
}

// suspicion is the evaluation of the records of one request: the occurrences that it is
// suspected of, its hold, and how long its records are needed.
type suspicion struct {
	occurrences   int
	isQuarantined bool           // also true after the hold has ended
	heldUntil     mgclock.Millis // end of the hold
	retainUntil   mgclock.Millis // end of the time for which its records are needed
}

// groupCrashes groups records, sorted by time, into crashes.
func groupCrashes(records []storedRecord) []*crash {
	var all []*crash
	lastCrash := map[string]*crash{} // by upstream
	for _, s := range records {
		c := lastCrash[s.record.Upstream]
		if c == nil || s.seenBound >= c.at+sameCrashWindow || slices.ContainsFunc(c.records, s.isLaterThan) {
			c = &crash{
				at: s.seenBound,
			}
			lastCrash[s.record.Upstream] = c
			all = append(all, c)
		}
		c.records = append(c.records, s)
		c.hasBegunRequest = c.hasBegunRequest || s.record.Begun
	}
	return all
}

// evaluate computes the suspicion of each request from the evidence, sorted by time. It is
// a greedy set cover: the request involved in most crashes explains those, and the
// remaining crashes count against the others.
func evaluate(records []storedRecord) map[Digest]suspicion {
	crashes := groupCrashes(records)
	suspicions := map[Digest]suspicion{}
	for {
		unexplained := occurrenceChains(crashes)
		worst, found := mostOccurrences(unexplained)
		if !found || len(unexplained[worst]) < occurrenceThreshold {
			for digest, chain := range unexplained {
				suspicions[digest] = suspicion{
					occurrences: len(chain),
					retainUntil: chain[len(chain)-1].at + evidenceTTL,
				}
			}
			return suspicions
		}
		suspicions[worst] = evaluateHold(unexplained[worst])
		for _, c := range crashes {
			c.explained = c.explained || c.involves(worst)
		}
	}
}

// occurrenceChains returns, for each request, its longest chain of crashes: a sequence in
// which each crash is a later occurrence than the one before. Only crashes that the request
// is suspected of, and that no other request explains, are considered.
func occurrenceChains(crashes []*crash) map[Digest][]*crash {
	suspected := map[Digest][]*crash{}
	for _, c := range crashes {
		if c.explained {
			continue
		}
		for _, s := range c.records {
			all := suspected[s.digest]
			if c.isSuspect(s) && (len(all) == 0 || all[len(all)-1] != c) {
				suspected[s.digest] = append(all, c)
			}
		}
	}
	chains := map[Digest][]*crash{}
	for digest, all := range suspected {
		chains[digest] = longestChain(digest, all[max(len(all)-maxEvaluatedCrashes, 0):])
	}
	return chains
}

// longestChain returns the longest sequence of crashes each of which is a later occurrence
// than the one before, for one request. Sorting by time isn't enough, since a record may
// have come on a slow path.
func longestChain(digest Digest, crashes []*crash) []*crash {
	earlier := earlierCrashes(digest, crashes)
	chains := make([][]*crash, len(crashes)) // the longest one that ends with each crash
	var chainTo func(i int) []*crash
	chainTo = func(i int) []*crash {
		if chains[i] != nil {
			return chains[i]
		}
		chains[i] = crashes[i : i+1 : i+1] // provisional, ends the recursion where references of contradictory records form a cycle
		var longest []*crash
		for _, j := range earlier[i] {
			if chain := chainTo(j); len(chain) > len(longest) {
				longest = chain
			}
		}
		chains[i] = append(slices.Clip(longest), crashes[i])
		return chains[i]
	}
	var longest []*crash
	for i := range crashes {
		if chain := chainTo(i); len(chain) > len(longest) {
			longest = chain
		}
	}
	return longest
}

// earlierCrashes returns, for each crash of a request, the ascending indexes of those that
// are earlier occurrences. A record is compared with those of the same origin and with
// those that it references.
func earlierCrashes(digest Digest, crashes []*crash) [][]int {
	type location struct {
		record storedRecord
		crash  int
	}
	crashOf := map[Reference]int{}
	byOrigin := map[string][]location{}
	for i, c := range crashes {
		for _, s := range c.records {
			if s.digest == digest {
				crashOf[s.reference()] = i
				byOrigin[s.record.Origin] = append(byOrigin[s.record.Origin], location{
					record: s,
					crash:  i,
				})
			}
		}
	}
	earlier := make([][]int, len(crashes))
	for i, c := range crashes {
		for _, s := range c.records {
			if s.digest != digest {
				continue
			}
			for _, other := range byOrigin[s.record.Origin] {
				if other.crash != i && s.isLaterThan(other.record) {
					earlier[i] = append(earlier[i], other.crash)
				}
			}
			for _, reference := range s.record.Earlier {
				if at, known := crashOf[reference]; known && at != i {
					earlier[i] = append(earlier[i], at)
				}
			}
		}
		slices.Sort(earlier[i])
		earlier[i] = slices.Compact(earlier[i])
	}
	return earlier
}

// mostOccurrences returns the request with the most occurrences. Ties go to the smallest
// digest, so that all processes choose the same one.
func mostOccurrences(chains map[Digest][]*crash) (worst Digest, found bool) {
	for digest := range chains {
		more := cmp.Compare(len(chains[digest]), len(chains[worst]))
		if !found || more > 0 || more == 0 && bytes.Compare(digest[:], worst[:]) < 0 {
			worst, found = digest, true
		}
	}
	return worst, found
}

// evaluateHold evaluates a request with enough occurrences: it returns a suspicion with its
// hold. A crash during a hold doesn't extend it, since its attempt was in progress when the
// hold began.
func evaluateHold(chain []*crash) suspicion {
	hold := initialHold
	until := chain[occurrenceThreshold-1].at + hold
	for _, c := range chain[occurrenceThreshold:] {
		if c.at < until {
			continue
		}
		hold = min(holdFactor*hold, maxHold)
		until = c.at + hold
	}
	return suspicion{
		occurrences:   len(chain),
		isQuarantined: true,
		heldUntil:     until,
		retainUntil:   until + evidenceTTL,
	}
}

// sortByTime sorts records by time, and those of one origin with equal times by number.
func sortByTime(records []storedRecord) {
	slices.SortFunc(records, func(a, b storedRecord) int {
		return cmp.Or(cmp.Compare(a.seenBound, b.seenBound), cmp.Compare(a.record.Origin, b.record.Origin), cmp.Compare(a.record.Number, b.record.Number))
	})
}

// remaining returns how much of the hold is left at a time, 0 where there is none.
func (s suspicion) remaining(now mgclock.Millis) mgclock.Millis {
	if !s.isQuarantined {
		return 0
	}
	return max(s.heldUntil-now, 0)
}
