package mgnode

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgadmin"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgprobe"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// probeNode returns a node that shares probes with an entry at an address.
func probeNode(t *testing.T, peerAddr string) *Node {
	n := originNode(t, peerAddr)
	n.admin = &mgadmin.Admin{}
	if err := n.measureWaits(t.Context()); err != nil {
		t.Fatal(err)
	}
	n.startProber()
	return n
}

// Guards against answers that get lost between two entries, and against messages that take more bytes than
// mgprobe.TestAnswersSaturateLinks assumes.
func TestAnswersGetLost(t *testing.T) {
	const assumedHeaderBytes = 200 // of request and response
	Convey("An entry learns of answers by a message and by its response", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		var bytes atomic.Int64
		receiver := probeNode(t, "")
		server := &http.Server{Handler: receiver.guard.RequireKey(receiver.peerRoutes())}
		go func() { _ = server.Serve(countingListener{Listener: listener, bytes: &bytes}) }()
		defer server.Close()
		sender := probeNode(t, listener.Addr().String())
		receiver.prober.Load().Record(receiver.clock.Now(), "engine-of-receiver")
		message := mgprobe.Message{
			Entry:   "a",
			All:     true,
			Answers: map[string]mgclock.Millis{},
		}
		for range 10 {
			message.Answers[fmt.Sprintf("i-%010x", rand.Uint64()>>24)] = 50
		}
		const messages = 10
		var reply mgprobe.Message
		for range messages {
			reply, err = sender.sendAnswers(context.Background(), "b", message)
			So(err, ShouldBeNil)
		}
		So(reply.Answers, ShouldContainKey, "engine-of-receiver")
		for engine := range message.Answers {
			age, ok := receiver.prober.Load().Age(engine)
			So(ok, ShouldBeTrue)
			So(age, ShouldBeGreaterThanOrEqualTo, 50)
		}
		So(receiver.metrics.Counter("probes.received").Count(), ShouldBeGreaterThanOrEqualTo, 10)
		payload := 0
		for _, body := range []mgprobe.Message{message, reply} {
			packed, err := compressJSON(body)
			So(err, ShouldBeNil)
			payload += len(packed)
		}
		header := int(bytes.Load())/messages - payload
		t.Logf("%d bytes of headers, %d of payload", header, payload)
		So(header, ShouldBeLessThanOrEqualTo, assumedHeaderBytes)
	})
}

// Guards against an entry that is counted upon though its release, or its settings, have it probe for itself only.
func TestEntryWithoutSharedProbesIsCountedUpon(t *testing.T) {
	withoutProber := originNode(t, "")
	cases := map[string]http.Handler{
		"whose setting share is off":                       withoutProber.peerRoutes(),
		"of a release that answers 404 to an unknown path": http.NotFoundHandler(),
		"of the previous release, as an entry without the path": http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			r.URL.Path = "/unknown"
			withoutProber.peerRoutes().ServeHTTP(w, r)
		}),
	}
	for name, handler := range cases {
		Convey("An entry sends answers to one "+name, t, func() {
			server := httptest.NewServer(withoutProber.guard.RequireKey(handler))
			defer server.Close()
			n := probeNode(t, strings.TrimPrefix(server.URL, "http://"))
			_, err := n.sendAnswers(context.Background(), "b", mgprobe.Message{Entry: "a"})
			So(errors.Is(err, mgprobe.ErrUnsupported), ShouldBeTrue)
		})
	}
}

// Guards against probes that are assigned to an entry that stops, or is suspected of being dead.
func TestProbeAssignedToStoppingEntry(t *testing.T) {
	Convey("Probes are assigned to", t, func() {
		n := probeNode(t, "")
		for _, region := range []bool{false, true} {
			So(n.probingEntries(region), ShouldResemble, []string{"b", "a"})
		}
		Convey("the others, while this entry stops", func() {
			n.leaving.Store(true)
			So(n.probingEntries(false), ShouldResemble, []string{"b"})
		})
		Convey("this entry, if another one stops", func() {
			n.recordPeerAnnouncement("b", "", true)
			So(n.probingEntries(true), ShouldResemble, []string{"a"})
			Convey("also if both stop", func() {
				n.leaving.Store(true)
				So(n.probingEntries(true), ShouldResemble, []string{"a"})
			})
		})
		Convey("this entry, if another one is suspected", func() {
			n.peerFailed("b")
			n.peerFailed("b")
			So(n.probingEntries(false), ShouldResemble, []string{"a"})
		})
	})
}
