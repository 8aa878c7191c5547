package mgnode

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgmetric"
)

// A hub that stops must not go on assigning capacity beside the one that takes over, until each
// entry has learned of its stop seconds later.
func TestStoppingHubAssignsBesideItsSuccessor(t *testing.T) {
	Convey("A hub that is stopping", t, func() {
		a, b := nodeKnowing("entry-a", "entry-b"), nodeKnowing("entry-b", "entry-a")
		hub, other := a, b
		if a.hubPeer() != nil {
			hub, other = b, a
		}
		other.metrics, other.log = mgmetric.New(), logr.Discard()
		hub.metrics, hub.log = mgmetric.New(), logr.Discard()
		server := httptest.NewServer(mgrpc.NewPeerServer(peerServer{node: hub}))
		defer server.Close()
		client := mgrpc.NewPeerProtobufClient(server.URL, http.DefaultClient)
		hub.leaving.Store(true)
		calls := map[string]func() error{
			"Place": func() error {
				_, err := client.Place(context.Background(), &mgrpc.PlaceRequest{
					Service: "llm",
					Request: "one",
				})
				return err
			},
			"Loads": func() error {
				_, err := client.Loads(context.Background(), &mgrpc.LoadRows{
					Entry: other.settings.Name,
				})
				return err
			},
			"Turn": func() error {
				_, err := client.Turn(context.Background(), &mgrpc.TurnRequest{
					Source: "engine",
					Run:    "one",
				})
				return err
			},
		}
		for name, call := range calls {
			Convey("refuses "+name+", and the entry that called asks the next hub from then on", func() {
				peer := other.hubPeer()
				So(peer.Name(), ShouldEqual, hub.settings.Name)
				So(other.recordHandover(peer, call()), ShouldBeTrue)
				So(other.hubPeer(), ShouldBeNil)
			})
		}
		Convey("ends the slots that it has granted", func() {
			_, err := client.Turn(context.Background(), &mgrpc.TurnRequest{
				Source: "engine",
				Run:    "one",
				End:    true,
			})
			So(err, ShouldBeNil)
		})
		Convey("isn't taken for stopping after any other failure", func() {
			So(other.recordHandover(other.hubPeer(), errors.New("connection refused")), ShouldBeFalse)
			So(other.hubPeer().Name(), ShouldEqual, hub.settings.Name)
		})
	})
}
