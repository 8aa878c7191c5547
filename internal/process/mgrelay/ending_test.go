package mgrelay_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgrelay"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgdial"
)

// Guards against an answer that broke off and is delivered as whole, and against a whole one that
// is cut, for each framing, ending and kind of answer.
func TestBrokenAnswerLooksWhole(t *testing.T) {
	cells := endingCells()
	results := playAll(t, cells)
	Convey(fmt.Sprintf("Of %d ways in which an answer ends", len(cells)), t, func() {
		for i, c := range cells {
			Convey(c.String(), func() { c.check(results[i]) })
		}
	})
}

// Guards against a stream between two of whose events the connection ends, and that is passed for
// whole although its upstream has ended, or cut although it lives or can't be asked.
func TestEndBetweenEventsMisjudged(t *testing.T) {
	unframed := rawBytes("HTTP/1.1 200 OK\r\nRequest-Id: request-1\r\nSignature: s\r\nSoftware: v1\r\n\r\n" + firstEvents)
	cases := []struct {
		name      string
		first     upstreamHandler // that begins the stream
		refuses   func(context.Context, string) (bool, error)
		leaving   bool
		restarted bool   // the list states a new incarnation soon after
		stated    int64  // incarnation that the upstream states if it is asked, 0 if it can't be
		watch     string // what happens to the connection with which its process is watched: "open", "ends", "late" or "fails"
		silent    bool   // it doesn't answer when it is asked for its incarnation
		cut       bool
		hasLength bool
	}{
		{
			name:    "whose upstream accepts connections is whole",
			first:   unframed,
			refuses: connectionsAccepted,
		},
		{
			name:    "whose upstream leaves and accepts connections is whole",
			first:   unframed,
			refuses: connectionsAccepted,
			leaving: true,
		},
		{
			name:    "whose upstream refuses connections is cut",
			first:   unframed,
			refuses: connectionsRefused,
			cut:     true,
		},
		{
			name:      "whose upstream has restarted at its address is cut",
			first:     unframed,
			refuses:   connectionsAccepted,
			restarted: true,
			cut:       true,
		},
		{
			name:    "whose upstream has restarted, which the list doesn't show yet, is cut",
			first:   unframed,
			refuses: connectionsAccepted,
			watch:   "ends",
			cut:     true,
		},
		{
			name:    "whose upstream ended the watch, and says that it hasn't restarted, is whole",
			first:   unframed,
			refuses: connectionsAccepted,
			watch:   "ends",
			stated:  1,
		},
		{
			name:    "whose upstream says that it has restarted is cut",
			first:   unframed,
			refuses: connectionsAccepted,
			watch:   "ends",
			stated:  2,
			cut:     true,
		},
		{
			name:    "whose upstream had restarted before it was watched is cut",
			first:   unframed,
			refuses: connectionsAccepted,
			watch:   "late",
			stated:  2,
			cut:     true,
		},
		{
			name:    "whose upstream had restarted before it was watched, which the list doesn't show yet, is cut",
			first:   unframed,
			refuses: connectionsAccepted,
			watch:   "late",
			cut:     true,
		},
		{
			name:    "whose upstream had restarted before it was watched, and doesn't answer a question, is cut",
			first:   unframed,
			refuses: connectionsAccepted,
			watch:   "late",
			silent:  true,
			cut:     true,
		},
		{
			name:    "whose upstream couldn't be watched, and has restarted, is cut",
			first:   unframed,
			refuses: connectionsAccepted,
			watch:   "fails",
			cut:     true,
		},
		{
			name:    "whose upstream couldn't be watched, and can't be reached, is cut",
			first:   unframed,
			refuses: connectionsUnknown,
			watch:   "fails",
			cut:     true,
		},
		{
			name:    "whose upstream couldn't be watched, and says that it hasn't restarted, is whole",
			first:   unframed,
			refuses: connectionsAccepted,
			watch:   "fails",
			stated:  1,
		},
		{
			name:    "whose upstream was watched late, and says that it hasn't restarted, is whole",
			first:   unframed,
			refuses: connectionsAccepted,
			watch:   "late",
			stated:  1,
		},
		{
			name:    "whose upstream runs, though it can't be asked, is whole",
			first:   unframed,
			refuses: connectionsUnknown,
			watch:   "open",
		},
		{
			name:    "whose upstream left and refuses connections is cut",
			first:   unframed,
			refuses: connectionsRefused,
			leaving: true,
			cut:     true,
		},
		{
			name:    "whose upstream can't be asked ends in a way that claims nothing",
			first:   unframed,
			refuses: connectionsUnknown,
		},
		{
			name:      "whose upstream can't be asked is cut if its first upstream sent chunks",
			first:     breakOffAfter("v1", 1),
			refuses:   connectionsUnknown,
			cut:       true,
			hasLength: true,
		},
	}
	Convey("A stream without a length or chunks", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				g := newHarness(t, c.first, unframed)
				path := "/write/1"
				if c.hasLength {
					path = "/note/1"
				}
				g.startRelay(func(spec *mgrelay.Spec) {
					spec.RefusesConnections = c.refuses
					spec.IsLeaving = func(string) bool { return c.leaving }
					if c.stated != 0 {
						spec.AskIncarnation = func(context.Context, mgrelay.Host) (int64, error) { return c.stated, nil }
					}
					if c.silent {
						spec.AskIncarnation = func(context.Context, mgrelay.Host) (int64, error) { return 0, errSilent }
					}
					switch c.watch {
					case "":
					case "late":
						spec.WatchProcess = func(ctx context.Context, addr string, answered net.Conn) (*mgdial.ProcessWatch, error) {
							if len(g.requests()) == 0 {
								return nil, errSilent // before the request is sent
							}
							return watchLate(ctx, addr, answered)
						}
					case "fails":
						spec.WatchProcess = func(context.Context, string, net.Conn) (*mgdial.ProcessWatch, error) { return nil, errSilent }
					default:
						spec.WatchProcess = watchedProcess(t, c.watch == "ends")
					}
					var confirmations atomic.Int64
					spec.ListConfirmedAt = func() mgclock.Millis {
						confirmations.Add(1)
						return spec.Clock.Now() + 1
					}
					spec.IncarnationStart = func(string) (int64, bool) {
						if c.restarted && confirmations.Load() > 0 {
							return 2, true
						}
						return 1, true
					}
				})
				for i := range g.hosts {
					g.hosts[i].IncarnationStart = 1
				}
				got := g.send(context.Background(), http.MethodPost, path, "x", nil)
				So(got.cut, ShouldEqual, c.cut)
				So(got.status, ShouldEqual, http.StatusOK)
				So(len(writtenOnce(got.body)), ShouldBeGreaterThan, 0)
			})
		}
	})
}

