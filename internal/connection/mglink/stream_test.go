package mglink_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglink"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgnetwork"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

const (
	interval mgclock.Millis = 100
	// hangTimeout ends a read that would otherwise never end.
	hangTimeout = 5 * mgclock.Minute
)

// agent serves a generation of ten tokens, one each second.
type agent struct {
	clock       mgclock.Clock
	startTime   mgclock.Millis
	mu          sync.Mutex
	writeErrors []error
}

const totalTokens = 10

func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	frames := make(chan *mgrpc.Frame)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	go a.generate(ctx, from, frames)
	err := mglink.NewResponseWriter(w, "g", a.clock, interval).Copy(ctx, frames)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writeErrors = append(a.writeErrors, err)
}

func (a *agent) generate(ctx context.Context, from uint64, frames chan<- *mgrpc.Frame) {
	for seq := from; seq <= totalTokens+1; seq++ {
		due := a.startTime + mgclock.Millis(min(seq, totalTokens))*mgclock.Second
		if !a.clock.Sleep(ctx, due-a.clock.Now()) && ctx.Err() != nil {
			return
		}
		f := tokenFrame(seq, fmt.Sprint("t", seq))
		if seq > totalTokens {
			f = finalFrame(totalTokens)
		}
		select {
		case frames <- f:
		case <-ctx.Done():
			return
		}
	}
}

func openStream(n *mgnetwork.Network) func(context.Context, uint64) (io.ReadCloser, error) {
	client := http.Client{
		Transport: n.Transport("entry", false),
	}
	return func(ctx context.Context, from uint64) (io.ReadCloser, error) {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://agent/?from="+fmt.Sprint(from), nil)
		if err != nil {
			return nil, err
		}
		response, err := client.Do(r)
		if err != nil {
			return nil, err
		}
		return response.Body, nil
	}
}

// readTokens returns the text of all tokens and the longest time without one.
func readTokens(s *mglink.Stream, each func(seq uint64)) (text string, stall mgclock.Millis, err error) {
	var clock mgclock.Clock
	before := clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), hangTimeout.Duration())
	defer cancel()
	for {
		f, err := s.Next(ctx)
		if errors.Is(err, io.EOF) {
			return text, stall, nil
		}
		if err != nil {
			return text, stall, err
		}
		stall = max(stall, clock.Now()-before)
		before = clock.Now()
		text += strings.Join(f.GetText(), "")
		if each != nil {
			each(f.GetSeq())
		}
	}
}

const allTokens = "t1t2t3t4t5t6t7t8t9t10"

// Guards against an answer that stops when its connection goes silent for good:
// neither end learns it, but a new connection works. The stream must resume on one
// within the silence timeout, with no token lost or repeated.
func TestSilentConnectionLosesTokens(t *testing.T) {
	Convey("A silent connection is replaced by a new one", t, func() {
		var a agent
		var text string
		var stall mgclock.Millis
		var err error
		var reopens, dials int
		runWithNetwork(t, &a, func(n *mgnetwork.Network) {
			a.startTime = a.clock.Now()
			s := mglink.NewStream(mglink.StreamSpec{
				Open:     openStream(n),
				Interval: interval,
			})
			text, stall, err = readTokens(s, func(seq uint64) {
				if seq == 3 || seq == 6 {
					n.Silence("agent")
				}
			})
			reopens, dials = s.ReopenCount(), n.Dials("agent")
		})
		So(err, ShouldBeNil)
		So(text, ShouldEqual, allTokens)
		So(reopens, ShouldEqual, 2)
		So(dials, ShouldEqual, 3)
		// Tokens come each second, so that a silence of 300 ms fits between two.
		So(stall, ShouldBeLessThanOrEqualTo, mgclock.Second)
	})
}

// Guards against treating a stream as lost while its generation waits in a
// queue: heartbeats must keep its connection open.
func TestIdleStreamReopened(t *testing.T) {
	Convey("A stream without tokens stays on its connection", t, func() {
		var a agent
		reopens := -1
		runWithNetwork(t, &a, func(n *mgnetwork.Network) {
			a.startTime = a.clock.Now() + mgclock.Minute
			s := mglink.NewStream(mglink.StreamSpec{
				Open:     openStream(n),
				Interval: interval,
			})
			_, _, _ = readTokens(s, nil)
			reopens = s.ReopenCount()
		})
		So(reopens, ShouldEqual, 0)
	})
}

