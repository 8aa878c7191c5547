package mgrelay_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgmetric"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgrelay"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgbackup"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgload"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgmigration"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgquarantine"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// backupSize is the size of a generation that is long enough for a backup.
var backupSize = http.Header{"Tokens": {"100,600"}, "Hint": {"500"}}

// backupRig is a relay whose service has backups, and which has just lost an engine.
type backupRig struct {
	harness *harness
	metrics *mgmetric.Set
	load    *mgload.Tracker
}

// newBackupRig starts a relay in front of upstreams a, b and so on.
func newBackupRig(t *testing.T, change func(g *harness, spec *mgrelay.Spec), handlers ...upstreamHandler) *backupRig {
	rig := &backupRig{
		harness: newHarness(t, handlers...),
		metrics: mgmetric.New(),
		load:    &mgload.Tracker{},
	}
	rig.harness.configureModel(strings.Replace(tableText, `move = "yes"`, "move = \"yes\"\nbackup = \"yes\"", 1))
	losses := &mgbackup.Losses{}
	losses.RecordBreak(mgclock.Clock{}.Now(), "ledger", mgbackup.Engine{
		Name: "lost",
	})
	rig.harness.startRelay(func(spec *mgrelay.Spec) {
		spec.Backups = true
		spec.Losses = losses
		spec.Metrics = rig.metrics
		spec.Load = rig.load
		if change != nil {
			change(rig.harness, spec)
		}
	})
	return rig
}

// send sends a long generation.
func (r *backupRig) send(target string) callerReply {
	return r.harness.send(context.Background(), http.MethodPost, target, "x", backupSize)
}

// count returns a counter of the relay's.
func (r *backupRig) count(name string) int64 { return r.metrics.Counter(name).Count() }

// addrOf returns the address of an upstream.
func (r *backupRig) addrOf(name string) string {
	for _, host := range r.harness.currentHosts() {
		if host.Name == name {
			return host.Addr
		}
	}
	return ""
}

// breakOff produces three events and closes the connection, as a crash does.
var breakOff = breakOffAfterEvents(3)

// breakOffAfterEvents returns a handler that produces the events up to last, from a copy
// if the request names one, and closes the connection.
func breakOffAfterEvents(last int) upstreamHandler {
	return func(w http.ResponseWriter, r *http.Request) {
		first := 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &first)
		for n := first + 1; n <= last; n++ {
			_, _ = fmt.Fprint(w, eventText(n))
		}
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// withoutCopy answers as an upstream that lacks the copy.
func withoutCopy(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Guards against a generation that is lost with its engine although another engine has a
// copy of it, and against a second run of one that was never stopped.
func TestGenerationLostThoughBackupExists(t *testing.T) {
	Convey("A generation whose engine crashes", t, func() {
		Convey("continues from the backup that its request named, and names another one", func() {
			rig := newBackupRig(t, nil, breakOff, resumeFromCopy, resumeFromCopy)
			got := rig.send("/write/1")
			So(got.cut, ShouldBeFalse)
			So(got.body, ShouldEqual, wholeStream())
			requests := rig.harness.requests()
			So(len(requests), ShouldEqual, 2)
			So(requests[0].header.Get("Backup"), ShouldEqual, rig.addrOf(requests[1].upstream))
			So(requests[1].header.Get("Copy"), ShouldEqual, rig.addrOf(requests[1].upstream)+"/request-1")
			So(requests[1].header.Get("Last-Event-Id"), ShouldEqual, "3")
			So(requests[1].header.Get("Request-Id"), ShouldEqual, "request-1")
			So(rig.count("relay.backup.used"), ShouldEqual, 1)
			So(rig.count("relay.backup.named")+rig.count("relay.backup.spent"), ShouldEqual, 2)
		})
		Convey("and whose second engine crashes as well continues from the second backup", func() {
			var mu sync.Mutex
			count := 0
			other := func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				count++
				isFirst := count == 1
				mu.Unlock()
				if isFirst {
					breakOffAfterEvents(5)(w, r)
				}
				resumeFromCopy(w, r)
			}
			rig := newBackupRig(t, ampleMemory, breakOff, other, other)
			got := rig.send("/write/1")
			So(got.cut, ShouldBeFalse)
			So(got.body, ShouldEqual, wholeStream())
			requests := rig.harness.requests()
			So(len(requests), ShouldEqual, 3)
			So(requests[2].header.Get("Copy"), ShouldEqual, rig.addrOf(requests[2].upstream)+"/request-1")
			So(requests[2].header.Get("Last-Event-Id"), ShouldEqual, "5")
			So(rig.count("relay.backup.used"), ShouldEqual, 2)
		})
		Convey("before its first event begins at the backup", func() {
			fromStart := func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Copy") == "" {
					hangUp(w, r)
				}
				for n := 1; n <= 6; n++ {
					_, _ = fmt.Fprint(w, eventText(n))
				}
			}
			rig := newBackupRig(t, nil, hangUp, fromStart)
			got := rig.send("/write/1")
			So(got.cut, ShouldBeFalse)
			So(got.body, ShouldEqual, wholeStream())
			So(rig.count("relay.backup.used"), ShouldEqual, 1)
		})
	})
}

