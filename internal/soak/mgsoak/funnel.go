package mgsoak

import (
	"math/rand/v2"
	"strings"
)

const (
	// funnelShare is the share of the readers' first tries that go to one entry in a funnel.
	funnelShare = 0.9
	// minFunnelServed is the least part of the first tries that must be served there, as a part of
	// the share of those at other times.
	minFunnelServed = 0.75
	// minFunnelled is the number of first tries in a funnel from which their share is checked.
	minFunnelled = 12
)

// entryFor returns the entry that a reader's request goes to, and whether a funnel has sent it there.
// Retries meet other entries as ever.
func (r *run) entryFor(number, try int, rng *rand.Rand) (entry int, funnelled bool) {
	drawn := rng.Float64() // also outside a funnel, so that it changes no other draw
	if funnel := r.funnel.Load(); funnel > 0 && try == 0 && drawn < funnelShare {
		return int(funnel) - 1, true
	}
	return number % len(r.deployment.entries), false
}

// checkFunnel compares how often the first tries in a funnel are served with how often others are,
// while no entry has a fault.
func (r *run) checkFunnel() []Finding {
	tries, served := map[bool]int{}, map[bool]int{}
	for _, s := range r.evidence.streams {
		for _, request := range s.requests {
			if r.hasEntryFault(request) {
				continue
			}
			tries[request.funnelled]++
			if request.servedFirst {
				served[request.funnelled]++
			}
		}
	}
	if tries[true] < minFunnelled || tries[false] == 0 {
		return nil
	}
	inside, outside := float64(served[true])/float64(tries[true]), float64(served[false])/float64(tries[false])
	if inside >= minFunnelServed*outside {
		return nil
	}
	return []Finding{newFinding(funnelServed, "%d of %d first tries are served, %d of %d others", served[true], tries[true], served[false], tries[false])}
}

// hasEntryFault reports whether an entry had a fault while a reader asked, or soon before.
func (r *run) hasEntryFault(request streamRequest) bool {
	for _, s := range r.faultIntervals {
		if strings.HasPrefix(s.fault.Target, "entry-") && s.start <= request.ended && request.began <= s.end+recordDelay {
			return true
		}
	}
	return false
}
