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

// listed returns a node whose platform has a list of a version, and the address at
// which its peers reach it.
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
			Name:  "entry-1",
			Quick: 10,
		},
		Log:      io.Discard,
		Platform: &platform,
		Unkeyed:  true,
	})
	So(err, ShouldBeNil)
	ctx, cancel := context.WithCancel(context.Background())
	n.background.Go(func() { n.loop.Run(ctx) })
	server := httptest.NewServer(n.peerRoutes())
	t.Cleanup(func() {
		cancel()
		n.Wait()
		server.Close()
	})
	return n, strings.TrimPrefix(server.URL, "http://")
}

// A process asks the one that reads the platform for what is new. Without an answer
// that waits it would ask again and again, or hear of an engine's notice late.
func TestLongPollMissesNewList(t *testing.T) {
	Convey("A process that listens at another", t, func() {
		var version atomic.Uint64
		version.Store(5)
		n, addr := listNode(t, &version)
		ctx, cancel := context.WithTimeout(context.Background(), mgclock.Minute.Duration())
		defer cancel()
		first, err := n.longPollList(ctx, addr, 0, maxLongPoll)
		So(err, ShouldBeNil)
		So(first.Word.List, ShouldEqual, 5)
		So(first.Packed, ShouldNotBeEmpty)
		Convey("is told the word alone where it has the list", func() {
			same, err := n.longPollList(ctx, addr, 5, 1)
			So(err, ShouldBeNil)
			So(same.Packed, ShouldBeNil)
			So(same.Word.List, ShouldEqual, 5)
			So(same.Word.Age, ShouldBeGreaterThanOrEqualTo, 0)
		})
		Convey("is told of a newer list as soon as it is there", func() {
			version.Store(6)
			newer, err := n.longPollList(ctx, addr, 5, maxLongPoll)
			So(err, ShouldBeNil)
			So(newer.Word.List, ShouldEqual, 6)
			So(newer.Packed, ShouldNotBeEmpty)
		})
		Convey("has an error from what is no such process", func() {
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

// A process is told of the others by the one that gathers them, and must not take
// bytes that are no rows for "none are known".
func TestMalformedGossipAccepted(t *testing.T) {
	Convey("A process that tells another of itself", t, func() {
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
			"no rows":      "rows",
			"half a pack":  string(mustCompress(t)[:12]),
			"nothing":      "",
			"a text alone": "{}",
		} {
			Convey("is refused "+name, func() {
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
