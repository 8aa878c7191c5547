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

// id names a note among those of all processes.
type id struct {
	origin string
	number uint64
}

// hash returns a hash of the name.
func (n id) hash() uint64 { return xxhash.Sum64String(n.origin) ^ n.number*spreader }

// spreader is 2^64 over the golden ratio: consecutive numbers times it differ in their
// high bits (multiplicative hashing, D. Knuth, The Art of Computer Programming 3, 6.4).
const spreader = 0x9e3779b97f4a7c15

// part returns which of the Sums the note counts in.
func (n id) part() int { return int(n.hash() >> (64 - sumBits)) }

const (
	sumBits  = 5
	sumParts = 1 << sumBits
)

// Sums are checksums by which two processes find out which notes they don't share: each
// of a part of the notes. Nil is of none.
type Sums []uint64

// at returns the checksum of a part.
func (s Sums) at(part int) uint64 {
	if part >= len(s) {
		return 0
	}
	return s[part]
}

// stored is a note as it is kept.
type stored struct {
	note    Note // its age is as it was told
	digest  Digest
	at      mgclock.Millis // when it was seen at the latest, by this process's clock
	learned mgclock.Millis // when this process learned of it
}

// name returns the note's name.
func (n Note) name() id {
	return id{
		origin: n.Origin,
		number: n.Number,
	}
}

// name returns the note's name.
func (s stored) name() id { return s.note.name() }

// reference returns the note's name as others tell it.
func (s stored) reference() Reference {
	return Reference{
		Origin: s.note.Origin,
		Number: s.note.Number,
	}
}

// base returns the name of the first note about the same attempt.
func (s stored) base() id {
	if s.note.Of == 0 {
		return s.name()
	}
	return id{
		origin: s.note.Origin,
		number: s.note.Of,
	}
}

// crashed reports whether the note is of a crash, and not of an answer.
func (s stored) crashed() bool { return s.note.Upstream != "" }

// follows reports whether the attempt was sent after another had ended, by the clock of
// one process.
func (s stored) follows(other stored) bool {
	return s.note.Origin == other.note.Origin && s.note.Sent >= other.note.Seen
}

// after reports whether the upstream ended in a later moment than another's. Only one
// process's clock tells: that of both, or that of the later one, which says so in its note.
func (s stored) after(earlier stored) bool {
	if s.note.Origin == earlier.note.Origin {
		return s.follows(earlier) || s.note.Seen-s.note.Delay >= earlier.note.Seen+spanBetween(s, earlier)
	}
	return slices.Contains(s.note.After, earlier.reference())
}

// proves reports whether this process, whose own note s is, can tell that the upstream of
// another process's note had ended in an earlier moment. That note's time is an upper
// bound, since what it took on its way isn't known.
func (s stored) proves(earlier stored) bool {
	return s.note.Sent >= earlier.at || s.note.Seen-s.note.Delay >= earlier.at+spanBetween(s, earlier)
}

// spanBetween returns the time in which two crashes are one occurrence.
func spanBetween(a, b stored) mgclock.Millis {
	if a.note.Upstream == b.note.Upstream {
		return crashSpan
	}
	return momentSpan
}

// told returns a note as it is told at a time.
func (s stored) told(now mgclock.Millis) Note {
	note := s.note
	note.Age = max(now-s.at, 0)
	return note
}
