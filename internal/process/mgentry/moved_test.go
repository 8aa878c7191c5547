package mgentry_test

import (
	"bufio"
	"context"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"testing"

	"github.com/go-chi/chi/v5"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglink"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
)

// taker takes every start; its offers differ in their wait.
type taker struct {
	mgrpc.Agent
	wait int64
}

func (a taker) Probe(context.Context, *mgrpc.ProbeRequest) (*mgrpc.Offer, error) {
	return &mgrpc.Offer{Wait: a.wait}, nil
}

func (taker) Start(_ context.Context, in *mgrpc.StartRequest) (*mgrpc.StartReply, error) {
	return &mgrpc.StartReply{Generation: in.GetAttempt()}, nil
}

func (taker) Cancel(context.Context, *mgrpc.CancelRequest) (*mgrpc.CancelReply, error) {
	return &mgrpc.CancelReply{Outcome: "unknown"}, nil
}

// host is an agent that answers each read of frames with one frame.
func host(agent mgrpc.Agent, frame *mgrpc.Frame) http.Handler {
	router := chi.NewRouter()
	router.Mount(mgrpc.AgentPathPrefix, mgrpc.NewAgentServer(agent))
	router.Get("/frames/{generation}", func(w http.ResponseWriter, r *http.Request) {
		frame.Generation = chi.URLParam(r, "generation")
		_ = mglink.WriteFrame(w, frame)
	})
	return router
}

// A lookup's engine dies before the first token, and the entry starts over
// elsewhere. The caller had been told the first generation's name ahead, held
// the second one's tokens for a stranger's, and resumed the dead one: lost.
func TestMoved(t *testing.T) {
	Convey("The last name told ahead is that of the tokens that come", t, func() {
		entry := entryOver(hosts{
			"agent-1": host(taker{wait: 1}, &mgrpc.Frame{
				Fault:   "interrupted",
				Outcome: "unknown",
			}),
			"agent-2": host(taker{wait: 900}, &mgrpc.Frame{
				Seq:   1,
				Text:  []string{"tide "},
				End:   "stop",
				Total: 1,
			}),
		})
		server := httptest.NewServer(entry.Routes())
		defer server.Close()
		var told []string
		ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
			Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
				told = append(told, header.Get("Answer"))
				return nil
			},
		})
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/v1/chat/completions",
			strings.NewReader(`{"model":"report","stream":true,"messages":[{"role":"user","content":"len=1"}]}`))
		So(err, ShouldBeNil)
		request.Header.Set("Authorization", "Bearer sample-tankline")
		response, err := http.DefaultClient.Do(request)
		So(err, ShouldBeNil)
		defer response.Body.Close()
		line, err := bufio.NewReader(response.Body).ReadString('\n')
		So(err, ShouldBeNil)
		So(len(told), ShouldEqual, 2)
		So(line, ShouldEqual, "id: "+told[1]+".1\n")
	})
}