// Guards against treating a connection as silent after its reader, the entry's
// process, was paused for ten seconds while frames arrived.
func TestPausedReaderReopensStream(t *testing.T) {
	Convey("A reader that was paused reads the frames that arrived", t, func() {
		var b bytes.Buffer
		for seq := uint64(1); seq <= totalTokens; seq++ {
			So(mglink.WriteFrame(&b, tokenFrame(seq, fmt.Sprint("t", seq))), ShouldBeNil)
		}
		So(mglink.WriteFrame(&b, finalFrame(totalTokens)), ShouldBeNil)
		var text string
		reopens := -1
		synctest.Test(t, func(*testing.T) {
			var clock mgclock.Clock
			s := mglink.NewStream(mglink.StreamSpec{
				Open: func(context.Context, uint64) (io.ReadCloser, error) {
					return io.NopCloser(bytes.NewReader(b.Bytes())), nil
				},
				Interval: interval,
			})
			text, _, _ = readTokens(s, func(uint64) { clock.Sleep(context.Background(), 10*mgclock.Second) })
			reopens = s.ReopenCount()
		})
		So(text, ShouldEqual, allTokens)
		So(reopens, ShouldEqual, 0)
	})
}

// Guards against a lost answer when the reader rejects a final frame that arrives
// before the last tokens or belongs to another generation: reading must go on.
func TestRefusedFinalFrameEndsStream(t *testing.T) {
	Convey("A stream whose final frame was rejected is read again", t, func() {
		var a agent
		var again string
		runWithNetwork(t, &a, func(n *mgnetwork.Network) {
			a.startTime = a.clock.Now()
			s := mglink.NewStream(mglink.StreamSpec{
				Open:     openStream(n),
				Interval: interval,
			})
			_, _, _ = readTokens(s, nil)
			s.Reopen(totalTokens - 2)
			again, _, _ = readTokens(s, nil)
		})
		So(again, ShouldEqual, "t9t10")
	})
}

// Guards against an agent's goroutine that blocks until the kernel's timeout
// when an entry disappears without closing its connection.
func TestWriterBlocksWithoutReader(t *testing.T) {
	Convey("A writer whose reader is gone fails", t, func() {
		var a agent
		var writeErrors []error
		synctest.Test(t, func(*testing.T) {
			var n mgnetwork.Network
			n.Serve("agent", &a)
			a.startTime = a.clock.Now()
			conn, _ := n.Dial("entry")(context.Background(), "tcp", "agent:80")
			_, _ = io.WriteString(conn, "GET /?from=1 HTTP/1.1\r\nHost: agent\r\n\r\n")
			a.clock.Sleep(context.Background(), 5*mgclock.Second)
			synctest.Wait()
			a.mu.Lock()
			writeErrors = append(writeErrors, a.writeErrors...)
			a.mu.Unlock()
			n.Close()
			synctest.Wait()
		})
		So(len(writeErrors), ShouldEqual, 1)
		So(errors.Is(writeErrors[0], os.ErrDeadlineExceeded), ShouldBeTrue)
	})
}

// Guards against an entry that keeps reopening a stream when the agent is gone,
// for which attempts are limited, or when the agent has no such generation, which
// is final at once.
func TestFailedStreamAttemptedTooOften(t *testing.T) {
	missing := mgproblem.New(mgproblem.NotFound, mgproblem.Unknown, "no such generation", "start another")
	leaving := mgproblem.New(mgproblem.Leaving, mgproblem.Unknown, "leaving", "come back")
	cases := []struct {
		name     string
		cause    error
		budget   mgclock.Millis
		attempts int
		lost     bool
	}{
		{
			name:     "refused connections",
			cause:    io.ErrClosedPipe,
			attempts: mglink.DefaultAttempts,
			lost:     true,
		},
		{
			name:     "a transient problem",
			cause:    leaving,
			attempts: mglink.DefaultAttempts,
			lost:     true,
		},
		{
			name:     "a permanent problem",
			cause:    missing,
			attempts: 1,
		},
		{
			name:     "a time budget",
			cause:    io.ErrClosedPipe,
			budget:   250,
			attempts: 3, // at 0, at 0 and at 100 ms
			lost:     true,
		},
	}
	Convey("A stream ends after", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				attempts := 0
				var err error
				synctest.Test(t, func(*testing.T) {
					_, err = mglink.NewStream(mglink.StreamSpec{
						Open: func(context.Context, uint64) (io.ReadCloser, error) {
							attempts++
							return nil, c.cause
						},
						Budget: c.budget,
					}).Next(context.Background())
				})
				So(attempts, ShouldEqual, c.attempts)
				So(errors.Is(err, mglink.ErrLost), ShouldEqual, c.lost)
				So(errors.Is(err, c.cause), ShouldBeTrue)
			})
		}
	})
}

