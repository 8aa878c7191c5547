package mgrelay_test

import (
	"context"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgrelay"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgmigration"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgorigin"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgwaitlist"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// versionedEvent is event n as an upstream with a software version writes it.
func versionedEvent(n int, version string) string {
	return fmt.Sprintf("id: %d\ndata: written by %s.\n\n", n, version)
}

// streamEvents returns a handler that writes the events after the one that the request
// names, up to last.
func streamEvents(version string, last int) upstreamHandler {
	return func(w http.ResponseWriter, r *http.Request) {
		first := 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &first)
		for n := first + 1; n <= last; n++ {
			_, _ = fmt.Fprint(w, versionedEvent(n, version))
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// breakOffAfter returns a handler that writes events and then closes the connection.
func breakOffAfter(version string, last int) upstreamHandler {
	return func(w http.ResponseWriter, r *http.Request) {
		streamEvents(version, last)(w, r)
		panic(http.ErrAbortHandler)
	}
}

// writers returns the versions that wrote a stream's events, each once.
func writers(body string) []string {
	var versions []string
	for _, match := range regexp.MustCompile(`written by (.*)\.`).FindAllStringSubmatch(body, -1) {
		versions = append(versions, match[1])
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}

// setVersions sets the software versions of the upstreams a, b and so on.
func (g *harness) setVersions(versions ...string) {
	for i, version := range versions {
		g.hosts[i].SoftwareVersion = version
		g.versions[g.hosts[i].Name] = version
	}
}

// Guards against a stream whose events are written by several software versions, because it
// broke off and was continued at whichever upstream was cheapest.
func TestStreamContinuesAtOtherVersion(t *testing.T) {
	cases := []struct {
		name     string
		versions []string
		whole    bool
	}{
		{
			name:     "continues at its version, though another upstream is cheaper",
			versions: []string{"v1", "v1.1", "v1"},
			whole:    true,
		},
		{
			name:     "breaks off if its version has no other upstream",
			versions: []string{"v1", "v1.1", "v2"},
		},
		{
			name:     "breaks off if its version is unknown",
			versions: []string{"", "", "v1"},
		},
		{
			name:     "breaks off if the version of the others is unknown",
			versions: []string{"v1", "", ""},
		},
	}
	Convey("A resumable stream that breaks off after three events", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				g := newHarness(t, breakOffAfter(c.versions[0], 3), streamEvents(c.versions[1], 6), streamEvents(c.versions[2], 6))
				g.setVersions(c.versions...)
				got := g.send(context.Background(), http.MethodPost, "/note/1", "x", nil)
				So(writers(got.body), ShouldResemble, []string{c.versions[0]})
				So(got.cut, ShouldEqual, !c.whole)
			})
		}
	})
}

// reclaimDelay is the time from the notice of an upstream to its end.
const reclaimDelay = 200 * time.Millisecond

// Guards against a generation whose memory is copied to another software version when its
// upstream leaves.
func TestGenerationMovesToOtherVersion(t *testing.T) {
	cases := []struct {
		name     string
		versions []string
		whole    bool
	}{
		{
			name:     "moves to its version, though another upstream is cheaper",
			versions: []string{"v1", "v1.1", "v1"},
			whole:    true,
		},
		{
			name:     "is not moved if its version has no other upstream",
			versions: []string{"v1", "v1.1", "v2"},
		},
		{
			name:     "is not moved if its version is unknown",
			versions: []string{"", "", "v1"},
		},
	}
	Convey("A generation whose upstream leaves", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				others := make([]upstreamHandler, 0, 2)
				for _, version := range c.versions[1:] {
					others = append(others, streamEvents(version, 6))
				}
				s := newMoveScenario(t, func(s *moveScenario, order mgrelay.MoveOrder) mgmigration.Reply {
					if order.Stop && c.whole {
						close(s.breakOff)
					}
					return mgmigration.Reply{
						Outcome: mgmigration.Copied,
						Handle:  "h",
					}
				}, others...)
				s.version = c.versions[0]
				if !c.whole {
					time.AfterFunc(reclaimDelay, func() { close(s.breakOff) })
				}
				s.harness.setVersions(c.versions...)
				s.harness.startRelay(s.configure)
				got := s.harness.send(context.Background(), http.MethodPost, "/write/1", "x", nil)
				So(got.cut, ShouldEqual, !c.whole)
				for _, order := range s.orders {
					So(order.To, ShouldEqual, s.harness.hosts[2].Addr)
				}
				So(len(s.orders) > 0, ShouldEqual, c.whole)
			})
		}
	})
}

