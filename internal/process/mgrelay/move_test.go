package mgrelay_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgrelay"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgmigration"
)

// moveScenario is a generation of six events whose engine leaves after the third.
type moveScenario struct {
	harness  *harness
	mu       sync.Mutex
	leaving  bool
	changed  chan struct{}
	breakOff chan struct{} // closed when the source must break off its stream
	version  string        // the source's software version in its events, if they have it
	orders   []mgrelay.MoveOrder
	reply    func(order mgrelay.MoveOrder) mgmigration.Reply
}

func eventText(n int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", n, n) }

// source produces three events and breaks off when breakOff is closed.
func (s *moveScenario) source(w http.ResponseWriter, r *http.Request) {
	for n := 1; n <= 3; n++ {
		text := eventText(n)
		if s.version != "" {
			text = versionedEvent(n, s.version)
		}
		_, _ = fmt.Fprint(w, text)
	}
	_ = http.NewResponseController(w).Flush()
	s.leave()
	select {
	case <-s.breakOff:
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

// leave marks the source, upstream a, as leaving.
func (s *moveScenario) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// resumeFromCopy produces the events after the one that the request names.
func resumeFromCopy(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Copy") == "" {
		w.Header().Set("Refused", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	first := 1
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &first)
	for n := first + 1; n <= 6; n++ {
		_, _ = fmt.Fprint(w, eventText(n))
	}
}

// newMoveScenario starts a relay in front of a source a and destinations b and c.
func newMoveScenario(t *testing.T, reply func(s *moveScenario, order mgrelay.MoveOrder) mgmigration.Reply, others ...upstreamHandler) *moveScenario {
	s := &moveScenario{
		changed:  make(chan struct{}),
		breakOff: make(chan struct{}),
	}
	s.harness = newHarness(t, append([]upstreamHandler{s.source}, others...)...)
	s.reply = func(order mgrelay.MoveOrder) mgmigration.Reply { return reply(s, order) }
	return s
}

// Guards against a resumable stream that breaks off with its engine, without a
// notice, and isn't resumed at another upstream. The caller's own client would start
// the request again from the beginning.
func TestInterruptedStreamNotResumed(t *testing.T) {
	Convey("A resumable stream continues at another upstream", t, func() {
		fromEvent := func(w http.ResponseWriter, r *http.Request) {
			first := 0
			_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &first)
			for n := first + 1; n <= 6; n++ {
				_, _ = fmt.Fprint(w, eventText(n))
			}
		}
		breakOff := func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprint(w, eventText(1), eventText(2), "id: 3\ndata: e")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		g := newHarness(t, breakOff, fromEvent)
		got := g.send(context.Background(), http.MethodPost, "/note/1", "x", nil)
		So(got.cut, ShouldBeFalse)
		So(got.body, ShouldEqual, wholeStream())
		So(got.header.Get("Signature"), ShouldEqual, "signed by a")
		Convey("but not more often than the route allows", func() {
			g := newHarness(t, breakOff, breakOff, fromEvent)
			got := g.send(context.Background(), http.MethodPost, "/note/1", "x", nil)
			So(got.cut, ShouldBeTrue)
			So(len(g.requests()), ShouldEqual, 2)
		})
	})
}

func (s *moveScenario) configure(spec *mgrelay.Spec) {
	spec.IsLeaving = func(name string) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.leaving && name == "a"
	}
	spec.LeavingChanged = func() <-chan struct{} {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.changed
	}
	spec.Upstreams = func(string) []mgrelay.Host {
		if spec.IsLeaving("a") {
			return s.harness.hosts[1:]
		}
		return s.harness.hosts
	}
	spec.Move = func(_ context.Context, _ mgrelay.Host, order mgrelay.MoveOrder) mgmigration.Reply {
		s.mu.Lock()
		s.orders = append(s.orders, order)
		s.mu.Unlock()
		return s.reply(order)
	}
}

func wholeStream() string {
	var all strings.Builder
	for n := 1; n <= 6; n++ {
		all.WriteString(eventText(n))
	}
	return all.String()
}

// Guards against a generation that is produced a second time from its beginning and
// mixed with the first. It came about when the engine with the copy was gone as the
// relay connected to it: nothing had been sent to it, and the relay mistook this for
// a request that had never run.
func TestGenerationRestartsAfterCopyLost(t *testing.T) {
	Convey("A generation whose copy can't be reached breaks off visibly", t, func() {
		s := newMoveScenario(t, func(s *moveScenario, order mgrelay.MoveOrder) mgmigration.Reply {
			if order.Stop {
				close(s.breakOff)
				return mgmigration.Reply{Outcome: mgmigration.Lost}
			}
			return mgmigration.Reply{
				Outcome: mgmigration.Copied,
				Handle:  "h",
			}
		}, answerWith("never reached"), func(w http.ResponseWriter, _ *http.Request) {
			for n := 1; n <= 6; n++ {
				_, _ = fmt.Fprint(w, eventText(n))
			}
		})
		s.harness.hosts[1].Addr = "127.0.0.1:1"
		s.harness.startRelay(s.configure)
		got := s.harness.send(context.Background(), http.MethodPost, "/write/1", "x", nil)
		So(got.cut, ShouldBeTrue)
		So(strings.HasPrefix(wholeStream(), got.body), ShouldBeTrue)
		for _, request := range s.harness.requests()[1:] {
			So(request.header.Get("Copy"), ShouldNotBeEmpty)
		}
	})
}

// Guards against a generation of seven seconds that breaks off in the middle because
// its engine is reclaimed two seconds after its notice, and against one that
// continues elsewhere with events missing or repeated because a step of its move
// failed.
func TestMovedGenerationCutOrIncorrect(t *testing.T) {
	copied := func(handle string) mgmigration.Reply {
		return mgmigration.Reply{
			Outcome: mgmigration.Copied,
			Handle:  handle,
		}
	}
	stopped := func(s *moveScenario, reply mgmigration.Reply) mgmigration.Reply {
		close(s.breakOff)
		return reply
	}
	cases := []struct {
		name   string
		reply  func(s *moveScenario, order mgrelay.MoveOrder) mgmigration.Reply
		others []upstreamHandler
		whole  bool
	}{
		{
			name: "every step succeeds",
			reply: func(s *moveScenario, order mgrelay.MoveOrder) mgmigration.Reply {
				if !order.Stop {
					return copied("h1")
				}
				return stopped(s, copied("h2"))
			},
			others: []upstreamHandler{resumeFromCopy},
			whole:  true,
		},
		{
			name: "the first destination has no memory",
			reply: func(s *moveScenario, order mgrelay.MoveOrder) mgmigration.Reply {
				if order.To == s.harness.hosts[1].Addr {
					return mgmigration.Reply{Outcome: mgmigration.NoCapacity}
				}
				if !order.Stop {
					return copied("h1")
				}
				return stopped(s, copied("h2"))
			},
			others: []upstreamHandler{hangUp, resumeFromCopy},
			whole:  true,
		},
		{
			// Memory is nearly full everywhere: each destination refuses within some
			// ms, and one of them has memory a moment later. A relay that gives up
			// after three refusals lets the answer be cut a second later.
			name: "no destination has memory at first",
			reply: func(s *moveScenario, order mgrelay.MoveOrder) mgmigration.Reply {
				s.mu.Lock()
				asked := len(s.orders)
				s.mu.Unlock()
				if asked < 8 {
					return mgmigration.Reply{Outcome: mgmigration.NoCapacity}
				}
				if !order.Stop {
					return copied("h1")
				}
				return stopped(s, copied("h2"))
			},
			others: []upstreamHandler{resumeFromCopy},
			whole:  true,
		},
		{
			name: "the answer to the stop is lost",
			reply: func(s *moveScenario, order mgrelay.MoveOrder) mgmigration.Reply {
				if !order.Stop {
					return copied("h1")
				}
				return stopped(s, mgmigration.Reply{Outcome: mgmigration.Lost})
			},
			others: []upstreamHandler{resumeFromCopy},
			whole:  true,
		},
		{
			name: "the engine crashes before the stop",
			reply: func(s *moveScenario, order mgrelay.MoveOrder) mgmigration.Reply {
				if !order.Stop {
					defer close(s.breakOff)
					return copied("h1")
				}
				return mgmigration.Reply{Outcome: mgmigration.Lost}
			},
			others: []upstreamHandler{resumeFromCopy},
			whole:  true,
		},
		{
			name: "no destination has memory: the stream breaks off visibly with its engine",
			reply: func(s *moveScenario, order mgrelay.MoveOrder) mgmigration.Reply {
				s.mu.Lock()
				defer s.mu.Unlock()
				if len(s.orders) == 1 {
					close(s.breakOff)
				}
				return mgmigration.Reply{Outcome: mgmigration.NoCapacity}
			},
			others: []upstreamHandler{resumeFromCopy},
		},
		{
			name: "the destination refuses the copy",
			reply: func(s *moveScenario, order mgrelay.MoveOrder) mgmigration.Reply {
				if !order.Stop {
					return copied("h1")
				}
				return stopped(s, copied("h2"))
			},
			others: []upstreamHandler{refuseWith(http.StatusServiceUnavailable)},
		},
	}
	Convey("A generation whose engine leaves, when", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				s := newMoveScenario(t, c.reply, c.others...)
				s.harness.startRelay(s.configure)
				got := s.harness.send(context.Background(), http.MethodPost, "/write/1", "x", nil)
				So(got.status, ShouldEqual, http.StatusOK)
				So(got.header.Get("Signature"), ShouldEqual, "signed by a")
				So(!got.cut, ShouldEqual, c.whole)
				if c.whole {
					So(got.body, ShouldEqual, wholeStream())
					return
				}
				So(strings.HasPrefix(wholeStream(), got.body), ShouldBeTrue)
			})
		}
	})
}
