package mgquarantine

import (
	"cmp"
	"slices"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// occurrenceThreshold is the number of occurrences after which a request, or a part of
	// prompts, is held.
	occurrenceThreshold = 3
	// minPartMoments is the number of occurrences, each provably later than the one before, from
	// which all crashes of requests with a part count, also those that may be of one moment: such
	// requests come at many entries at the same time.
	minPartMoments = 2
	// partCoverage is the least share of the crashes of a part that a narrower one must explain to
	// be preferred. Parts are narrower the later they come in a prompt.
	partCoverage = 2.0 / 3
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
	// partHoldFactor and maxPartHold are the same for a part. Each trial costs an engine for as
	// long as requests with the part come.
	partHoldFactor = 16
	maxPartHold    = 128 * mgclock.Minute
	// maxEvaluatedCrashes limits how many crashes of one request are evaluated. Only the
	// latest ones are.
	maxEvaluatedCrashes = 128
)

// crash is the end of one upstream, with the requests that may have caused it.
type crash struct {
	at              mgclock.Millis
	records         []storedRecord // of requests that were about to begin or had begun
	hasBegunRequest bool           // some of these requests had just begun; those are likelier causes than any that waited
	explained       bool
	isOneOfMany     bool // more upstreams crashed at about this moment than one request crashes
}

// isSuspect reports whether a record's request is among the likeliest causes.
func (c *crash) isSuspect(s storedRecord) bool {
	return s.isRunning() || s.record.Begun == c.hasBegunRequest
}

// involves reports whether a request, or one with a part, was about to begin or had begun.
func (c *crash) involves(digest Digest) bool {
	return slices.ContainsFunc(c.records, func(s storedRecord) bool { return slices.Contains(s.suspects, digest) })
}

// suspicion is the evaluation of the records of one request, or of all requests with a part: the
// occurrences that it is suspected of, its hold, and how long its records are needed.
type suspicion struct {
	isPart        bool
	occurrences   int
	lastCrashAt   mgclock.Millis
	outlivedAfter mgclock.Millis // a generation that has run for as long voids one of the crashes at least
	answered      bool           // an upstream has answered it, before or after its crashes
	isLate        bool           // its crashes were at about one place in the middle of its answers
	safeAfter     mgclock.Millis // a generation that has run for as long has outlived all crashes
	isQuarantined bool           // also true after the hold has ended
	heldUntil     mgclock.Millis // end of the hold
	trialUntil    mgclock.Millis // end of the wait for the outcome of a trial, 0 where none has begun
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
		c.hasBegunRequest = c.hasBegunRequest || s.record.Begun && !s.isRunning()
	}
	return all
}

// evaluation holds what the evaluation of crashes depends on beside them.
type evaluation struct {
	answered      func(Digest) bool // an upstream has answered the request, or one with the part
	cautiousUntil mgclock.Millis    // see Quarantine.cautiousUntil
}

// evaluate computes the suspicion of each request and part from the evidence, sorted by time. It
// is a greedy set cover: the explanation of most crashes explains those, and the remaining crashes
// count against the others.
func (v evaluation) evaluate(records []storedRecord) map[Digest]suspicion {
	crashes := groupCrashes(records)
	markMoments(crashes)
	suspicions := map[Digest]suspicion{}
	unexplained := v.explanations(crashes)
	for {
		worst, found := bestExplanation(unexplained)
		if !found || len(worst.occurrences) < worst.threshold {
			for _, e := range unexplained {
				s := e.suspicion()
				s.retainUntil = s.lastCrashAt + evidenceTTL
				suspicions[e.digest] = s
			}
			return suspicions
		}
		suspicions[worst.digest] = evaluateHold(worst)
		if len(worst.occurrences) == cautiousThreshold {
			// A single crash doesn't tell which of the requests that were just starting has caused it.
			unexplained = slices.DeleteFunc(unexplained, func(e *explanation) bool { return e == worst })
			continue
		}
		for _, c := range crashes {
			c.explained = c.explained || c.involves(worst.digest)
		}
		unexplained = v.explanations(crashes)
	}
}

// longestChain returns the longest sequence of crashes each of which is a later occurrence
// than the one before, for one request or part. Sorting by time isn't enough, since a record may
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

// earlierCrashes returns, for each crash of a request or part, the ascending indexes of those that
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
			if s.involves(digest) {
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
			if !s.involves(digest) {
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

// evaluateHold evaluates a request or part with enough occurrences: it returns a suspicion with its
// hold. A crash during a hold doesn't extend it, since its attempt was in progress when the
// hold began.
func evaluateHold(e *explanation) suspicion {
	factor, limit := mgclock.Millis(holdFactor), maxHold
	if e.breadth > 0 {
		factor, limit = partHoldFactor, maxPartHold
	}
	hold, threshold := initialHold, e.threshold
	switch {
	case threshold == cautiousThreshold && len(e.occurrences) == cautiousThreshold:
		hold = cautiousHold
	case threshold == cautiousThreshold:
		threshold = cautiousLateThreshold // a second crash ends the doubt, also within the short hold
	}
	until := e.occurrences[threshold-1].at + hold
	for _, c := range e.occurrences[threshold:] {
		if c.at < until {
			continue
		}
		hold = min(max(factor*hold, initialHold), limit)
		until = c.at + hold
	}
	s := e.suspicion()
	s.isQuarantined = true
	s.heldUntil = until
	s.retainUntil = until + evidenceTTL
	return s
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
