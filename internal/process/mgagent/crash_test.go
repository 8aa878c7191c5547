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
			want:   "crashed",
		},
		{
			name:   "that gives no answer after some tokens",
			tokens: 2,
			cause:  mgengine.NewFailure(mgengine.Unknown, "stream", "", context.DeadlineExceeded),
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

// Guards against a crash that is reported so late that the agent's own end can hide it: the entry
// then sends the request to another engine as if it had done nothing.
func TestCrashReportedLate(t *testing.T) {
	// The relay waits as long for its own check whether an upstream has ended.
	const maxReportDelay = 50 * mgclock.Millis(1)
	cases := []struct {
		name  string
		cause error
	}{
		{
			name:  "that has started again since",
			cause: mgengine.NewFailure(mgengine.Missing, "stream", "", nil),
		},
		{
			name:  "that refuses connections",
			cause: mgengine.NewFailure(mgengine.NotStarted, "stream", "", syscall.ECONNREFUSED),
		},
	}
	Convey("A crash is reported at once by the agent of an engine", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				var got string
				var delay mgclock.Millis
				runHarnessWith(t, crashingStream(0, c.cause), func(r *harness) {
					start := r.clock.Now()
					r.startAttempt("a", "i1")
					got = r.frames("a")
					delay = r.clock.Now() - start
				})
				So(got, ShouldContainSubstring, "crashed")
				So(delay, ShouldBeLessThanOrEqualTo, maxReportDelay)
			})
		}
	})
}

// Guards against an agent that opens connections in quick succession to an engine that breaks each
// one after a token.
func TestBrokenConnectionsReopenedTooOften(t *testing.T) {
	const (
		duration = 4 * mgclock.Second
		interval = 200 * mgclock.Millis(1) // at least between two connections but the first two
		limit    = 2 + int(duration/interval)
	)
	Convey("An engine that breaks each connection after a token", t, func() {
		connections := 0
		stream := func(_ context.Context, _ string, from uint64) (*mgengine.TokenStream, error) {
			connections++
			end := ""
			if connections == 10*limit {
				end = "stop" // without a delay time would stand still in the test
			}
			sent := false
			return mgengine.NewTokenStream(func(context.Context) (mgengine.Token, error) {
				if sent {
					return mgengine.Token{}, io.ErrUnexpectedEOF
				}
				sent = true
				return mgengine.Token{
					Seq:  from,
					Text: "t",
					End:  end,
				}, nil
			}, nil), nil
		}
		runHarnessWith(t, stream, func(r *harness) {
			r.startAttempt("a", "i1")
			r.sleep(duration)
		})
		Convey("gets a limited number of connections", func() {
			So(connections, ShouldBeLessThanOrEqualTo, limit)
		})
	})
}
