package mgentry_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglistener"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgentry"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// hangingTransport answers no request; it returns when the request's context
// ends.
type hangingTransport struct {
	called func()
}

// RoundTrip waits for the request's context to end.
func (h hangingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	h.called()
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// Callers that hang up make healthy agents suspect, and other requests are then
// refused: the entry mistakes a call that ends because its caller disconnected
// for an agent that doesn't answer.
func TestHangUpMakesAgentsSuspect(t *testing.T) {
	Convey("A caller that hangs up makes no agent suspect", t, func() {
		parsed, err := mgtable.Parse([]byte(table))
		So(err, ShouldBeNil)
		members := mgmember.New("entry")
		members.AdoptList(0, mgplatform.VMList{
			Version: 1,
			VMs:     []mgplatform.VM{agentVM("agent-1", "engine-1"), agentVM("agent-2", "engine-2")},
		})
		var failed atomic.Int64
		ctx, hangUp := context.WithCancel(context.Background())
		spec := entrySpec(parsed, members)
		spec.ReportFailed = func(string) { failed.Add(1) }
		spec.Calls = hangingTransport{called: hangUp}
		request := tanklineRequest(http.MethodPost, "/v1/chat/completions", `{"model":"report","messages":[{"role":"user","content":"len=1"}]}`)
		mgentry.New(spec, "epoch").Handler().ServeHTTP(httptest.NewRecorder(), request.WithContext(ctx))
		So(failed.Load(), ShouldEqual, 0)
	})
}

// Guards against work for a caller that gave up while its request lay unread.
func TestUnreadRequestBegunAfterCallerLeft(t *testing.T) {
	Convey("A request whose caller has left is dropped", t, func() {
		parsed, err := mgtable.Parse([]byte(table))
		So(err, ShouldBeNil)
		members := mgmember.New("entry")
		members.AdoptList(0, mgplatform.VMList{
			Version: 1,
			VMs:     []mgplatform.VM{agentVM("agent-1", "engine-1")},
		})
		called := false
		spec := entrySpec(parsed, members)
		spec.Calls = hangingTransport{called: func() { called = true }}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer listener.Close()
		caller, err := net.Dial("tcp", listener.Addr().String())
		So(err, ShouldBeNil)
		conn, err := listener.Accept()
		So(err, ShouldBeNil)
		defer conn.Close()
		So(caller.Close(), ShouldBeNil)
		_, err = conn.Read(make([]byte, 1))
		So(err, ShouldEqual, io.EOF)
		request := tanklineRequest(http.MethodPost, "/v1/chat/completions", `{"model":"report","messages":[{"role":"user","content":"len=1"}]}`)
		request = request.WithContext(mglistener.ConnContext(request.Context(), conn))
		handler := mgentry.New(spec, "epoch").Handler()
		So(func() { handler.ServeHTTP(httptest.NewRecorder(), request) }, ShouldPanicWith, http.ErrAbortHandler)
		So(called, ShouldBeFalse)
	})
}
