package mgquarantine

import (
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Take takes notes of other processes. Those that can't be used are left out, and returned
// with the reason.
func (q *Quarantine) Take(now mgclock.Millis, notes []Note) (refused []*Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	news := false
	changed := map[Digest]bool{}
	for _, note := range notes {
		if refusal := note.check(); refusal != nil {
			refused = append(refused, refusal)
			continue
		}
		if note.Age >= noteLife || note.Origin == q.origin {
			continue
		}
		digest, _ := ParseDigest(note.Digest) // it was checked
		better, isNews := q.learn(now, digest, note)
		changed[digest] = changed[digest] || better
		news = news || isNews
	}
	for digest := range changed {
		news = q.restate(now, digest) || news
	}
	if news {
		q.settle(now)
	}
	return refused
}

// learn keeps another process's note, or what a copy of it tells better. It reports whether
// anything is better known than before, and whether that is worth telling on.
func (q *Quarantine) learn(now mgclock.Millis, digest Digest, note Note) (better, isNews bool) {
	at := q.when(now, note)
	s, known := q.notes[note.name()]
	if known && at >= s.at {
		return false, false
	}
	isNews = !known || s.at-at >= newsGain
	if !known {
		s = stored{
			note:   note,
			digest: digest,
		}
	}
	if isNews {
		s.learned = now
	}
	s.at = at
	q.put(s)
	return true, isNews
}

// News returns the notes that this process learned lately, and so tells on.
func (q *Quarantine) News(now mgclock.Millis) []Note {
	return q.collect(now, func(s stored) bool { return now < s.learned+newsSpan })
}

// Lacking returns the notes that a process may lack whose Sums these are.
func (q *Quarantine) Lacking(now mgclock.Millis, theirs Sums) []Note {
	own := q.Sums()
	return q.collect(now, func(s stored) bool {
		part := s.name().part()
		return own.at(part) != theirs.at(part)
	})
}

func (q *Quarantine) collect(now mgclock.Millis, wanted func(stored) bool) []Note {
	q.mu.Lock()
	defer q.mu.Unlock()
	var notes []Note
	for _, s := range q.notes {
		if wanted(s) {
			notes = append(notes, s.told(now))
		}
	}
	return notes
}

// Refine returns those of another process's notes that are known here to be older than it
// tells by newsGain at least, so that it can place them better.
func (q *Quarantine) Refine(now mgclock.Millis, told []Note) []Note {
	q.mu.Lock()
	defer q.mu.Unlock()
	var older []Note
	for _, note := range told {
		s, known := q.notes[note.name()]
		if known && now-s.at >= note.Age+newsGain {
			older = append(older, s.told(now))
		}
	}
	return older
}

// Sums returns checksums of which notes there are, or nil where there are none.
func (q *Quarantine) Sums() Sums {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.notes) == 0 {
		return nil
	}
	sums := make(Sums, sumParts)
	for name := range q.notes {
		sums[name.part()] += name.hash()
	}
	return sums
}
