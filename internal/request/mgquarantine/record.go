package mgquarantine

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// A Note is what one process has seen of a request, as it tells others.
type Note struct {
	Origin   string         `json:"origin"` // the process's incarnation
	Number   uint64         `json:"number"` // from 1, of the process's notes
	Digest   string         `json:"digest"`
	Request  string         `json:"request,omitempty"`  // id of the attempt's request
	Upstream string         `json:"upstream,omitempty"` // the one that ended; empty: the request was answered
	Begun    bool           `json:"begun,omitempty"`    // the upstream had begun the request
	Sent     mgclock.Millis `json:"sent,omitempty"`     // when the attempt was sent, by the origin's clock
	Seen     mgclock.Millis `json:"seen,omitempty"`     // when its end was seen, by the origin's clock
	Age      mgclock.Millis `json:"age"`                // ms since it was seen, at least
	// Delay is how long before it was seen the upstream may have ended, ms.
	Delay mgclock.Millis `json:"delay,omitempty"`
	// After names notes of other processes: the upstreams of those had ended in an
	// earlier moment. A note that says more than an earlier one repeats it, and has that
	// one's number in Of.
	After []Reference `json:"after,omitempty"`
	Of    uint64      `json:"of,omitempty"`
}

// A Reference names another process's note.
type Reference struct {
	Origin string `json:"origin"`
	Number uint64 `json:"number"`
}

// recordID names a note among those of all processes.
type recordID struct {
	origin string
	number uint64
}

// hash returns a hash of the name.
func (n recordID) hash() uint64 { return xxhash.Sum64String(n.origin) ^ n.number*hashMultiplier }

// hashMultiplier is 2^64 over the golden ratio: consecutive numbers times it differ in their
// high bits (multiplicative hashing, D. Knuth, The Art of Computer Programming 3, 6.4).
const hashMultiplier = 0x9e3779b97f4a7c15

// bucket returns which of the Sums the note counts in.
func (n recordID) bucket() int { return int(n.hash() >> (64 - sumBits)) }

const (
	sumBits    = 5
	sumBuckets = 1 << sumBits
)

// Sums are checksums by which two processes find out which notes they don't share: each
// of a part of the notes. Nil is of none.
type Sums []uint64

// at returns the checksum of a part.
func (s Sums) at(bucket int) uint64 {
	if bucket >= len(s) {
		return 0
	}
	return s[bucket]
}

// storedRecord is a note as it is kept.
type storedRecord struct {
	record    Note // its age is as it was told
	digest    Digest
	seenBound mgclock.Millis // when it was seen at the latest, by this process's clock
	learnedAt mgclock.Millis // when this process learned of it
}

// id returns the note's id.
func (n Note) id() recordID {
	return recordID{
		origin: n.Origin,
		number: n.Number,
	}
}

// id returns the note's id.
func (s storedRecord) id() recordID { return s.record.id() }

// reference returns the note's name as others tell it.
func (s storedRecord) reference() Reference {
	return Reference{
		Origin: s.record.Origin,
		Number: s.record.Number,
	}
}

// firstID returns the name of the first note about the same attempt.
func (s storedRecord) firstID() recordID {
	if s.record.Of == 0 {
		return s.id()
	}
	return recordID{
		origin: s.record.Origin,
		number: s.record.Of,
	}
}

// isCrash reports whether the note is of a crash, and not of an answer.
func (s storedRecord) isCrash() bool { return s.record.Upstream != "" }

// sentAfter reports whether the attempt was sent after another had ended, by the clock of
// one process.
func (s storedRecord) sentAfter(other storedRecord) bool {
	return s.record.Origin == other.record.Origin && s.record.Sent >= other.record.Seen
}

// isLaterThan reports whether the upstream ended in a later moment than another's. Only one
// process's clock tells: that of both, or that of the later one, which says so in its note.
func (s storedRecord) isLaterThan(earlier storedRecord) bool {
	if s.record.Origin == earlier.record.Origin {
		return s.sentAfter(earlier) || s.record.Seen-s.record.Delay >= earlier.record.Seen+windowFor(s, earlier)
	}
	return slices.Contains(s.record.After, earlier.reference())
}

// provesLaterThan reports whether this process, whose own note s is, can tell that the upstream of
// another process's note had ended in an earlier moment. That note's time is an upper
// bound, since what it took on its way isn't known.
func (s storedRecord) provesLaterThan(earlier storedRecord) bool {
	return s.record.Sent >= earlier.seenBound || s.record.Seen-s.record.Delay >= earlier.seenBound+windowFor(s, earlier)
}

// windowFor returns the time in which two crashes are one occurrence.
func windowFor(a, b storedRecord) mgclock.Millis {
	if a.record.Upstream == b.record.Upstream {
		return sameCrashWindow
	}
	return occurrenceWindow
}

// withAge returns a note as it is withAge at a time.
func (s storedRecord) withAge(now mgclock.Millis) Note {
	record := s.record
	record.Age = max(now-s.seenBound, 0)
	return record
}
