package mgquarantine

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// explanation is a request, or a part of prompts, with the crashes that it may explain.
type explanation struct {
	digest      Digest
	breadth     int // 0 for a request; for a part its largest distance from the end of a prompt
	suspected   []*crash
	occurrences []*crash                  // those that count
	threshold   int                       // the number of occurrences from which it is held
	answered    bool                      // an upstream has answered it, before or after these crashes
	ran         map[*crash]mgclock.Millis // the shortest time that one had run at a crash since its first event
	waiting     int                       // crashes at which all of them waited
}

// explanations returns, for each request and part, the crashes that it is suspected of and that
// nothing else explains, and those that count. For a request they are its longest chain: a sequence
// in which each crash is a later occurrence than the one before.
func (v evaluation) explanations(crashes []*crash) []*explanation {
	byDigest := map[Digest]*explanation{}
	var all []*explanation
	for _, c := range crashes {
		if c.explained {
			continue
		}
		for _, s := range c.records {
			if !c.isSuspect(s) {
				continue
			}
			for _, digest := range s.suspects {
				e := byDigest[digest]
				if e == nil {
					e = &explanation{
						digest: digest,
						ran:    map[*crash]mgclock.Millis{},
					}
					byDigest[digest] = e
					all = append(all, e)
				}
				e.breadth = max(e.breadth, s.breadthOf(digest))
				if len(e.suspected) == 0 || e.suspected[len(e.suspected)-1] != c {
					e.suspected = append(e.suspected, c)
					e.ran[c] = s.record.Ran
				}
				e.ran[c] = min(e.ran[c], s.record.Ran)
			}
		}
	}
	for _, e := range all {
		e.countWaiting()
		e.suspected = e.suspected[max(len(e.suspected)-maxEvaluatedCrashes, 0):]
		e.occurrences = e.suspected
		if len(e.suspected) > 1 {
			e.occurrences = longestChain(e.digest, e.suspected)
		}
		if e.breadth > 0 && len(e.occurrences) >= minPartMoments {
			e.occurrences = e.suspected
		}
		e.answered = v.answered(e.digest)
		e.threshold = v.thresholdFor(e)
		if e.threshold < occurrenceThreshold {
			e.occurrences = e.suspected
		}
	}
	return all
}

// countWaiting counts the crashes at which all requests of the explanation waited.
func (e *explanation) countWaiting() {
	for _, c := range e.suspected {
		hasBegun := slices.ContainsFunc(c.records, func(s storedRecord) bool {
			return s.record.Begun && slices.Contains(s.suspects, e.digest)
		})
		if !hasBegun {
			e.waiting++
		}
	}
}

// rank returns 2 for an explanation of enough crashes that was never answered, 1 for one that was.
func (e *explanation) rank() int {
	switch {
	case len(e.occurrences) < e.threshold:
		return 0
	case e.answered:
		return 1
	default:
		return 2
	}
}

// spread returns the difference between the longest and the shortest time after which its upstreams
// ended. A request that ends them does so at about the same place of its answer; one that ran beside
// it was anywhere in its own.
func (e *explanation) spread() mgclock.Millis {
	shortest, longest := e.ran[e.suspected[0]], mgclock.Millis(0)
	for _, c := range e.suspected {
		shortest, longest = min(shortest, e.ran[c]), max(longest, e.ran[c])
	}
	return longest - shortest
}

// suspicion returns the suspicion without a hold.
func (e *explanation) suspicion() suspicion {
	s := suspicion{
		isPart:        e.breadth > 0,
		occurrences:   len(e.occurrences),
		lastCrashAt:   e.suspected[len(e.suspected)-1].at,
		answered:      e.answered,
		outlivedAfter: outlivedAfter(e.ran[e.suspected[0]]),
	}
	longest := mgclock.Millis(0)
	for _, c := range e.suspected {
		s.outlivedAfter = min(s.outlivedAfter, outlivedAfter(e.ran[c]))
		longest = max(longest, e.ran[c])
	}
	s.safeAfter = outlivedAfter(longest)
	s.isLate = s.outlivedAfter >= outlivedAfter(StartWindow) && longest <= s.outlivedAfter
	return s
}

// bestExplanation returns the explanation of most crashes, the narrowest one if there are several.
// Requests and parts that have been answered, as hot ones are all the time, come after all others that
// explain enough. A part gives way to a narrower one that explains nearly as many: what all requests of a route
// have in common is in each of their crashes, whatever has caused them. All processes choose the
// same explanation.
func bestExplanation(all []*explanation) (best *explanation, found bool) {
	isBetter := func(a, b *explanation) bool {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(len(a.occurrences), len(b.occurrences)), cmp.Compare(b.breadth, a.breadth),
			cmp.Compare(b.waiting, a.waiting), cmp.Compare(b.spread(), a.spread()), bytes.Compare(b.digest[:], a.digest[:])) > 0
	}
	for _, e := range all {
		if best == nil || isBetter(e, best) {
			best = e
		}
	}
	if best == nil || best.breadth == 0 {
		return best, best != nil
	}
	narrowest := best
	for _, e := range all {
		covers := float64(len(e.occurrences)) >= partCoverage*float64(len(best.occurrences))
		if e.breadth == 0 || !covers || e.rank() < max(best.rank(), 1) {
			continue
		}
		if e.breadth < narrowest.breadth || e.breadth == narrowest.breadth && isBetter(e, narrowest) {
			narrowest = e
		}
	}
	return narrowest, true
}