// Guards against a call that hangs because its pooled connection is dead: it must
// be repeated on a new one after the silence timeout. A call that merely takes
// long must not be repeated.
func TestSilentPooledConnectionBlocksCall(t *testing.T) {
	Convey("A guarded call", t, func() {
		var clock mgclock.Clock
		calls, status := 0, 0
		var took mgclock.Millis
		handler := func(work mgclock.Millis) http.Handler {
			return mglink.WithHeartbeats(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls++
				clock.Sleep(r.Context(), work)
				w.WriteHeader(http.StatusAccepted)
			}), clock, interval)
		}
		call := func(g *mglink.RetryTransport) {
			r, _ := http.NewRequest(http.MethodPost, "http://agent/", strings.NewReader("body"))
			startTime := clock.Now()
			response, err := g.RoundTrip(r)
			took = clock.Now() - startTime
			if err == nil {
				status = response.StatusCode
			}
		}
		guard := func(n *mgnetwork.Network) *mglink.RetryTransport {
			return &mglink.RetryTransport{
				Pooled:   n.Transport("entry", false),
				Second:   n.Transport("entry", false),
				Interval: interval,
			}
		}
		Convey("is repeated when its pooled connection is silent", func() {
			runWithNetwork(t, handler(0), func(n *mgnetwork.Network) {
				g := guard(n)
				call(g)
				synctest.Wait()
				n.Silence("agent")
				call(g)
			})
			So(status, ShouldEqual, http.StatusAccepted)
			So(calls, ShouldEqual, 2)
			So(took, ShouldBeBetweenOrEqual, 3*interval, 4*interval)
		})
		Convey("isn't repeated when it takes long", func() {
			runWithNetwork(t, handler(mgclock.Minute), func(n *mgnetwork.Network) { call(guard(n)) })
			So(status, ShouldEqual, http.StatusAccepted)
			So(calls, ShouldEqual, 1)
			So(took, ShouldEqual, mgclock.Minute)
		})
	})
}

func TestDamagedFrameAccepted(t *testing.T) {
	Convey("A frame that is too large is refused", t, func() {
		var b bytes.Buffer
		So(mglink.WriteFrame(&b, tokenFrame(1, strings.Repeat("x", mglink.MaxFrameBytes))), ShouldBeNil)
		_, err := mglink.ReadFrame(bufio.NewReader(&b))
		So(errors.Is(err, mglink.ErrFrame), ShouldBeTrue)
	})
	Convey("A truncated frame is distinguished from the end of the stream", t, func() {
		var b bytes.Buffer
		So(mglink.WriteFrame(&b, tokenFrame(1, "text")), ShouldBeNil)
		_, err := mglink.ReadFrame(bufio.NewReader(bytes.NewReader(b.Bytes()[:b.Len()-1])))
		So(err, ShouldEqual, io.ErrUnexpectedEOF)
		_, err = mglink.ReadFrame(bufio.NewReader(bytes.NewReader(nil)))
		So(err, ShouldEqual, io.EOF)
	})
}

func FuzzReadFrame(f *testing.F) {
	var b bytes.Buffer
	_ = mglink.WriteFrame(&b, tokenFrame(1, "text"))
	_ = mglink.WriteFrame(&b, finalFrame(1))
	f.Add(b.Bytes())
	f.Add(b.Bytes()[:b.Len()-2])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Add([]byte{0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		in := bufio.NewReader(bytes.NewReader(data))
		for {
			frame, err := mglink.ReadFrame(in)
			if err != nil {
				return
			}
			var again bytes.Buffer
			if err := mglink.WriteFrame(&again, frame); err != nil {
				t.Fatal(err)
			}
		}
	})
}
