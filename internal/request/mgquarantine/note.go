package mgquarantine

import (
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
	Age      mgclock.Millis `json:"age"`                // ms since it was seen
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
	at      mgclock.Millis // when it was seen, by this process's clock
	learned mgclock.Millis // when this process learned of it
}

// name returns the note's name.
func (s stored) name() id {
	return id{
		origin: s.note.Origin,
		number: s.note.Number,
	}
}

// follows reports whether the attempt was sent after another had ended, which only the
// clock of one process tells.
func (s stored) follows(other stored) bool {
	return s.note.Origin == other.note.Origin && s.note.Sent >= other.note.Seen
}

// told returns a note as it is told at a time. Its age grows by the time that the note was
// kept: the time at which it was seen may lie ahead, where an earlier note of the origin
// came on a slower way.
func (s stored) told(now mgclock.Millis) Note {
	note := s.note
	note.Age += max(now-s.learned, 0)
	return note
}
