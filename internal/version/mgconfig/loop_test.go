package mgconfig

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

func TestLoop(t *testing.T) {
	defer goleak.VerifyNone(t)
	Convey("A loop whose list names no other process gets the table from the platform", t, func() {
		table, err := mgtable.Parse(tableText(5, 0))
		So(err, ShouldBeNil)
		m, pages, err := table.Pages(1 << 20)
		So(err, ShouldBeNil)
		values := map[string][]byte{
			mgplatform.ManifestKey: m.Bytes(),
			mgplatform.ListKey:     []byte(`{"version":1,"vms":[{"name":"a","addr":"x","zone":"z"}]}`),
		}
		for i, page := range pages {
			values[mgplatform.PageKey(m.Pages[i])] = page
		}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Query().Has("after") {
				w.WriteHeader(http.StatusNotModified)
				return
			}
			w.Header().Set("Version", "1")
			_, _ = w.Write(values[strings.TrimPrefix(r.URL.Path, "/v1/values/")])
		}))
		defer server.Close()
		defer server.Client().CloseIdleConnections()

		adopted := make(chan uint64, 1)
		loop := NewLoop(LoopSpec{
			Machine: MachineSpec{
				Name: "a",
				Zone: "z",
			},
			Members:  mgmember.New("a"),
			Platform: mgplatform.NewHTTP(server.URL, server.Client()),
			Log:      logr.Discard(),
			OnAdopt:  func(s *Snapshot) { adopted <- s.Version() },
		})
		_, err = loop.Exchange(context.Background(), loop.machine.summary())
		So(err, ShouldWrap, errStopped)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			loop.Run(ctx)
		}()
		So(loop.Await(ctx, 5), ShouldBeNil)
		So(<-adopted, ShouldEqual, 5)
		So(loop.Ready(), ShouldBeTrue)
		So(loop.Status().Watcher, ShouldBeTrue)
		cancel()
		<-done
		So(loop.Await(ctx, 6), ShouldWrap, context.Canceled)
	})
}
