package mgquarantine

import (
	"encoding/binary"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// answerDigest returns the digest of a request by its number.
func answerDigest(number int) Digest {
	var d Digest
	binary.BigEndian.PutUint64(d[:], uint64(number))
	return d
}

// fillAnswers records one answer each to as many requests as are kept, all at a time, and returns their number.
func fillAnswers(q *Quarantine, now mgclock.Millis) int {
	for number := range maxSeenAnswers {
		q.RecordAnswer(now, answerDigest(number))
	}
	return maxSeenAnswers
}

// Guards against a process that looks through all answers that it keeps at each further one, and so serves
// less once it has served many.
func TestAnswersSearchedAtEachAnswer(t *testing.T) {
	Convey("A process that keeps as many answers as it may", t, func() {
		var q Quarantine
		const begin = 10 * mgclock.Second
		next := fillAnswers(&q, begin)
		answer := func(now mgclock.Millis) (isKept bool) {
			next++
			q.RecordAnswer(now, answerDigest(next))
			_, isKept = q.seenAnswers[answerDigest(next)]
			return isKept
		}
		Convey("looks for expired ones at most once an interval", func() {
			So(answer(begin+1), ShouldBeFalse)
			So(q.answersSweptAt, ShouldEqual, begin+1)
			So(answer(begin+1+answerSweepInterval-1), ShouldBeFalse)
			So(q.answersSweptAt, ShouldEqual, begin+1)
			So(answer(begin+1+answerSweepInterval), ShouldBeFalse)
			So(q.answersSweptAt, ShouldEqual, begin+1+answerSweepInterval)
		})
		Convey("updates those that it keeps meanwhile", func() {
			So(answer(begin+1), ShouldBeFalse)
			q.RecordAnswer(begin+2, answerDigest(0))
			So(q.seenAnswers[answerDigest(0)].at, ShouldEqual, begin+2)
		})
		Convey("keeps further ones once others have expired", func() {
			So(answer(begin+seenAnswerTTL), ShouldBeTrue)
			So(q.seenAnswers, ShouldHaveLength, 1)
		})
	})
}

// BenchmarkRecordAnswer measures an answer to a new request while as many are kept as may be, of which one
// expires each 15 ms.
func BenchmarkRecordAnswer(b *testing.B) {
	var q Quarantine
	now := mgclock.Millis(0)
	for number := range maxSeenAnswers {
		now += 15
		q.RecordAnswer(now, answerDigest(number))
	}
	number := maxSeenAnswers
	for b.Loop() {
		number++
		now += 5
		q.RecordAnswer(now, answerDigest(number))
	}
}
