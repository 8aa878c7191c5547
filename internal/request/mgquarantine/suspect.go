package mgquarantine

import (
	"cmp"
	"slices"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// A Suspect is a request, or a part of prompts, against which there is evidence, with that evidence
// and its hold, if any.
type Suspect struct {
	digest      Digest
	isPart      bool
	occurrences int
	remaining   mgclock.Millis
	evidence    []Record
}

// Digest returns the digest of the request or part.
func (v Suspect) Digest() Digest { return v.digest }

// IsPart reports whether it is a part of prompts.
func (v Suspect) IsPart() bool { return v.isPart }

// Occurrences returns how many crash occurrences are attributed to it.
func (v Suspect) Occurrences() int { return v.occurrences }

// Remaining returns how long it is still held, 0 where it isn't.
func (v Suspect) Remaining() mgclock.Millis { return v.remaining }

// Evidence returns the records of the crashes, the newest first.
func (v Suspect) Evidence() []Record { return v.evidence }

// Suspects returns all requests and parts against which there is evidence, sorted by digest.
func (q *Quarantine) Suspects(now mgclock.Millis) []Suspect {
	q.mu.Lock()
	defer q.mu.Unlock()
	current := q.state.Load()
	if current == nil {
		return nil
	}
	records := map[Digest][]Record{}
	for _, s := range q.evidence(q.answers()) {
		for _, digest := range s.suspects {
			records[digest] = append(records[digest], s.withAge(now))
		}
	}
	suspects := make([]Suspect, 0, len(current.suspicions))
	for digest, suspicion := range current.suspicions {
		slices.Reverse(records[digest])
		suspects = append(suspects, Suspect{
			digest:      digest,
			isPart:      suspicion.isPart,
			occurrences: suspicion.occurrences,
			remaining:   suspicion.remaining(now),
			evidence:    records[digest],
		})
	}
	slices.SortFunc(suspects, func(a, b Suspect) int { return cmp.Compare(a.digest.String(), b.digest.String()) })
	return suspects
}