// Guards against backups that are of no use in the first half minute of a service, in which an
// entry judges crashes with caution, and against a request that ends a third engine.
func TestBackupUnusedAfterCrash(t *testing.T) {
	late := func(last int) upstreamHandler {
		return func(w http.ResponseWriter, r *http.Request) {
			first := 0
			_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &first)
			_, _ = fmt.Fprint(w, eventText(first+1))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(mgquarantine.StartWindow.Duration() + 50*time.Millisecond)
			breakOffAfterEvents(last)(w, &http.Request{Header: http.Header{"Last-Event-Id": {fmt.Sprint(first + 1)}}})
		}
	}
	withEvidence := func(g *harness, spec *mgrelay.Spec) {
		ampleMemory(g, spec)
		spec.RefusesConnections = connectionsRefused
		spec.Quarantine = mgquarantine.New("life", nil)
		spec.Quarantine.Begin(mgclock.Clock{}.Now(), mgclock.Minute)
	}
	Convey("A generation whose engine is known to have ended without notice", t, func() {
		Convey("continues from its backup if it had run for a while", func() {
			rig := newBackupRig(t, withEvidence, late(3), resumeFromCopy)
			got := rig.send("/write/1")
			So(got.cut, ShouldBeFalse)
			So(got.body, ShouldEqual, wholeStream())
		})
		Convey("doesn't continue if it had just begun, as it may end another one", func() {
			rig := newBackupRig(t, withEvidence, breakOff, resumeFromCopy)
			got := rig.send("/write/1")
			So(got.cut, ShouldBeTrue)
			So(len(rig.harness.requests()), ShouldEqual, 1)
		})
		Convey("doesn't continue once a second one has ended under it", func() {
			rig := newBackupRig(t, withEvidence, late(3), late(5), late(5))
			got := rig.send("/write/1")
			So(got.cut, ShouldBeTrue)
			So(len(rig.harness.requests()), ShouldEqual, 2)
		})
	})
}

