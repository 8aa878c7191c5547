package mgsoak

import (
	"io"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/soak/mgproc"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclient"
)

// An answer is cut by a planned stop only where its process had taken the request.
func TestRefusedConnectionIsNoCut(t *testing.T) {
	Convey("A report beside a planned stop", t, func() {
		ended, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		gone := ended.Addr().String()
		So(ended.Close(), ShouldBeNil)
		cuts, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer cuts.Close()
		go func() {
			for {
				conn, err := cuts.Accept()
				if err != nil {
					return
				}
				_, _ = io.ReadAtLeast(conn, make([]byte, 1), 1)
				_ = conn.Close()
			}
		}()
		// found returns the findings of a report that is sent to an entry at an address.
		found := func(target string) []Finding {
			link, err := mgproc.NewLink(target)
			So(err, ShouldBeNil)
			defer link.Close()
			client := mgclient.New(mgclient.Spec{
				Bases: []string{"http://" + link.Addr()},
				Key:   "key",
				Tries: 1,
			})
			from := ""
			_, err = client.Complete(tracing(&from), mgclient.Request{Model: "report"}, func(mgclient.Token) error { return nil })
			So(err, ShouldNotBeNil)
			r := &run{
				d: &deployment{
					links: map[string]*mgproc.Link{"entry-1": link},
				},
				spans: []span{{
					fault: Fault{
						Kind:   StopProcess,
						Target: "entry-1",
					},
					end: 100,
				}},
			}
			r.evidence.reports = []report{{
				prompt: "report",
				err:    err,
				from:   from,
			}}
			return r.causeless()
		}
		Convey("whose process was gone was not sent", func() {
			So(found(gone), ShouldBeEmpty)
		})
		Convey("that its process cut is a finding", func() {
			So(len(found(cuts.Addr().String())), ShouldEqual, 1)
		})
	})
}
