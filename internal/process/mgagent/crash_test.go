package mgagent_test

import (
	"context"
	"io"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// crashingStream returns a stream that delivers some tokens, breaks, and can't
// be opened again.
func crashingStream(tokens uint64, cause error) streamFunc {
	opened := false
	return func(context.Context, string, uint64) (*mgengine.TokenStream, error) {
		if opened {
			return nil, cause
		}
		opened = true
		at := uint64(0)
		return mgengine.NewTokenStream(func(context.Context) (mgengine.Token, error) {
			if at == tokens {
				return mgengine.Token{}, io.ErrUnexpectedEOF
			}
			at++
			return mgengine.Token{
				Seq:  at,
				Text: "t",
			}, nil
		}, nil), nil
	}
}

// An entry must learn whether a request crashed the engine or was merely cut
// off; otherwise it sends a crashing request to the next engine.
func TestCrashMisreported(t *testing.T) {
	refused := mgengine.NewFailure(mgengine.NotStarted, "stream", "", syscall.ECONNREFUSED)
	cases := []struct {
		name   string
		tokens uint64
		cause  error
		want   string
	}{
		{
			name:  "that has ended as it began a generation",
			cause: refused,
			want:  "crashed",
		},
		{
			name:  "that has started again since",
			cause: mgengine.NewFailure(mgengine.Missing, "stream", "", nil),
			want:  "crashed",
		},
		{
			name:  "that gives no answer",
			cause: mgengine.NewFailure(mgengine.Unknown, "stream", "", context.DeadlineExceeded),
			want:  "interrupted",
		},
		{
			name:   "that has ended after some tokens",
			tokens: 2,
			cause:  refused,
			want:   "interrupted",
		},
	}
	Convey("The fault reported for an engine", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				var got string
				runHarnessWith(t, crashingStream(c.tokens, c.cause), func(r *harness) {
					r.startAttempt("a", "i1")
					r.sleep(3 * mgclock.Second)
					got = r.frames("a")
				})
				So(got, ShouldContainSubstring, c.want)
			})
		}
	})
}