// Guards against losses that are not seen, or are taken for such though the engine stays.
func TestLossNotSeen(t *testing.T) {
	quiet := func(_ *harness, spec *mgrelay.Spec) { spec.Losses = nil }
	Convey("Without losses before, the next generation has a backup", t, func() {
		Convey("after one that broke off", func() {
			rig := newBackupRig(t, quiet, breakOff, resumeOrBegin)
			So(rig.send("/write/1").cut, ShouldBeTrue)
			So(rig.count("relay.backup.named"), ShouldEqual, 0)
			rig.send("/write/1")
			So(rig.count("relay.backup.named"), ShouldEqual, 1)
		})
		Convey("after an engine that another entry found broken", func() {
			rig := newBackupRig(t, func(g *harness, spec *mgrelay.Spec) {
				quiet(g, spec)
				spec.OtherLoads = func() mgload.Report {
					return mgload.Report{
						Loads:  map[string]mgload.Load{"b": {Runs: 1}, "c": {Runs: 2}},
						Faults: map[string]float64{"c": 0.9},
					}
				}
			}, resumeOrBegin, resumeOrBegin, resumeOrBegin)
			So(rig.send("/write/1").cut, ShouldBeFalse)
			So(rig.count("relay.backup.named"), ShouldEqual, 1)
		})
		Convey("after an engine that left, while the list is stale", func() {
			var mu sync.Mutex
			hasLeft := false
			rig := newBackupRig(t, func(g *harness, spec *mgrelay.Spec) {
				quiet(g, spec)
				spec.IsListStale = func() bool { return true }
				spec.LeavingChanged = func() <-chan struct{} { return nil }
				spec.IsLeaving = func(name string) bool {
					mu.Lock()
					defer mu.Unlock()
					return hasLeft && name == "c"
				}
			}, resumeOrBegin, resumeOrBegin, resumeOrBegin)
			So(rig.send("/write/1").cut, ShouldBeFalse)
			So(rig.count("relay.backup.safe"), ShouldEqual, 1)
			mu.Lock()
			hasLeft = true
			mu.Unlock()
			rig.harness.setHosts(rig.harness.currentHosts()[:2])
			for rig.count("relay.backup.named") == 0 && rig.count("relay.backup.safe") < 1000 {
				So(rig.send("/write/1").cut, ShouldBeFalse) // engines are compared ten times a second
			}
			So(rig.count("relay.backup.named"), ShouldEqual, 1)
		})
	})
	Convey("A caller that leaves is no loss", t, func() {
		began, ended := make(chan struct{}, 2), make(chan struct{})
		var once sync.Once
		rig := newBackupRig(t, quiet, func(w http.ResponseWriter, r *http.Request) {
			resumeOrBegin(w, r)
			_ = http.NewResponseController(w).Flush()
			began <- struct{}{}
			once.Do(func() {
				<-r.Context().Done()
				close(ended)
			})
		}, resumeOrBegin)
		ctx, leave := context.WithCancel(context.Background())
		go func() {
			<-began
			for rig.metrics.Histogram("relay.first").Snapshot().Count() == 0 {
				time.Sleep(time.Millisecond) // until the relay has begun to forward
			}
			time.Sleep(10 * time.Millisecond)
			leave()
		}()
		rig.harness.send(ctx, http.MethodPost, "/write/1", "x", backupSize)
		<-ended
		for rig.load.Load("a").Runs > 0 {
			time.Sleep(time.Millisecond) // until the relay has noticed
		}
		So(rig.send("/write/1").cut, ShouldBeFalse)
		So(rig.count("relay.backup.safe"), ShouldEqual, 2)
	})
}

// ampleMemory makes the budget large enough for several backups at a time.
func ampleMemory(g *harness, _ *mgrelay.Spec) {
	text := strings.Replace(tableText, `move = "yes"`, "move = \"yes\"\nbackup = \"yes\"", 1)
	text = strings.Replace(text, `kind = "plain"`, "model = \"m\"", 1)
	g.parseTable(text + "\n[[model]]\nname = \"m\"\ncontext = 90000\nmax = 90000\n")
}

// Guards against an answer that is held or started again from its beginning when its
// backup is gone: the caller must see at once that it broke off.
func TestGenerationRestartsAfterBackupLost(t *testing.T) {
	cases := []struct {
		name    string
		backup  upstreamHandler
		source  upstreamHandler
		isEmpty bool // the caller has no event
	}{
		{
			name:   "refused with 503",
			backup: withoutCopy,
			source: breakOff,
		},
		{
			name:   "refused as not run",
			backup: refuseWith(http.StatusServiceUnavailable),
			source: breakOff,
		},
		{
			name:   "lost with its engine",
			backup: hangUp,
			source: breakOff,
		},
		{
			name:    "refused before the first event",
			backup:  refuseWith(http.StatusServiceUnavailable),
			source:  hangUp,
			isEmpty: true,
		},
		{
			// Events 4 and 5 aren't in the copy, and the engine can't produce them.
			name: "of a later moment than the last event",
			backup: func(w http.ResponseWriter, _ *http.Request) {
				_, _ = fmt.Fprint(w, eventText(6))
			},
			source: breakOff,
		},
	}
	Convey("A generation whose backup is", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				rig := newBackupRig(t, nil, c.source, c.backup)
				got := rig.send("/write/1")
				So(len(rig.harness.requests()), ShouldEqual, 2)
				if c.isEmpty {
					// The first engine may have run it, so "not run" would be wrong.
					So(got.status, ShouldBeGreaterThanOrEqualTo, http.StatusInternalServerError)
					So(got.status, ShouldNotEqual, http.StatusServiceUnavailable)
					return
				}
				So(got.cut, ShouldBeTrue)
				So(got.body, ShouldEqual, eventText(1)+eventText(2)+eventText(3))
				So(rig.count("relay.backup.used"), ShouldEqual, 1)
			})
		}
	})
}

