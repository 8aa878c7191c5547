package mgnode

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgsettings"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// listNode returns a node whose platform has a list of VMs of a version, and the address
// at which peers reach the node.
func listNode(t *testing.T, version *atomic.Uint64) (*Node, string) {
	t.Helper()
	read := func(context.Context, string) (mgplatform.Value, error) {
		text := fmt.Sprintf(`{"version":%d,"vms":[{"name":"engine-1","kind":"upstream"}]}`, version.Load())
		return mgplatform.NewValue(version.Load(), []byte(text)), nil
	}
	platform := mgplatform.NewClient(read, func(ctx context.Context, key string, after uint64, _ mgclock.Millis) (mgplatform.Value, error) {
		if version.Load() <= after {
			return mgplatform.Value{}, mgplatform.ErrUnchanged
		}
		return read(ctx, key)
	})
	n, err := New(Spec{
		Settings: mgsettings.Process{
			Name:             "entry-1",
			MinWatchInterval: 10,
		},
		Log:      io.Discard,
		Platform: &platform,
		Unkeyed:  true,
	})
	So(err, ShouldBeNil)
	ctx, cancel := context.WithCancel(context.Background())
	n.background.Go(func() { n.configLoop.Run(ctx) })
	server := httptest.NewServer(n.peerRoutes())
	t.Cleanup(func() {
		cancel()
		n.Wait()
		server.Close()
	})
	return n, strings.TrimPrefix(server.URL, "http://")
}

// Guards against a long poll that misses a new list. A process asks the one that reads the platform
// for a newer list. If the response were not held until there is one, the process would have to
// poll often, or would learn late that an engine will be reclaimed.
func TestLongPollMissesNewList(t *testing.T) {
	Convey("A process that polls another for its list of VMs", t, func() {
		var version atomic.Uint64
		version.Store(5)
		n, addr := listNode(t, &version)
		ctx, cancel := context.WithTimeout(context.Background(), mgclock.Minute.Duration())
		defer cancel()
		first, err := n.longPollList(ctx, addr, 0, maxLongPoll)
		So(err, ShouldBeNil)
		So(first.Report.List, ShouldEqual, 5)
		So(first.Compressed, ShouldNotBeEmpty)
		Convey("receives only the versions if it has the newest list", func() {
			same, err := n.longPollList(ctx, addr, 5, 1)
			So(err, ShouldBeNil)
			So(same.Compressed, ShouldBeNil)
			So(same.Report.List, ShouldEqual, 5)
			So(same.Report.Age, ShouldBeGreaterThanOrEqualTo, 0)
		})
		Convey("receives a newer list as soon as there is one", func() {
			version.Store(6)
			newer, err := n.longPollList(ctx, addr, 5, maxLongPoll)
			So(err, ShouldBeNil)
			So(newer.Report.List, ShouldEqual, 6)
			So(newer.Compressed, ShouldNotBeEmpty)
		})
		Convey("gets an error from a server that is no such process, or is gone", func() {
			server := httptest.NewServer(nil)
			defer server.Close()
			_, err := n.longPollList(ctx, strings.TrimPrefix(server.URL, "http://"), 0, 1)
			So(err, ShouldNotBeNil)
			server.Close()
			_, err = n.longPollList(ctx, strings.TrimPrefix(server.URL, "http://"), 0, 1)
			So(err, ShouldNotBeNil)
		})
	})
}

// Guards against malformed gossip that is accepted. A process learns of others from the hub, which
// collects gossip. It must not read a malformed message as "no processes are known".
func TestMalformedGossipAccepted(t *testing.T) {
	Convey("A process that exchanges gossip with another", t, func() {
		var version atomic.Uint64
		version.Store(5)
		n, addr := listNode(t, &version)
		ctx, cancel := context.WithTimeout(context.Background(), mgclock.Minute.Duration())
		defer cancel()
		exchange := func(name string) []string {
			reply, err := n.exchangeGossip(ctx, addr, []mgmember.Gossip{{
				Name: name,
				Addr: name + ":1",
			}})
			So(err, ShouldBeNil)
			var names []string
			for _, s := range reply {
				names = append(names, s.Name)
			}
			return names
		}
		So(exchange("entry-2"), ShouldResemble, []string{"entry-2", "entry-1"})
		So(exchange("entry-3"), ShouldResemble, []string{"entry-2", "entry-3", "entry-1"})
		for name, body := range map[string]string{
			"no JSON at all":    "rows",
			"a truncated body":  string(mustCompress(t)[:12]),
			"no bytes":          "",
			"uncompressed JSON": "{}",
		} {
			Convey("is refused a message with "+name, func() {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					_, _ = w.Write([]byte(body))
				}))
				defer server.Close()
				_, err := n.exchangeGossip(ctx, strings.TrimPrefix(server.URL, "http://"), nil)
				So(err, ShouldNotBeNil)
				recorder := httptest.NewRecorder()
				n.serveGossip(recorder, httptest.NewRequest(http.MethodPost, gossipPath, strings.NewReader(body)))
				So(recorder.Code, ShouldEqual, http.StatusBadRequest)
			})
		}
	})
}

func mustCompress(t *testing.T) []byte {
	t.Helper()
	body, err := compressJSON([]mgmember.Gossip{{
		Name: "entry-2",
	}})
	if err != nil {
		t.Fatal(err)
	}
	return body
}
