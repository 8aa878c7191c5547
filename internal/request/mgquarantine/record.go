package mgquarantine

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// A Record describes the end of one attempt of a request, as the process that sent it saw
// it and as processes exchange it: a crash of the upstream, or an answer.
type Record struct {
	Origin string `json:"origin"` // the incarnation of the process that made the record
	Number uint64 `json:"number"` // counts the origin's records from 1
	Digest string `json:"digest"`
	// Parts are the digests of the parts of the request's prompt, in the order of the prompt, that
	// other requests may share and that the origin has seen no upstream answer of late.
	Parts    []string       `json:"parts,omitempty"`
	Request  string         `json:"request,omitempty"`  // id of the attempt's request
	Upstream string         `json:"upstream,omitempty"` // the upstream that crashed; empty if the request was answered
	Begun    bool           `json:"begun,omitempty"`    // the upstream had begun the request
	Sent     mgclock.Millis `json:"sent,omitempty"`     // time of the attempt by the origin's clock
	// Ran is how long the attempt had produced its answer, since the first event, ms. An answer that
	// has ended has 0.
	Ran  mgclock.Millis `json:"ran,omitempty"`
	Seen mgclock.Millis `json:"seen,omitempty"` // when its end was seen, by the origin's clock
	Age  mgclock.Millis `json:"age"`            // lower bound of the time since Seen, ms
	// Delay is the uncertainty of the crash's time: how long before Seen the upstream may
	// have ended, ms.
	Delay mgclock.Millis `json:"delay,omitempty"`
	// NextNumber is the number of the origin's next record when the attempt was sent, 0 where
	// that is unknown. The attempt was sent after the origin's records with lower numbers
	// were made.
	NextNumber uint64 `json:"next,omitempty"`
	// Earlier references records of other processes whose upstreams ended in an earlier
	// occurrence. A follow-up record adds references to an earlier record of the same
	// attempt: it repeats that record with the new references, and has the number of the
	// attempt's first record in FirstNumber.
	Earlier     []Reference `json:"after,omitempty"`
	FirstNumber uint64      `json:"of,omitempty"`
}

// A Reference identifies another process's record.
type Reference struct {
	Origin string `json:"origin"`
	Number uint64 `json:"number"`
}

// recordID identifies a record among those of all processes.
type recordID struct {
	origin string
	number uint64
}

// hash returns a hash of the ID.
func (id recordID) hash() uint64 { return xxhash.Sum64String(id.origin) ^ id.number*hashMultiplier }

// hashMultiplier is 2^64 divided by the golden ratio: multiples of it by consecutive
// numbers differ in their high bits (multiplicative hashing, D. Knuth, The Art of Computer
// Programming 3, 6.4).
const hashMultiplier = 0x9e3779b97f4a7c15

// bucket returns the index in Checksums that covers the record.
func (id recordID) bucket() int { return int(id.hash() >> (64 - checksumBits)) }

const (
	checksumBits    = 5
	checksumBuckets = 1 << checksumBits
)

// Checksums are checksums of the records, one for each bucket of them. By these, two
// processes find the buckets in which their records differ. Nil stands for no records.
type Checksums []uint64

// at returns the checksum of a bucket.
func (s Checksums) at(bucket int) uint64 {
	if bucket >= len(s) {
		return 0
	}
	return s[bucket]
}

// storedRecord is a record with what this process knows of it.
type storedRecord struct {
	record    Record // its age is as received
	digest    Digest
	parts     []Digest
	suspects  []Digest       // the request and its parts, without those that an answer has cleared; see evidence
	seenBound mgclock.Millis // upper bound of when it was seen, by this process's clock
	learnedAt mgclock.Millis // when this process learned of the record, or last improved its bound
}

// id returns the record's ID.
func (r Record) id() recordID {
	return recordID{
		origin: r.Origin,
		number: r.Number,
	}
}

// id returns the record's ID.
func (s storedRecord) id() recordID { return s.record.id() }

// reference returns the record's ID in its exchanged form.
func (s storedRecord) reference() Reference {
	return Reference{
		Origin: s.record.Origin,
		Number: s.record.Number,
	}
}

// firstID returns the ID of the first record of the same attempt.
func (s storedRecord) firstID() recordID {
	if s.record.FirstNumber == 0 {
		return s.id()
	}
	return recordID{
		origin: s.record.Origin,
		number: s.record.FirstNumber,
	}
}

// involves reports whether the record is of a request with a digest, or with this part.
func (s storedRecord) involves(digest Digest) bool {
	return s.digest == digest || slices.Contains(s.parts, digest)
}