// Guards against taking an upstream that has restarted under its name for the version that it
// had before.
func TestRestartedUpstreamKeepsVersion(t *testing.T) {
	Convey("A resumable stream breaks off", t, func() {
		for _, restarted := range []string{"a", "b"} {
			Convey("if the list states a new incarnation of "+restarted, func() {
				g := newHarness(t, breakOffAfter("v1", 3), streamEvents("v1", 6))
				g.startRelay(func(spec *mgrelay.Spec) {
					spec.Headers.Software = "" // upstreams don't state it
					spec.IncarnationStart = func(upstream string) (int64, bool) {
						if upstream == restarted {
							return 2, true
						}
						return 0, true
					}
				})
				got := g.send(context.Background(), http.MethodPost, "/note/1", "x", nil)
				So(got.cut, ShouldBeTrue)
				So(len(g.requests()), ShouldEqual, 1)
			})
		}
	})
}

// resumeHeader is the header of a request that resumes a stream after its third event.
func resumeHeader(id, resumes string) http.Header {
	return http.Header{
		"Request-Id":    {id},
		"Last-Event-Id": {"3"},
		"Continues":     {resumes},
	}
}

// Guards against a stream that its caller resumes and that is joined to another version, is
// refused although it fits, or waits although it fits nowhere.
func TestResumedStreamJoinsOtherVersion(t *testing.T) {
	Convey("A caller whose stream of v1 broke off after three events resumes it", t, func() {
		g := newHarness(t, breakOffAfter("v1", 3), streamEvents("v1.1", 6), streamEvents("v1", 6))
		all := g.hosts
		g.setVersions("v1", "v1.1", "v1")
		g.setHosts(all[:2])
		first := g.send(context.Background(), http.MethodPost, "/note/1", "x", nil)
		So(first.cut, ShouldBeTrue)
		So(writers(first.body), ShouldResemble, []string{"v1"})
		before := len(g.requests())

		Convey("and gets the rest from v1", func() {
			g.setHosts(all[1:])
			got := g.send(context.Background(), http.MethodPost, "/note/1", "x", resumeHeader("request-2", "request-1"))
			So(got.cut, ShouldBeFalse)
			So(first.body+got.body, ShouldEqual, wholeStreamOf("v1"))
		})
		Convey("and, when that broke off again, once more by the id of its first request", func() {
			gone := all[0]
			gone.Addr = "127.0.0.1:1"
			g.setHosts([]mgrelay.Host{gone, all[1]})
			second := g.send(context.Background(), http.MethodPost, "/note/1", "x", resumeHeader("request-2", "request-1"))
			So(second.status, ShouldEqual, http.StatusServiceUnavailable)
			g.setHosts(all[1:])
			got := g.send(context.Background(), http.MethodPost, "/note/1", "x", resumeHeader("request-3", "request-1"))
			So(first.body+got.body, ShouldEqual, wholeStreamOf("v1"))
		})
		Convey("and is refused at once if v1 has no upstream any more", func() {
			g.setHosts(all[1:2])
			g.startRelay(func(spec *mgrelay.Spec) {
				spec.AwaitPlacement = func(context.Context, string, mgwaitlist.Request) (mgwaitlist.Grant, bool) {
					panic("the request waits for a placement")
				}
			})
			got := g.send(context.Background(), http.MethodPost, "/note/1", "x", resumeHeader("request-2", "request-1"))
			So(got.status, ShouldEqual, http.StatusServiceUnavailable)
			So(got.header.Get("Retry-After"), ShouldNotBeEmpty)
			So(got.body, ShouldContainSubstring, `"notrun"`)
			So(len(g.requests()), ShouldEqual, before)
		})
		Convey("and is refused if it names a request that no process knows", func() {
			got := g.send(context.Background(), http.MethodPost, "/note/1", "x", resumeHeader("request-2", "request-0"))
			So(got.status, ShouldEqual, http.StatusServiceUnavailable)
			So(got.header.Get("Retry-After"), ShouldBeEmpty)
			So(got.body, ShouldContainSubstring, `"notrun"`)
			So(len(g.requests()), ShouldEqual, before)
		})
		Convey("and is refused if it names no request", func() {
			header := resumeHeader("request-2", "")
			header.Del("Continues")
			got := g.send(context.Background(), http.MethodPost, "/note/1", "x", header)
			So(got.status, ShouldEqual, http.StatusServiceUnavailable)
			So(len(g.requests()), ShouldEqual, before)
		})
		Convey("but another client account can't resume it by its id", func() {
			g.setAccount("cooperativa")
			got := g.send(context.Background(), http.MethodPost, "/note/1", "x", resumeHeader("request-2", "request-1"))
			So(got.status, ShouldEqual, http.StatusServiceUnavailable)
			So(len(g.requests()), ShouldEqual, before)
		})
		Convey("and gets the rest from an upstream that another process uses otherwise", func() {
			g.setHosts(all[1:2])
			g.startRelay(func(spec *mgrelay.Spec) {
				spec.AllUpstreams = func(string) []mgrelay.Host { return all[1:] }
			})
			got := g.send(context.Background(), http.MethodPost, "/note/1", "x", resumeHeader("request-2", "request-1"))
			So(first.body+got.body, ShouldEqual, wholeStreamOf("v1"))
		})
	})
}