// Guards against a whole answer that is cut because this process is late to see it, and so to watch its
// upstream, which states no incarnation.
func TestWholeAnswerCutAtLateProcess(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: request-1\r\nSignature: s\r\nSoftware: v1\r\n"
	Convey("An answer that has ended before its header is seen", t, func() {
		var text atomic.Value
		var answered atomic.Bool
		var watches atomic.Int64
		g := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
			rawBytes(text.Load().(string))(w, r)
			answered.Store(true)
		})
		g.startRelay(func(spec *mgrelay.Spec) {
			spec.RefusesConnections = connectionsAccepted
			spec.ListConfirmedAt = func() mgclock.Millis { return spec.Clock.Now() + 1 }
			spec.IncarnationStart = func(string) (int64, bool) { return 1, true }
			spec.WatchProcess = func(ctx context.Context, addr string, conn net.Conn) (*mgdial.ProcessWatch, error) {
				watches.Add(1)
				if answered.Load() {
					return watchLate(ctx, addr, conn)
				}
				return mgdial.WatchProcess(ctx, addr, conn)
			}
		})
		g.hosts[0].IncarnationStart = 1
		send := func(answer string) callerReply {
			text.Store(answer)
			answered.Store(false)
			return g.send(context.Background(), http.MethodPost, "/write/1", "x", nil)
		}
		Convey("is whole if it is its service's first one", func() {
			So(send(head+"\r\n"+firstEvents).cut, ShouldBeFalse)
			Convey("or follows another one that ended with its connection", func() {
				got := send(head + "\r\n" + firstEvents)
				So(got.cut, ShouldBeFalse)
				So(got.body, ShouldEqual, firstEvents)
			})
		})
		Convey("is whole with a length, too, and needs no watch from then on", func() {
			answer := head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(firstEvents)) + firstEvents
			So(send(answer).cut, ShouldBeFalse)
			So(send(answer).cut, ShouldBeFalse)
			So(watches.Load(), ShouldEqual, 1)
		})
	})
}

