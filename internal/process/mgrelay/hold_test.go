package mgrelay

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgbudget"
)

// newTestClaim returns the claim of the only connection of a budget.
func newTestClaim(bytes int64) (*mgbudget.Claim, *mgbudget.Budget) {
	const conn = 64 << 10
	budget := mgbudget.New(bytes)
	So(budget.AcquireConn(conn, false), ShouldBeTrue)
	return mgbudget.NewClaim(budget, conn, nil), budget
}

// Guards against answers that are buffered for many callers at once beyond the budget, and against small
// ones that aren't read whole.
func TestAnswersBufferedUngranted(t *testing.T) {
	for _, c := range []struct {
		name   string
		budget int64
		length int64
		want   int64
	}{
		{
			name:   "with room",
			budget: 1 << 20,
			length: -1,
			want:   maxBufferedAnswer,
		},
		{
			name:   "without room",
			budget: 256 << 10,
			length: -1,
			want:   minBufferedAnswer,
		},
		{
			name:   "without room, of a small length",
			budget: 256 << 10,
			length: minBufferedAnswer - 1,
			want:   maxBufferedAnswer,
		},
	} {
		Convey("An answer "+c.name, t, func() {
			claim, budget := newTestClaim(c.budget)
			x := &exchange{
				claim: claim,
			}
			So(x.answerLimit(&http.Response{
				ContentLength: c.length,
			}), ShouldEqual, c.want)
			So(budget.State().Held, ShouldBeLessThanOrEqualTo, c.budget)
		})
	}
}

// Guards against events that are gathered beyond the budget, and against ordinary ones that are refused.
func TestEventGatheredUngranted(t *testing.T) {
	Convey("A stream whose caller's budget is exhausted", t, func() {
		claim, _ := newTestClaim(80 << 10)
		small := "id: 1\ndata: " + strings.Repeat("x", minBufferedAnswer-100) + "\n\n"
		large := "id: 2\ndata: " + strings.Repeat("x", 128<<10) + "\n\n"
		reader := &eventReader{
			source:  strings.NewReader(small + large),
			mayHold: claim.TryReserve,
		}
		data, events, err := reader.next()
		So(err, ShouldBeNil)
		So(events, ShouldEqual, 1)
		So(string(data), ShouldEqual, small)
		_, _, err = reader.next()
		So(errors.Is(err, errEventRefused), ShouldBeTrue)
	})
	Convey("A stream without a budget has events of any size within the bound", t, func() {
		large := "id: 1\ndata: " + strings.Repeat("x", maxEventBytes/2) + "\n\n"
		reader := &eventReader{
			source: strings.NewReader(large),
		}
		data, _, err := reader.next()
		So(err, ShouldBeNil)
		So(len(data), ShouldEqual, len(large))
		_, _, err = reader.next()
		So(errors.Is(err, io.EOF), ShouldBeTrue)
	})
}
