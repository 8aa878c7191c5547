package mgnode

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgpeer"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgmetric"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgsettings"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgorigin"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// countingListener counts the bytes of its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{
		Conn:  conn,
		bytes: l.bytes,
	}, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// originNode returns a node that exchanges origins with an entry at an address.
func originNode(t *testing.T, peerAddr string) *Node {
	guard, err := mgpeer.New(mgpeer.Spec{Secret: "sample-secret-of-16"})
	if err != nil {
		t.Fatal(err)
	}
	n := &Node{
		settings: mgsettings.Process{
			Name:   "a",
			Region: "south",
		},
		incarnation: "tfpra3-f9f6fa78",
		members:     mgmember.New("a"),
		metrics:     mgmetric.New(),
		log:         logr.Discard(),
		guard:       guard,
		calls:       guard.Transport(false),
	}
	n.members.AdoptList(0, mgplatform.VMList{
		Version: 1,
		VMs: []mgplatform.VM{
			{
				Name:   "b",
				Kind:   mgplatform.EntryKind,
				Peer:   peerAddr,
				Region: "south",
				State:  mgplatform.Live,
			},
		},
	})
	n.origins = n.newOrigins()
	return n
}

// Guards against messages about origins whose headers take more than the account of their cost,
// mgorigin.TestReplicationExceedsBandwidth, assumes.
func TestOriginMessageBytes(t *testing.T) {
	const assumedHeaderBytes = 200
	Convey("A message between two entries", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		var bytes atomic.Int64
		receiver := originNode(t, "")
		server := &http.Server{Handler: receiver.guard.RequireKey(http.HandlerFunc(receiver.serveOrigins))}
		go func() { _ = server.Serve(countingListener{Listener: listener, bytes: &bytes}) }()
		defer server.Close()
		sender := originNode(t, listener.Addr().String())
		record := mgorigin.Record{
			Key:     mgorigin.KeyOf("tankline", "request-1"),
			Service: "report",
			Version: "v1.1",
			Left:    mgclock.Minute,
		}
		const messages = 10
		payload := 0
		for range messages {
			reply, err := sender.sendOrigins(context.Background(), "b", mgorigin.Message{
				Records: []mgorigin.Record{record},
			})
			So(err, ShouldBeNil)
			So(reply.Incarnation, ShouldEqual, receiver.incarnation)
			payload = jsonBytes(mgorigin.Message{Records: []mgorigin.Record{record}}) + jsonBytes(reply)
		}
		header := int(bytes.Load())/messages - payload
		t.Logf("%d bytes of headers, %d of payload", header, payload)
		So(header, ShouldBeLessThanOrEqualTo, assumedHeaderBytes)
		So(receiver.origins.Find(context.Background(), record.Key).Record.Version, ShouldEqual, "v1.1")
	})
	Convey("An entry of an earlier release answers nothing", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		server := &http.Server{Handler: http.NotFoundHandler()}
		go func() { _ = server.Serve(listener) }()
		defer server.Close()
		found := originNode(t, listener.Addr().String()).origins.Find(context.Background(), mgorigin.KeyOf("", "1"))
		So(found.Known, ShouldBeFalse)
		So(found.Complete, ShouldBeFalse)
	})
}

// Guards against a refused stream whose record only an entry that leaves, or was suspected, has.
func TestDepartingEntryIsNotAsked(t *testing.T) {
	cases := map[string]func(n *Node){
		"leaving": func(n *Node) { n.recordPeerAnnouncement("b", "", true) },
		"suspected": func(n *Node) {
			for !n.originPeers()[0].Departing {
				n.peerFailed("b")
			}
		},
	}
	Convey("An entry asks another one for the origin of a stream", t, func() {
		for name, depart := range cases {
			Convey("that is "+name, func() {
				receiver := originNode(t, "")
				server := httptest.NewServer(receiver.guard.RequireKey(http.HandlerFunc(receiver.serveOrigins)))
				defer server.Close()
				record := mgorigin.Record{
					Key:     mgorigin.KeyOf("tankline", "request-1"),
					Service: "report",
					Version: "v1.1",
					Left:    mgclock.Minute,
				}
				receiver.origins.Handle("", mgorigin.Message{Records: []mgorigin.Record{record}})
				n := originNode(t, strings.TrimPrefix(server.URL, "http://"))
				depart(n)
				So(n.originPeers()[0].Departing, ShouldBeTrue)
				So(n.origins.Find(context.Background(), record.Key).Record.Version, ShouldEqual, "v1.1")
			})
		}
	})
}

// jsonBytes returns the length of a value as JSON, 0 if it has none.
func jsonBytes(value any) int {
	data, err := json.Marshal(value)
	if err != nil {
		return 0
	}
	return len(data)
}