// breadthOf returns how broad an explanation of the crash a digest is: 0 for the request, for a part
// its distance from the end of the prompt.
func (s storedRecord) breadthOf(digest Digest) int {
	if digest == s.digest {
		return 0
	}
	return len(s.parts) - slices.Index(s.parts, digest)
}

// sharesCause reports whether two records are of the same request, or have a part in common.
func (s storedRecord) sharesCause(other storedRecord) bool {
	return s.digest == other.digest || slices.ContainsFunc(s.parts, func(part Digest) bool { return slices.Contains(other.parts, part) })
}

// attemptID identifies an attempt among those of all processes.
type attemptID struct {
	origin  string
	request string
	sent    mgclock.Millis
}

// attempt returns the ID of the record's attempt.
func (s storedRecord) attempt() attemptID {
	return attemptID{
		origin:  s.record.Origin,
		request: s.record.Request,
		sent:    s.record.Sent,
	}
}

// isRunning reports whether the attempt had run for longer than StartWindow.
func (s storedRecord) isRunning() bool { return s.record.Ran >= StartWindow }

// isOutlivedBy reports whether an answer shows that a request survives what the crash may have been
// caused by: it has ended, or its upstream has gone on with it for longer than until the crash.
func (s storedRecord) isOutlivedBy(answer storedRecord) bool {
	return answer.record.Ran == 0 || answer.record.Ran >= outlivedAfter(s.record.Ran)
}

// outlivedAfter returns how long a generation must have run to show that it isn't what has ended an
// upstream after another time: a request may end its upstreams at somewhat different times.
func outlivedAfter(ran mgclock.Millis) mgclock.Millis { return 2*ran + StartWindow }

// isCrash reports whether the record is of a crash, not of an answer.
func (s storedRecord) isCrash() bool { return s.record.Upstream != "" }

// sentAfter reports whether the attempt was sent after another had ended. It compares records
// of one origin only. Times of the same millisecond don't tell the order; the numbers of the
// records do.
func (s storedRecord) sentAfter(other storedRecord) bool {
	if s.record.Origin != other.record.Origin {
		return false
	}
	if s.record.Sent == other.record.Seen {
		return other.record.Number < cmp.Or(s.record.NextNumber, s.record.Number)
	}
	return s.record.Sent > other.record.Seen
}

// isLaterThan reports whether the crash is a later occurrence than another. It relies on a
// single clock: that of the process that saw both, or that of the one that saw the later
// crash, whose record references the earlier one.
func (s storedRecord) isLaterThan(earlier storedRecord) bool {
	if s.record.Origin == earlier.record.Origin {
		return s.sentAfter(earlier) || s.record.Seen-s.record.Delay >= earlier.record.Seen+windowFor(s, earlier)
	}
	return slices.Contains(s.record.Earlier, earlier.reference())
}

// isVoidedBy reports whether an answer to the request voids the crash: it was seen later. Within
// one millisecond the numbers of the records decide, and between origins an answer is assumed
// to be the later one.
func (s storedRecord) isVoidedBy(answer storedRecord) bool {
	if !s.isOutlivedBy(answer) {
		return false
	}
	if s.seenBound == answer.seenBound && s.record.Origin == answer.record.Origin {
		return s.firstID().number < answer.record.Number
	}
	return s.seenBound <= answer.seenBound
}

// partAnswerWindow is how long after an answer a part of its prompt is not suspected. A part that
// crashes engines does so each time, but its requests are answered before it is first used.
const partAnswerWindow = 2 * mgclock.Second

// isPartVoidedBy reports whether an answer to a request with a part voids the crash as evidence
// against the part.
func (s storedRecord) isPartVoidedBy(answer storedRecord) bool {
	return s.isOutlivedBy(answer) && s.seenBound < answer.seenBound+partAnswerWindow
}

// provesLaterThan reports whether this process's own record s is provably of a later
// occurrence than another process's record. The time of the other record is an upper bound,
// since its network delay isn't known.
func (s storedRecord) provesLaterThan(earlier storedRecord) bool {
	return s.record.Sent > earlier.seenBound || s.record.Seen-s.record.Delay > earlier.seenBound+windowFor(s, earlier)
}

// windowFor returns the time within which two crashes are one occurrence.
func windowFor(a, b storedRecord) mgclock.Millis {
	if a.record.Upstream == b.record.Upstream {
		return sameCrashWindow
	}
	return occurrenceWindow
}

// withAge returns the record with its age at a time, which isn't below the age received.
func (s storedRecord) withAge(now mgclock.Millis) Record {
	record := s.record
	record.Age = max(now-s.seenBound, s.record.Age)
	return record
}