// Guards against events that are delivered twice because the copy is older than the last
// event that the caller has.
func TestEventsRepeatedFromBackup(t *testing.T) {
	Convey("An engine that begins before the last event", t, func() {
		rig := newBackupRig(t, nil, breakOff, func(w http.ResponseWriter, _ *http.Request) {
			for n := 2; n <= 6; n++ {
				_, _ = fmt.Fprint(w, eventText(n))
			}
		})
		got := rig.send("/write/1")
		So(got.cut, ShouldBeFalse)
		So(got.body, ShouldEqual, wholeStream())
	})
	Convey("Events without ids don't show where the second engine begins", t, func() {
		rig := newBackupRig(t, nil, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "data: e1\n\n")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, answerWith("data: e1\n\n"))
		got := rig.send("/write/1")
		So(got.cut, ShouldBeTrue)
		So(len(rig.harness.requests()), ShouldEqual, 1)
	})
}

// Guards against backups where they do harm: they take memory that requests could use.
func TestBackupNamedInVain(t *testing.T) {
	quiet := func(_ *harness, spec *mgrelay.Spec) { spec.Losses = nil }
	cases := []struct {
		name   string
		target string
		size   http.Header
		change func(g *harness, spec *mgrelay.Spec)
		reason string
	}{
		{
			name:   "no engine was lost lately",
			change: quiet,
			reason: "safe",
		},
		{
			name:   "the generation is short",
			size:   http.Header{"Tokens": {"100,600"}, "Hint": {"50"}},
			reason: "short",
		},
		{
			name:   "the caller can resume it",
			target: "/note/1",
		},
		{
			name: "the setting is off",
			change: func(_ *harness, spec *mgrelay.Spec) {
				spec.Backups = false
			},
		},
		{
			name: "the service isn't configured for it",
			change: func(g *harness, _ *mgrelay.Spec) {
				g.configureModel(tableText)
			},
		},
		{
			name: "the other engine has no room",
			change: func(_ *harness, spec *mgrelay.Spec) {
				spec.OtherLoads = func() mgload.Report {
					return mgload.Report{
						Loads: map[string]mgload.Load{"b": {Runs: 1, Memory: 8000}},
					}
				}
			},
			reason: "noroom",
		},
		{
			name: "the other engine failed recently",
			change: func(g *harness, _ *mgrelay.Spec) {
				g.hosts[1].FailedRecently = true
			},
			reason: "unfit",
		},
		{
			name: "the other engine is leaving",
			change: func(_ *harness, spec *mgrelay.Spec) {
				spec.IsLeaving = func(name string) bool { return name == "b" }
				spec.LeavingChanged = func() <-chan struct{} { return nil }
			},
			reason: "unfit",
		},
		{
			name: "the other engine is cordoned",
			change: func(_ *harness, spec *mgrelay.Spec) {
				spec.CordonAge = func(name string) (mgclock.Millis, bool) { return 0, name == "b" }
			},
			reason: "unfit",
		},
		{
			name: "the other engine is cold",
			change: func(g *harness, _ *mgrelay.Spec) {
				g.hosts[1].Cold = true
			},
			reason: "unfit",
		},
		{
			name: "the other engine runs another software version",
			change: func(g *harness, _ *mgrelay.Spec) {
				g.hosts[1].SoftwareVersion = "v2"
			},
			reason: "unfit",
		},
	}
	Convey("No backup is named if", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				rig := newBackupRig(t, c.change, resumeOrBegin, resumeOrBegin)
				target := "/write/1"
				if c.target != "" {
					target = c.target
				}
				size := backupSize
				if c.size != nil {
					size = c.size
				}
				got := rig.harness.send(context.Background(), http.MethodPost, target, "x", size)
				So(got.cut, ShouldBeFalse)
				for _, request := range rig.harness.requests() {
					So(request.header["Backup"], ShouldBeEmpty)
				}
				So(rig.count("relay.backup.named"), ShouldEqual, 0)
				if c.reason != "" {
					So(rig.count("relay.backup."+c.reason), ShouldEqual, 1)
				}
			})
		}
	})
}

