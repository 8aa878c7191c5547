package mgsoak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"

	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgstandin"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// lateInterval is the time between two requests with the prompt that crashes engines late.
	lateInterval = 400 * mgclock.Millis(1)
	// maxLateCrashes is the number of engines that may crash under it: three, and as many requests
	// may follow from all entries together, also once all were lost.
	maxLateCrashes = 3 + 3
)

// sendLate sends a prompt that crashes its engine in the middle of the answer to the entries in turn,
// and beside it a sound one that is always the same, of which several run at a time.
func (r *run) sendLate(ctx context.Context, f Fault) {
	var hot sync.WaitGroup
	defer hot.Wait()
	end := r.now() + f.Duration
	r.sendHot(ctx, r.deployment.entries[0]) // it was answered before
	for n := 0; r.now() < end && ctx.Err() == nil; n++ {
		entry := r.deployment.entries[n%len(r.deployment.entries)]
		hot.Go(func() { r.sendHot(ctx, entry) })
		r.sendPart(ctx, entry, mgstandin.CrashLateMark+" len=60")
		r.sleep(ctx, lateInterval)
	}
}

// sendHot sends the sound prompt and counts whether it was held.
func (r *run) sendHot(ctx context.Context, entry string) {
	status, text := r.sendPart(ctx, entry, "the level of all tanks len=60")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence.hot.sound++
	if status == http.StatusServiceUnavailable && strings.Contains(string(text), "quarantined") {
		r.evidence.hot.held++
	}
}

// loseEntries kills all entries before it restarts the first one.
func (r *run) loseEntries() error {
	for _, name := range r.deployment.names.entries {
		r.advanceIncarnation(name)
		r.deployment.processes[name].Kill()
	}
	for _, name := range r.deployment.names.entries {
		if err := r.restart(name); err != nil {
			return fmt.Errorf("restart of %s after all entries were lost: %w", name, err)
		}
	}
	return nil
}

// checkLateCrashes reports a finding if the prompt crashed more engines than may be, or if the sound one
// beside it was held. More may crash for each entry that failed by itself and may have missed records.
func (r *run) checkLateCrashes() []Finding {
	var found []Finding
	allowed := maxLateCrashes
	for _, s := range r.faultIntervals {
		if strings.HasPrefix(s.fault.Target, "entry-") {
			allowed += maxPromptCrashes
		}
	}
	if r.evidence.lateCrashes > allowed {
		found = append(found, newFinding(crashLateBlocked, "%d engines crashed, at most %d are allowed", r.evidence.lateCrashes, allowed))
	}
	hot := r.evidence.hot
	if hot.sound >= minSoundPrompts && float64(hot.sound-hot.held) < minSoundShare*float64(hot.sound) {
		found = append(found, newFinding(soundHotServed, "%d of %d were held", hot.held, hot.sound))
	}
	return found
}
