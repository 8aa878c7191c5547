package mgsoak

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgstandin"
)

const (
	// maxPartCrashes is the number of engines that may crash under prompts with one part:
	// judgedPartCrashes, and as many again as requests may follow.
	maxPartCrashes    = judgedPartCrashes + 3
	judgedPartCrashes = 5
	// minSoundPrompts is the number of sound prompts from which their share is checked, and
	// minSoundShare the least part of these that isn't held.
	minSoundPrompts = 12
	minSoundShare   = 0.95
	// partBytes is the length of each part, several blocks of the prefix cache.
	partBytes = 1024
)

// partPrompts counts the sound prompts that share the first part of those that crash engines.
type partPrompts struct {
	sound int
	held  int
}

// sendParts sends prompts with a part that crashes engines, each with an end of its own, to the
// entries in turn, and beside each a sound one with the same first part.
func (r *run) sendParts(ctx context.Context, f Fault) {
	shared := strings.Repeat("shared rules of the harbour. ", partBytes/29)
	deadly := strings.Repeat(mgstandin.CrashPartMark+" a page of the log. ", partBytes/26)
	end := r.now() + f.Duration
	for n := 0; r.now() < end && ctx.Err() == nil; n++ {
		entry := r.deployment.entries[n%len(r.deployment.entries)]
		r.sendPart(ctx, entry, fmt.Sprintf("%s%sown text %d len=5", shared, deadly, n))
		status, text := r.sendPart(ctx, entry, fmt.Sprintf("%sown text %d len=5", shared, n))
		r.mu.Lock()
		r.evidence.parts.sound++
		if status == http.StatusServiceUnavailable && strings.Contains(string(text), "quarantined") {
			r.evidence.parts.held++
		}
		r.mu.Unlock()
		r.sleep(ctx, promptInterval)
	}
}

// sendPart sends one prompt. Any failure is acceptable.
func (r *run) sendPart(ctx context.Context, entry, prompt string) (status int, text []byte) {
	body := fmt.Sprintf(`{"model":"report","messages":[{"role":"user","content":%q}]}`, prompt)
	return call(ctx, http.MethodPost, entry+"/v1/chat/completions", firstKey, body)
}

// checkPartCrashes reports a finding if prompts with the part crashed more engines than the entries'
// records can explain, or if sound prompts that share their first part were held.
func (r *run) checkPartCrashes() []Finding {
	var found []Finding
	if allowed := maxPartCrashes + r.extraPartCrashes(); r.evidence.partCrashes > allowed {
		found = append(found, newFinding(crashPartBlocked, "%d engines crashed, at most %d are allowed", r.evidence.partCrashes, allowed))
	}
	parts := r.evidence.parts
	if parts.sound >= minSoundPrompts && float64(parts.sound-parts.held) < minSoundShare*float64(parts.sound) {
		found = append(found, newFinding(soundPartsServed, "%d of %d sound prompts were held", parts.held, parts.sound))
	}
	return found
}

// extraPartCrashes returns how many more engines may crash because an entry was restarted, paused or
// cut off and may miss records.
func (r *run) extraPartCrashes() int {
	var sent faultInterval
	for _, s := range r.faultIntervals {
		if s.fault.Kind == CrashPart {
			sent = s
		}
	}
	extra := 0
	for _, s := range r.faultIntervals {
		if s.fault.hitsEntries() && s.start < sent.end && sent.start < s.end+promptReportDelay {
			extra += maxPromptCrashes
		}
	}
	return extra
}