func wholeStreamOf(version string) string {
	var all strings.Builder
	for n := 1; n <= 6; n++ {
		all.WriteString(versionedEvent(n, version))
	}
	return all.String()
}

// Guards against a stream of one service that is joined to another service of its route, to
// which the id of the caller's next request leads.
func TestResumedStreamJoinsOtherService(t *testing.T) {
	const shared = `services = ["ledger", "archive"]`
	Convey("On a route to two services", t, func() {
		g := newHarness(t, streamEvents("ledger", 6), streamEvents("archive", 6))
		g.parseTable(strings.Replace(tableText, `services = ["ledger"]
attempts = 2
timeout = 5000

[[account]]`, shared+`
attempts = 2
timeout = 5000

[[account]]`, 1) + "\n[[service]]\nname = \"archive\"\nkind = \"plain\"\n")
		hosts := g.hosts
		g.startRelay(func(spec *mgrelay.Spec) {
			spec.Upstreams = func(service string) []mgrelay.Host {
				if service == "archive" {
					return hosts[1:]
				}
				return hosts[:1]
			}
		})
		for i := range 20 {
			id := fmt.Sprint("first-", i)
			first := g.send(context.Background(), http.MethodPost, "/note/1", "x", http.Header{"Request-Id": {id}})
			got := g.send(context.Background(), http.MethodPost, "/note/1", "x", resumeHeader(fmt.Sprint("second-", i), id))
			So(got.status, ShouldEqual, http.StatusOK)
			So(writers(got.body), ShouldResemble, writers(first.body))
		}
		Convey("a stream isn't resumed at a service to which the route no longer leads", func() {
			var id string
			for i := 0; ; i++ {
				id = fmt.Sprint("again-", i)
				first := g.send(context.Background(), http.MethodPost, "/note/1", "x", http.Header{"Request-Id": {id}})
				if writers(first.body)[0] == "archive" {
					break
				}
			}
			g.parseTable(tableText)
			got := g.send(context.Background(), http.MethodPost, "/note/1", "x", resumeHeader("later", id))
			So(got.status, ShouldEqual, http.StatusServiceUnavailable)
		})
	})
}