// resumeOrBegin produces a whole stream.
func resumeOrBegin(w http.ResponseWriter, r *http.Request) {
	breakAt := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &breakAt)
	for n := breakAt + 1; n <= 6; n++ {
		_, _ = fmt.Fprint(w, eventText(n))
	}
}

// Guards against a caller that uses an engine's memory for copies by its own header.
func TestCallersBackupForwarded(t *testing.T) {
	Convey("A caller's own header naming a backup is dropped", t, func() {
		for _, backups := range []bool{false, true} {
			rig := newBackupRig(t, func(_ *harness, spec *mgrelay.Spec) {
				spec.Backups = backups
				spec.Losses = nil
			}, resumeOrBegin, resumeOrBegin)
			header := backupSize.Clone()
			header.Set("Backup", "127.0.0.1:1")
			got := rig.harness.send(context.Background(), http.MethodPost, "/write/1", "x", header)
			So(got.cut, ShouldBeFalse)
			So(rig.harness.requests()[0].header["Backup"], ShouldBeEmpty)
		}
	})
}

// Guards against a generation that continues at another software version than that which
// began it: events of both would be joined.
func TestBackupAtOtherVersion(t *testing.T) {
	Convey("A generation doesn't continue from its backup if", t, func() {
		Convey("the backup's engine has restarted since", func() {
			var mu sync.Mutex
			restarted := false
			source := func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				restarted = true
				mu.Unlock()
				breakOff(w, r)
			}
			rig := newBackupRig(t, func(g *harness, spec *mgrelay.Spec) {
				g.hosts[1].IncarnationStart = 5
				spec.IncarnationStart = func(name string) (int64, bool) {
					mu.Lock()
					defer mu.Unlock()
					if name == "b" && restarted {
						return 6, true
					}
					return 5, name == "b"
				}
			}, source, resumeFromCopy)
			got := rig.send("/write/1")
			So(rig.count("relay.backup.named"), ShouldEqual, 1)
			So(got.cut, ShouldBeTrue)
			So(len(rig.harness.requests()), ShouldEqual, 1)
		})
		Convey("the engine that began it states another version than the list", func() {
			rig := newBackupRig(t, func(g *harness, _ *mgrelay.Spec) {
				g.versions["a"] = "v0"
			}, breakOff, resumeFromCopy)
			got := rig.send("/write/1")
			So(rig.count("relay.backup.named"), ShouldEqual, 1)
			So(got.cut, ShouldBeTrue)
			So(len(rig.harness.requests()), ShouldEqual, 1)
		})
		Convey("the backup's engine states another version than the list", func() {
			rig := newBackupRig(t, func(g *harness, _ *mgrelay.Spec) {
				g.versions["b"] = "v2"
			}, breakOff, resumeFromCopy)
			got := rig.send("/write/1")
			So(got.cut, ShouldBeTrue)
			So(got.body, ShouldEqual, eventText(1)+eventText(2)+eventText(3))
		})
		Convey("it isn't known which incarnation began it, where engines don't state their version", func() {
			rig := newBackupRig(t, func(g *harness, spec *mgrelay.Spec) {
				spec.Headers.Software = ""
				g.hosts[0].IncarnationStart = 5
				spec.ListConfirmedAt = func() mgclock.Millis { return -1 }
				spec.IncarnationStart = func(string) (int64, bool) { return 0, false }
				spec.AskIncarnation = func(context.Context, mgrelay.Host) (int64, error) { return 6, nil }
			}, breakOff, resumeFromCopy)
			got := rig.send("/write/1")
			So(rig.count("relay.backup.named"), ShouldEqual, 1)
			So(got.cut, ShouldBeTrue)
			So(len(rig.harness.requests()), ShouldEqual, 1)
		})
	})
}

