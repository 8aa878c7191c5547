package mgquarantine

import (
	"cmp"
	"maps"
	"slices"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// afterMost bounds how many notes of other processes one note names as earlier.
	afterMost = 8
	// restateMost bounds how many times a process says more of one attempt, and
	// attemptsMost the attempts of one request of which it does, the latest ones.
	restateMost  = 4
	attemptsMost = 8
	// clockSlack is how far the offset of an origin's clock may differ between two of its
	// notes. A clock that stood still meanwhile makes it differ by more.
	clockSlack = 500 * mgclock.Millis(1)
)

// Watch sets what looks for a pause of the process, and calls Paused where there was one,
// before a crash is taken. Call it before the quarantine is used.
func (q *Quarantine) Watch(check func()) { q.check = check }

// Paused takes that the process, or its clock, stood still until now. Attempts that were
// under way say nothing about the order of crashes: their ends may have been seen late, and
// others' notes can't be placed in the time before.
func (q *Quarantine) Paused(now mgclock.Millis) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.paused = now
}

// pausedSince reports whether the process paused after a time.
func (q *Quarantine) pausedSince(at mgclock.Millis) bool { return q.paused > 0 && at <= q.paused }

// when returns when a note was seen at the latest, by this process's clock: its age leaves
// out what it took on its way. Notes of one origin keep their order and distance,
// whichever ways they came, by the least offset that any of them shows.
func (q *Quarantine) when(now mgclock.Millis, note Note) mgclock.Millis {
	fresh := now - note.Age - note.Seen
	offset, known := q.offsets[note.Origin]
	if drift := fresh - offset; known && drift >= 0 && drift <= clockSlack {
		return note.Seen + offset
	}
	if q.offsets == nil || len(q.offsets) >= most {
		q.offsets = map[string]mgclock.Millis{}
	}
	q.offsets[note.Origin] = fresh
	if known && fresh < offset && offset-fresh <= clockSlack {
		for name, s := range q.notes {
			if name.origin == note.Origin && s.at == s.note.Seen+offset {
				s.at = s.note.Seen + fresh
				q.notes[name] = s
			}
		}
	}
	return note.Seen + fresh
}

// earlier returns the notes of other processes which an own note proves to be of earlier
// occurrences, without those that are known to be, the latest ones first.
func (q *Quarantine) earlier(own stored, known []Reference) []Reference {
	if !own.crashed() || q.pausedSince(own.note.Sent) {
		return nil
	}
	var proven []stored
	for _, s := range q.notes {
		if s.digest != own.digest || !s.crashed() || s.note.Of != 0 || s.note.Origin == q.origin {
			continue
		}
		if own.proves(s) && !slices.Contains(known, s.reference()) {
			proven = append(proven, s)
		}
	}
	byTime(proven)
	slices.Reverse(proven)
	var names []Reference
	for _, s := range proven[:min(len(proven), afterMost)] {
		names = append(names, s.reference())
	}
	return names
}

// restate makes notes of what this process's own ones about a request prove now, and
// reports whether there are any.
func (q *Quarantine) restate(now mgclock.Millis, digest Digest) bool {
	own := map[uint64][]stored{} // by the first note's number
	for _, s := range q.notes {
		if s.digest == digest && s.crashed() && s.note.Origin == q.origin {
			own[s.base().number] = append(own[s.base().number], s)
		}
	}
	numbers := slices.Sorted(maps.Keys(own))
	fresh := false
	for _, number := range numbers[max(len(numbers)-attemptsMost, 0):] {
		said := own[number]
		if len(said) > restateMost {
			continue
		}
		first := slices.MinFunc(said, func(a, b stored) int { return cmp.Compare(a.note.Number, b.note.Number) })
		var known []Reference
		for _, s := range said {
			known = append(known, s.note.After...)
		}
		names := q.earlier(first, known)
		if len(names) == 0 {
			continue
		}
		first.note.Of = first.base().number
		first.note.After = names
		first.learned = now
		q.putOwn(first)
		fresh = true
	}
	return fresh
}
