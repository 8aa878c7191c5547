package mgnode

import (
	"context"
	"io"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglistener"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgsettings"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Guards against a process that has stopped and still opens a connection to another one that stops.
func TestConnectionAttemptOutlivesNode(t *testing.T) {
	Convey("A node that stops while a peer ignores its connection request", t, func() {
		peer, err := mglistener.Listen("127.0.0.1:0", nil)
		So(err, ShouldBeNil)
		defer peer.Close()
		So(peer.Shutdown(mgclock.Minute), ShouldBeNil)
		n, err := New(Spec{
			Settings: mgsettings.Process{
				Name: "entry-1",
			},
			Log:     io.Discard,
			Unkeyed: true,
		})
		So(err, ShouldBeNil)
		running := goleak.IgnoreCurrent()
		ctx, cancel := context.WithTimeout(context.Background(), (100 * mgclock.Millis(1)).Duration())
		defer cancel()
		_, err = n.longPollList(ctx, peer.Addr().String(), 0, maxLongPoll)
		So(err, ShouldNotBeNil)
		So(ctx.Err(), ShouldNotBeNil)
		n.Wait()
		Convey("leaves no goroutine behind", func() {
			So(goleak.Find(running), ShouldBeNil)
		})
	})
}