// Guards against two engines that work on one generation at a time: the connection to the
// first one must be closed when the second begins, although only its answer broke off.
func TestGenerationRunsTwice(t *testing.T) {
	Convey("The connection to an engine whose answer can't be read on is closed", t, func() {
		closed := make(chan struct{})
		source := func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: request-1\r\nSignature: s\r\nSoftware: v1\r\n"+
				"Transfer-Encoding: chunked\r\n\r\n")
			for n := 1; n <= 3; n++ {
				_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(eventText(n)), eventText(n))
			}
			_, _ = io.WriteString(conn, "no chunk\r\n")
			_, _ = io.Copy(io.Discard, conn) // until the other side closes
			_ = conn.Close()
			close(closed)
		}
		wasClosed := make(chan bool, 1)
		rig := newBackupRig(t, nil, source, func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-closed:
				wasClosed <- true
			case <-time.After(400 * time.Millisecond):
				wasClosed <- false
			}
			resumeFromCopy(w, r)
		})
		got := rig.send("/write/1")
		So(got.cut, ShouldBeFalse)
		So(got.body, ShouldEqual, wholeStream())
		So(<-wasClosed, ShouldBeTrue)
	})
}

// Guards against a backup that is used although the move succeeded, and against one that
// isn't used when the move failed or is waiting for its slot as the source is gone.
func TestMoveAndBackupCompete(t *testing.T) {
	copied := func(handle string) mgmigration.Reply {
		return mgmigration.Reply{
			Outcome: mgmigration.Copied,
			Handle:  handle,
		}
	}
	cases := []struct {
		name      string
		reply     func(s *moveScenario, order mgrelay.MoveOrder) mgmigration.Reply
		slotHangs bool
		usesMove  bool
	}{
		{
			name: "the notice was seen and the move succeeded",
			reply: func(s *moveScenario, order mgrelay.MoveOrder) mgmigration.Reply {
				if !order.Stop {
					return copied("h1")
				}
				close(s.breakOff)
				return copied("h2")
			},
			usesMove: true,
		},
		{
			name: "the source is gone before the copy",
			reply: func(s *moveScenario, _ mgrelay.MoveOrder) mgmigration.Reply {
				s.mu.Lock()
				defer s.mu.Unlock()
				if len(s.orders) == 1 {
					close(s.breakOff)
				}
				return mgmigration.Reply{Outcome: mgmigration.Lost}
			},
		},
		{
			name: "no destination has memory",
			reply: func(s *moveScenario, _ mgrelay.MoveOrder) mgmigration.Reply {
				s.mu.Lock()
				defer s.mu.Unlock()
				if len(s.orders) == 1 {
					close(s.breakOff)
				}
				return mgmigration.Reply{Outcome: mgmigration.NoCapacity}
			},
		},
		{
			name:      "the move waits for its slot until the source is gone",
			slotHangs: true,
		},
	}
	Convey("A generation with a backup whose engine leaves: ", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				s := newMoveScenario(t, func(s *moveScenario, order mgrelay.MoveOrder) mgmigration.Reply {
					return c.reply(s, order)
				}, resumeFromCopy, resumeFromCopy)
				s.harness.configureModel(strings.Replace(tableText, `move = "yes"`, "move = \"yes\"\nbackup = \"yes\"", 1))
				metrics := mgmetric.New()
				losses := &mgbackup.Losses{}
				losses.RecordBreak(mgclock.Clock{}.Now(), "ledger", mgbackup.Engine{
					Name: "lost",
				})
				s.harness.startRelay(func(spec *mgrelay.Spec) {
					s.configure(spec)
					spec.Backups = true
					spec.Losses = losses
					spec.Metrics = metrics
					if c.slotHangs {
						spec.AcquireSlot = func(ctx context.Context, _ string, _ mgmigration.SlotRequest) (string, bool) {
							close(s.breakOff)
							<-ctx.Done()
							return "", false
						}
					}
				})
				got := s.harness.send(context.Background(), http.MethodPost, "/write/1", "x", backupSize)
				So(got.cut, ShouldBeFalse)
				So(got.body, ShouldEqual, wholeStream())
				requests := s.harness.requests()
				So(len(requests), ShouldEqual, 2)
				So(requests[0].header.Get("Backup"), ShouldNotBeEmpty)
				if c.usesMove {
					So(requests[1].header.Get("Copy"), ShouldEqual, s.harness.hosts[0].Addr+"/h2")
					So(metrics.Counter("relay.backup.used").Count(), ShouldEqual, 0)
					return
				}
				So(requests[1].header.Get("Copy"), ShouldEqual, requests[0].header.Get("Backup")+"/request-1")
				So(metrics.Counter("relay.backup.used").Count(), ShouldEqual, 1)
			})
		}
	})
}

