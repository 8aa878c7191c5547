package mgbudget

import (
	"context"
	"errors"
	"math"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// Guards against bodies that leave no room for new connections, and against connections beyond the budget.
func TestBudgetExceeded(t *testing.T) {
	Convey("A budget of 1,000 bytes whose connections take 100 each", t, func() {
		b := New(1000)
		connect := func() *Claim {
			So(b.AcquireConn(100, false), ShouldBeTrue)
			return NewClaim(b, 100, nil)
		}
		first := connect()
		Convey("covers small requests with their connection", func() {
			So(first.Reserve(t.Context(), 100), ShouldBeNil)
			So(b.State().Held, ShouldEqual, 100)
		})
		Convey("grants a request what leaves room for connections, and refuses more", func() {
			So(first.Reserve(t.Context(), 750), ShouldBeNil)
			So(b.State().Held, ShouldEqual, 750)
			err := first.Reserve(t.Context(), 751)
			var exceeded *ExceededError
			So(errors.As(err, &exceeded), ShouldBeTrue)
			So(b.State().Refused, ShouldEqual, 1)
			So(b.State().Held, ShouldEqual, 750)
			connect()
			connect()
			So(b.AcquireConn(100, false), ShouldBeFalse)
			So(b.AcquireConn(100, true), ShouldBeTrue)
			So(b.AcquireConn(100, true), ShouldBeFalse)
		})
		Convey("refuses a length that overflows", func() {
			So(first.Reserve(t.Context(), math.MaxInt64), ShouldNotBeNil)
			So(first.TryReserve(math.MaxInt64), ShouldBeFalse)
			So(b.State().Held, ShouldEqual, 100)
		})
		Convey("gets back what requests and connections held, once", func() {
			So(first.Reserve(t.Context(), 500), ShouldBeNil)
			first.Trim(0)
			So(b.State().Held, ShouldEqual, 100)
			first.End()
			first.End()
			So(b.State().Held, ShouldEqual, 0)
			So(first.Reserve(t.Context(), 300), ShouldBeNil)
			So(b.State().Held, ShouldEqual, 0)
		})
		Convey("grants what another connection releases when it is ended", func() {
			So(first.Reserve(t.Context(), 700), ShouldBeNil)
			So(b.AcquireConn(100, false), ShouldBeTrue)
			second := NewClaim(b, 100, func(int64) bool {
				go first.End()
				return true
			})
			So(second.Reserve(t.Context(), 500), ShouldBeNil)
			So(b.State().Held, ShouldEqual, 500)
		})
		Convey("refuses what isn't released in time", func() {
			So(first.Reserve(t.Context(), 700), ShouldBeNil)
			So(b.AcquireConn(100, false), ShouldBeTrue)
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			second := NewClaim(b, 100, func(int64) bool { return true })
			So(second.Reserve(ctx, 500), ShouldNotBeNil)
			So(b.State().Held, ShouldEqual, 800)
		})
	})
	Convey("Neither the zero budget nor a missing claim has a limit", t, func() {
		var b Budget
		So(b.AcquireConn(math.MaxInt64/2, false), ShouldBeTrue)
		var claim *Claim
		So(claim.Reserve(t.Context(), math.MaxInt64), ShouldBeNil)
		So(claim.TryReserve(math.MaxInt64), ShouldBeTrue)
		claim.Trim(0)
		claim.End()
		So(claim.Held(), ShouldEqual, 0)
	})
}

// Guards against bytes that are given back twice or never, whatever the order of requests and ends.
func TestBytesLostOrReturnedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const conn, limit = 10, 200
		b := New(limit)
		var open []*Claim
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				if b.AcquireConn(conn, false) {
					open = append(open, NewClaim(b, conn, nil))
				}
			case 1:
				if len(open) > 0 {
					claim := open[rapid.IntRange(0, len(open)-1).Draw(t, "conn")]
					_ = claim.Reserve(context.Background(), rapid.Int64Range(0, 2*limit).Draw(t, "bytes"))
				}
			case 2:
				if len(open) > 0 {
					open[rapid.IntRange(0, len(open)-1).Draw(t, "conn")].Trim(rapid.Int64Range(0, limit).Draw(t, "bytes"))
				}
			case 3:
				if len(open) > 0 {
					open[0].End()
					open = open[1:]
				}
			}
			var held int64
			for _, claim := range open {
				held += claim.Held()
			}
			if state := b.State(); state.Held != held || held > limit {
				t.Fatalf("%d bytes are held by %d connections, the budget has %d", held, len(open), state.Held)
			}
		}
	})
}

// Guards against parts that together exceed the memory, and against a process whose work has no part.
func TestPartsExceedMemory(t *testing.T) {
	for _, servesCallers := range []bool{true, false} {
		Convey("The parts of a process", t, func() {
			p := PartsOf(100e6, servesCallers)
			So(p.Callers()+p.Peers()+p.Operators()+p.Readiness(), ShouldBeLessThan, 80e6)
			So(max(p.Callers(), p.Peers()), ShouldEqual, 50e6)
			So(p.Callers() > 0, ShouldEqual, servesCallers)
		})
	}
}