// Guards against a stream that is cut at its end because its upstream could not be watched at its begin.
func TestWatchNotRetried(t *testing.T) {
	Convey("A stream whose upstream could be watched only after its begin is whole", t, func() {
		watched := make(chan struct{})
		g := newHarness(t, func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: request-1\r\nSignature: s\r\nSoftware: v1\r\n\r\n"+firstEvents)
			<-watched
			_ = conn.Close()
		})
		var failures atomic.Int64
		g.startRelay(func(spec *mgrelay.Spec) {
			spec.RefusesConnections = connectionsAccepted
			spec.ListConfirmedAt = func() mgclock.Millis { return spec.Clock.Now() + 1 }
			spec.IncarnationStart = func(string) (int64, bool) { return 1, true }
			spec.WatchProcess = func(ctx context.Context, addr string, conn net.Conn) (*mgdial.ProcessWatch, error) {
				if failures.Add(1) <= 2 {
					return nil, errSilent
				}
				defer close(watched)
				return mgdial.WatchProcess(ctx, addr, conn)
			}
		})
		g.hosts[0].IncarnationStart = 1
		got := g.send(context.Background(), http.MethodPost, "/write/1", "x", nil)
		So(got.cut, ShouldBeFalse)
		So(got.body, ShouldEqual, firstEvents)
	})
}

// errSilent is the error of an upstream that doesn't answer.
var errSilent = errors.New("no answer in time")

// watchLate watches what listens at an address by the time at which another process may.
func watchLate(ctx context.Context, addr string, answered net.Conn) (*mgdial.ProcessWatch, error) {
	mgclock.Clock{}.Sleep(ctx, 20)
	return mgdial.WatchProcess(ctx, addr, answered)
}

// watchedProcess returns a function that watches a process which ends, or doesn't.
func watchedProcess(t *testing.T, ends bool) func(context.Context, string, net.Conn) (*mgdial.ProcessWatch, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	t.Cleanup(func() { _ = listener.Close() })
	return func(ctx context.Context, _ string, _ net.Conn) (*mgdial.ProcessWatch, error) {
		watch, err := mgdial.WatchProcess(ctx, listener.Addr().String(), nil)
		if err != nil {
			return nil, err
		}
		conn, err := listener.Accept()
		if err != nil {
			return nil, err
		}
		t.Cleanup(func() { _ = conn.Close() })
		if ends {
			_ = conn.Close()
			for watch.IsOpen() {
				mgclock.Clock{}.Sleep(ctx, 1)
			}
		}
		return watch, nil
	}
}

// Guards against whole streams that are cut, or held back until their end, because their lines
// end with CR or CRLF.
func TestLineEndingsCutStream(t *testing.T) {
	header := "HTTP/1.1 200 OK\r\nRequest-Id: request-1\r\nSignature: s\r\nSoftware: v1\r\n\r\n"
	Convey("A stream without a length or chunks", t, func() {
		for name, end := range map[string]string{"LF": "\n", "CR": "\r", "CRLF": "\r\n"} {
			events := strings.ReplaceAll("id: 1\ndata: a\n\n: note\n\nid: 2\ndata: b\n\n", "\n", end)
			Convey("whose lines end with "+name, func() {
				Convey("is whole, and its events arrive before its end", func() {
					received := make(chan struct{})
					g := newHarness(t, func(w http.ResponseWriter, _ *http.Request) {
						conn, _, err := w.(http.Hijacker).Hijack()
						if err != nil {
							return
						}
						_, _ = io.WriteString(conn, header+events)
						<-received
						_, _ = io.WriteString(conn, ": bye"+end)
						_ = conn.Close()
					})
					body, err := g.readStream("/write/1", "x", received)
					So(err, ShouldBeNil)
					So(body, ShouldEqual, events+": bye"+end)
				})
				Convey("is cut if it ends inside an event", func() {
					for _, open := range []string{"id: 3", "id: 3" + end, "data: c" + end, ": note" + end + "id: 3" + end} {
						g := newHarness(t, rawBytes(header+events+open))
						got := g.send(context.Background(), http.MethodPost, "/write/1", "x", nil)
						So(got.cut, ShouldBeTrue)
						So(got.body, ShouldEqual, events)
					}
				})
				Convey("continues after its last whole event", func() {
					g := newHarness(t, rawBytes(header+events+"id: 3"+end), streamEvents("v1", 4))
					got := g.send(context.Background(), http.MethodPost, "/note/1", "x", nil)
					So(got.cut, ShouldBeFalse)
					So(g.requests()[1].header.Get("Last-Event-Id"), ShouldEqual, "2")
					So(got.body, ShouldEqual, events+versionedEvent(3, "v1")+versionedEvent(4, "v1"))
				})
			})
		}
	})
}
