package mgquarantine

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// needed is the number of occurrences after which a request is held.
	needed = 3
	// momentSpan is the time in which crashes are one occurrence, unless the request was
	// sent to the second upstream after the first had ended. What ends several upstreams
	// at once, such as the loss of an availability zone, is no request. The span is between
	// times of one clock.
	momentSpan = 300 * mgclock.Millis(1)
	// crashSpan is the time in which reports about one upstream are of the same crash,
	// unless an attempt was sent after the other had ended: longer than reports differ,
	// shorter than an upstream takes to start again.
	crashSpan = mgclock.Second
	// holdSpan is the first hold. Each crash after a hold makes the next one holdFactor
	// times as long, up to longestHold.
	holdSpan    = 30 * mgclock.Second
	holdFactor  = 4
	longestHold = 32 * mgclock.Minute
	// chainMost bounds the crashes of one request that are weighed, the latest ones.
	chainMost = 128
)

// crash is the end of one upstream and the requests that may have caused it.
type crash struct {
	at        mgclock.Millis
	notes     []stored // of requests that were about to begin or had just begun
	begun     bool     // some of them had begun, which are likelier than the others
	explained bool
}

// suspects reports whether a note's request is among the likeliest.
func (c *crash) suspects(s stored) bool { return s.note.Begun == c.begun }

// has reports whether a request was about to begin or had just begun.
func (c *crash) has(digest Digest) bool {
	return slices.ContainsFunc(c.notes, func(s stored) bool { return s.digest == digest })
}

// suspicion is what the notes say of a request.
type suspicion struct {
	occurrences int
	held        bool           // it is, or was until its hold ended
	until       mgclock.Millis // end of the hold
	retain      mgclock.Millis // until when its notes are needed
}

// crashesOf groups notes, sorted by time, into crashes.
func crashesOf(notes []stored) []*crash {
	var all []*crash
	last := map[string]*crash{} // by upstream
	for _, s := range notes {
		c := last[s.note.Upstream]
		if c == nil || s.at >= c.at+crashSpan || slices.ContainsFunc(c.notes, s.after) {
			c = &crash{
				at: s.at,
			}
			last[s.note.Upstream] = c
			all = append(all, c)
		}
		c.notes = append(c.notes, s)
		c.begun = c.begun || s.note.Begun
	}
	return all
}

// judge returns what evidence, sorted by time, says of each request. The request in most
// crashes explains those; what is left is held against the others.
func judge(notes []stored) map[Digest]suspicion {
	crashes := crashesOf(notes)
	verdicts := map[Digest]suspicion{}
	for {
		left := occurrences(crashes)
		worst, found := mostSeen(left)
		if !found || len(left[worst]) < needed {
			for digest, seen := range left {
				verdicts[digest] = suspicion{
					occurrences: len(seen),
					retain:      seen[len(seen)-1].at + evidenceLife,
				}
			}
			return verdicts
		}
		verdicts[worst] = holdOf(left[worst])
		for _, c := range crashes {
			c.explained = c.explained || c.has(worst)
		}
	}
}

// occurrences returns the crashes that each request is suspected of and no other
// explains, one of each moment.
func occurrences(crashes []*crash) map[Digest][]*crash {
	suspected := map[Digest][]*crash{}
	for _, c := range crashes {
		if c.explained {
			continue
		}
		for _, s := range c.notes {
			all := suspected[s.digest]
			if c.suspects(s) && (len(all) == 0 || all[len(all)-1] != c) {
				suspected[s.digest] = append(all, c)
			}
		}
	}
	seen := map[Digest][]*crash{}
	for digest, all := range suspected {
		seen[digest] = longestChain(digest, all[max(len(all)-chainMost, 0):])
	}
	return seen
}

// longestChain returns the longest row of crashes each of which is a later occurrence for a
// request than the one before. The times of notes order them only roughly: a note may have
// come on a slow way.
func longestChain(digest Digest, crashes []*crash) []*crash {
	earlier := earlierCrashes(digest, crashes)
	chains := make([][]*crash, len(crashes)) // the longest one that ends with each crash
	var chainTo func(i int) []*crash
	chainTo = func(i int) []*crash {
		if chains[i] != nil {
			return chains[i]
		}
		chains[i] = crashes[i : i+1 : i+1] // ends the search where notes contradict each other
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

// earlierCrashes returns, for each crash of a request, which of them are earlier
// occurrences, in their order. A note is compared with those of its process and with those
// that it names.
func earlierCrashes(digest Digest, crashes []*crash) [][]int {
	type place struct {
		note  stored
		crash int
	}
	named := map[Reference]int{}
	process := map[string][]place{}
	for i, c := range crashes {
		for _, s := range c.notes {
			if s.digest == digest {
				named[s.reference()] = i
				process[s.note.Origin] = append(process[s.note.Origin], place{
					note:  s,
					crash: i,
				})
			}
		}
	}
	earlier := make([][]int, len(crashes))
	for i, c := range crashes {
		for _, s := range c.notes {
			if s.digest != digest {
				continue
			}
			for _, other := range process[s.note.Origin] {
				if other.crash != i && s.after(other.note) {
					earlier[i] = append(earlier[i], other.crash)
				}
			}
			for _, name := range s.note.After {
				if at, known := named[name]; known && at != i {
					earlier[i] = append(earlier[i], at)
				}
			}
		}
		slices.Sort(earlier[i])
		earlier[i] = slices.Compact(earlier[i])
	}
	return earlier
}

// mostSeen returns the request with the most occurrences. Of equals it returns the one
// that all processes agree on.
func mostSeen(seen map[Digest][]*crash) (worst Digest, found bool) {
	for digest := range seen {
		more := cmp.Compare(len(seen[digest]), len(seen[worst]))
		if !found || more > 0 || more == 0 && bytes.Compare(digest[:], worst[:]) < 0 {
			worst, found = digest, true
		}
	}
	return worst, found
}

// holdOf returns the hold of a request with enough occurrences. Crashes during a hold are
// of attempts that were under way when it began.
func holdOf(seen []*crash) suspicion {
	span := holdSpan
	until := seen[needed-1].at + span
	for _, c := range seen[needed:] {
		if c.at < until {
			continue
		}
		span = min(holdFactor*span, longestHold)
		until = c.at + span
	}
	return suspicion{
		occurrences: len(seen),
		held:        true,
		until:       until,
		retain:      until + evidenceLife,
	}
}

// byTime sorts notes. Those of one process that were seen at once are in its order.
func byTime(notes []stored) {
	slices.SortFunc(notes, func(a, b stored) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.note.Origin, b.note.Origin), cmp.Compare(a.note.Number, b.note.Number))
	})
}

// left returns how long the hold lasts at a time, 0 where there is none.
func (s suspicion) left(now mgclock.Millis) mgclock.Millis {
	if !s.held {
		return 0
	}
	return max(s.until-now, 0)
}
