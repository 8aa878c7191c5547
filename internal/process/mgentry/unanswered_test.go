package mgentry_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/go-chi/chi/v5"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// silentStart makes one offer. Its connection breaks on the start and the cancel,
// so nobody can tell whether the start arrived.
type silentStart struct {
	mgrpc.Agent
	asked atomic.Int32
}

func (s *silentStart) Probe(context.Context, *mgrpc.ProbeRequest) (*mgrpc.Offer, error) {
	offer := &mgrpc.Offer{
		Agent: "agent-1",
		Wait:  1,
	}
	if s.asked.Add(1) > 1 {
		offer.Refused = "crowded"
	}
	return offer, nil
}

// The first agent doesn't answer the start, and the second accepts the request but
// later attests "not run". If the caller is told "not run", it sends the request
// again although the first attempt may be running.
func TestUnansweredStartReportedNotRun(t *testing.T) {
	Convey("A refusal after an unanswered start has an unknown outcome", t, func() {
		entry := newEntry(silentTransport{
			host: "agent-1",
			hostTransport: hostTransport{
				"agent-1": mgrpc.NewAgentServer(&silentStart{}),
				"agent-2": agentHandler(acceptingAgent{
					name:           "agent-2",
					firstTokenWait: 900,
					cancelOutcome:  "notrun",
				}, &mgrpc.Frame{
					Fault:   "crowded",
					Outcome: "notrun",
					Remedy:  "try another upstream",
					Retry:   1000,
				}),
			},
		})
		request := tanklineRequest(http.MethodPost, "/v1/chat/completions", `{"model":"report","messages":[{"role":"user","content":"len=5"}]}`)
		recorder := httptest.NewRecorder()
		entry.Handler().ServeHTTP(recorder, request)
		body, err := io.ReadAll(recorder.Body)
		So(err, ShouldBeNil)
		So(string(body), ShouldContainSubstring, `"outcome":"unknown"`)
	})
}

// Guards against "not run", attested by one agent, for a request that a second agent then lost.
func TestLostRestartReportedNotRun(t *testing.T) {
	Convey("A request that was lost after a restart has an unknown outcome", t, func() {
		accepting := acceptingAgent{
			firstTokenWait: 900,
			cancelOutcome:  "unknown",
		}
		lost := chi.NewRouter()
		lost.Mount(mgrpc.AgentPathPrefix, mgrpc.NewAgentServer(accepting))
		lost.Get("/frames/{generation}", func(w http.ResponseWriter, _ *http.Request) {
			mgproblem.Write(w, mgproblem.New(mgproblem.NotFound, mgproblem.Unknown, "no such generation", "start it again"))
		})
		entry := newEntry(hostTransport{
			"agent-1": agentHandler(acceptingAgent{
				firstTokenWait: 1,
				cancelOutcome:  "unknown",
			}, &mgrpc.Frame{
				Fault:   "crowded",
				Outcome: "notrun",
			}),
			"agent-2": lost,
		})
		request := tanklineRequest(http.MethodPost, "/v1/chat/completions", `{"model":"report","messages":[{"role":"user","content":"len=5"}]}`)
		recorder := httptest.NewRecorder()
		entry.Handler().ServeHTTP(recorder, request)
		So(recorder.Code, ShouldNotEqual, http.StatusOK)
		So(recorder.Body.String(), ShouldContainSubstring, `"outcome":"unknown"`)
	})
}