// Guards against a generation that is lost although its move had copied it, because its
// backup was tried as the move's last copy took long, and was gone.
func TestMoveForgottenForBackup(t *testing.T) {
	Convey("A generation whose backup is gone continues from the copy of its move", t, func() {
		fromMove := func(w http.ResponseWriter, r *http.Request) {
			if !strings.HasSuffix(r.Header.Get("Copy"), "/h1") {
				withoutCopy(w, r)
				return
			}
			resumeFromCopy(w, r)
		}
		var isOld atomic.Bool
		s := newMoveScenario(t, nil, fromMove, fromMove)
		s.harness.configureModel(strings.Replace(tableText, `move = "yes"`, "move = \"yes\"\nbackup = \"yes\"", 1))
		metrics := mgmetric.New()
		losses := &mgbackup.Losses{}
		losses.RecordBreak(mgclock.Clock{}.Now(), "ledger", mgbackup.Engine{
			Name: "lost",
		})
		s.harness.startRelay(func(spec *mgrelay.Spec) {
			s.configure(spec)
			spec.Backups = true
			spec.Losses = losses
			spec.Metrics = metrics
			isLeaving := spec.IsLeaving
			spec.IsLeaving = func(name string) bool {
				return isLeaving(name) && isOld.Load() // the backup counts as usable some time after the first event
			}
			spec.Move = func(ctx context.Context, _ mgrelay.Host, order mgrelay.MoveOrder) mgmigration.Reply {
				if !order.Stop {
					return mgmigration.Reply{
						Outcome: mgmigration.Copied,
						Handle:  "h1",
					}
				}
				close(s.breakOff)
				<-ctx.Done()
				return mgmigration.Reply{Outcome: mgmigration.Lost}
			}
		})
		go func() {
			for metrics.Histogram("relay.first").Snapshot().Count() == 0 {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(600 * time.Millisecond)
			isOld.Store(true)
			s.leave()
		}()
		got := s.harness.send(context.Background(), http.MethodPost, "/write/1", "x", backupSize)
		So(got.cut, ShouldBeFalse)
		So(got.body, ShouldEqual, wholeStream())
		So(metrics.Counter("relay.backup.missing").Count(), ShouldEqual, 1)
		So(len(s.harness.requests()), ShouldEqual, 3)
	})
}

// Guards against placements that overlook the memory of backups, and against backups whose
// memory is counted forever.
func TestMemoryOfBackupMiscounted(t *testing.T) {
	Convey("The memory of a backup counts at its engine", t, func() {
		Convey("while the generation runs", func() {
			var rig *backupRig
			loads := make(chan mgload.Load, 1)
			rig = newBackupRig(t, nil, func(w http.ResponseWriter, r *http.Request) {
				loads <- rig.load.Load("b")
				resumeOrBegin(w, r)
			}, resumeOrBegin)
			got := rig.send("/write/1")
			So(got.cut, ShouldBeFalse)
			So(<-loads, ShouldResemble, mgload.Load{Memory: 350})
			So(rig.load.Load("b"), ShouldResemble, mgload.Load{})
		})
		Convey("for some seconds after a failure, as the copy is kept", func() {
			rig := newBackupRig(t, func(_ *harness, spec *mgrelay.Spec) {
				spec.IncarnationStart = func(string) (int64, bool) { return 1, true } // the copy isn't used
			}, breakOff, resumeOrBegin)
			got := rig.send("/write/1")
			So(got.cut, ShouldBeTrue)
			So(rig.load.Load("b").Memory, ShouldEqual, 350)
		})
		Convey("no longer once the generation continues from it, which counts itself", func() {
			var rig *backupRig
			loads := make(chan mgload.Load, 1)
			rig = newBackupRig(t, nil, breakOff, func(w http.ResponseWriter, r *http.Request) {
				loads <- rig.load.Load("b")
				resumeFromCopy(w, r)
			})
			got := rig.send("/write/1")
			So(got.cut, ShouldBeFalse)
			So(<-loads, ShouldResemble, mgload.Load{
				Runs:   1,
				Memory: 350,
			})
		})
	})
}
