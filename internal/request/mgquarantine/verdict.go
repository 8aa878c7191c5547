package mgquarantine

import (
	"cmp"
	"slices"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// A Verdict is the evidence against a request and its hold.
type Verdict struct {
	digest      Digest
	occurrences int
	remaining   mgclock.Millis
	evidence    []Record
}

// Digest returns the request's digest.
func (v Verdict) Digest() Digest { return v.digest }

// Occurrences returns how many crash occurrences are attributed to the request.
func (v Verdict) Occurrences() int { return v.occurrences }

// Remaining returns how long the request is still held, 0 where it isn't.
func (v Verdict) Remaining() mgclock.Millis { return v.remaining }

// Evidence returns the records of the crashes, the newest first.
func (v Verdict) Evidence() []Record { return v.evidence }

// Verdicts returns the evidence against all requests, sorted by digest.
func (q *Quarantine) Verdicts(now mgclock.Millis) []Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	current := q.state.Load()
	if current == nil {
		return nil
	}
	records := map[Digest][]Record{}
	for _, s := range q.evidence() {
		records[s.digest] = append(records[s.digest], s.withAge(now))
	}
	verdicts := make([]Verdict, 0, len(current.suspicions))
	for digest, suspicion := range current.suspicions {
		slices.Reverse(records[digest])
		verdicts = append(verdicts, Verdict{
			digest:      digest,
			occurrences: suspicion.occurrences,
			remaining:   suspicion.remaining(now),
			evidence:    records[digest],
		})
	}
	slices.SortFunc(verdicts, func(a, b Verdict) int { return cmp.Compare(a.digest.String(), b.digest.String()) })
	return verdicts
}