// Guards against a stream of another version at an upstream that restarted under its name, which
// the list doesn't show yet.
func TestUnlistedIncarnationJoinsStream(t *testing.T) {
	const listed, restarted = 1, 2
	cases := []struct {
		name      string
		hasHeader bool // upstreams state their versions in answers
		begins    int  // start of the incarnation that begins the stream
		continues int  // of the one that is asked to continue it
		asked     bool // upstreams answer when they are asked
		confirmed bool // the platform confirms the list all the time
		whole     bool
	}{
		{
			name:      "both answers are from listed incarnations",
			hasHeader: true,
			begins:    listed,
			continues: listed,
			whole:     true,
		},
		{
			name:      "the first answer is from another incarnation",
			hasHeader: true,
			begins:    restarted,
			continues: listed,
		},
		{
			name:      "the second answer is from another incarnation",
			hasHeader: true,
			begins:    listed,
			continues: restarted,
		},
		{
			name:      "the list is confirmed",
			begins:    listed,
			continues: listed,
			confirmed: true,
			whole:     true,
		},
		{
			name:      "the list isn't confirmed, and the upstreams state their incarnations",
			begins:    listed,
			continues: listed,
			asked:     true,
			whole:     true,
		},
		{
			name:      "the list isn't confirmed, and the second upstream states another one",
			begins:    listed,
			continues: restarted,
			asked:     true,
		},
		{
			name:      "the list isn't confirmed, and the upstreams don't answer",
			begins:    listed,
			continues: listed,
		},
	}
	Convey("A stream that breaks off continues only at a listed incarnation", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				versions := map[int]string{
					listed:    "v1",
					restarted: "v1.1",
				}
				g := newHarness(t, breakOffAfter(versions[c.begins], 3), streamEvents(versions[c.continues], 6))
				g.versions["a"], g.versions["b"] = versions[c.begins], versions[c.continues]
				for i := range g.hosts {
					g.hosts[i].IncarnationStart = listed
				}
				starts := map[string]int{
					"a": c.begins,
					"b": c.continues,
				}
				g.startRelay(func(spec *mgrelay.Spec) {
					if !c.hasHeader {
						spec.Headers.Software = ""
					}
					spec.IncarnationStart = func(string) (int64, bool) { return listed, true }
					spec.ListConfirmedAt = func() mgclock.Millis {
						if c.confirmed {
							return spec.Clock.Now() + 1
						}
						return -1
					}
					if c.asked {
						spec.AskIncarnation = func(_ context.Context, upstream mgrelay.Host) (int64, error) {
							return int64(starts[upstream.Name]), nil
						}
					}
				})
				got := g.send(context.Background(), http.MethodPost, "/note/1", "x", nil)
				So(got.cut, ShouldEqual, !c.whole)
				So(writers(got.body), ShouldResemble, []string{versions[c.begins]})
			})
		}
	})
}

// Guards against refusing a stream that began at an upstream whose restart the list doesn't show,
// though the answer stated its version.
func TestStatedVersionIgnored(t *testing.T) {
	Convey("A stream goes on at the version that its first answer states", t, func() {
		g := newHarness(t, breakOffAfter("v1.1", 3), streamEvents("v1", 6), streamEvents("v1.1", 6))
		g.setVersions("v1", "v1", "v1.1")
		g.versions["a"] = "v1.1"
		got := g.send(context.Background(), http.MethodPost, "/note/1", "x", nil)
		So(got.cut, ShouldBeFalse)
		So(got.body, ShouldEqual, wholeStreamOf("v1.1"))
	})
}

// Guards against a stream that can't be resumed a second time, because the process that relayed
// it first has ended and the next one kept no record.
func TestResumedStreamIsNotRecorded(t *testing.T) {
	Convey("A process that resumes another one's stream keeps and replicates its record", t, func() {
		key := mgorigin.KeyOf("tankline", "request-1")
		g := newHarness(t, breakOffAfter("v1", 5))
		g.origins = mgorigin.NewReplicator(mgorigin.ReplicatorSpec{
			Peers: func() []mgorigin.Peer { return []mgorigin.Peer{{Name: "other"}} },
			Call: func(_ context.Context, _ string, message mgorigin.Message) (mgorigin.Reply, error) {
				var reply mgorigin.Reply
				if len(message.Find) > 0 {
					reply.Records = []mgorigin.Record{
						{
							Key:     key,
							Service: "ledger",
							Version: "v1",
							Left:    mgclock.Minute,
						},
					}
				}
				return reply, nil
			},
		})
		g.startRelay(func(*mgrelay.Spec) {})
		got := g.send(context.Background(), http.MethodPost, "/note/1", "x", resumeHeader("request-2", "request-1"))
		So(writers(got.body), ShouldResemble, []string{"v1"})
		So(g.origins.State().Own, ShouldEqual, 1)
	})
}
