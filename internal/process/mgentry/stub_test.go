package mgentry_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"

	"github.com/go-chi/chi/v5"
	"github.com/go-logr/logr"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglink"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgentry"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgmetric"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgsettings"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgseal"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// entrySpec returns the common spec of all tests' entries; each test adds its
// network.
func entrySpec(parsed *mgtable.Table, members *mgmember.Members) mgentry.Spec {
	return mgentry.Spec{
		Settings: mgsettings.Entry{
			Process: mgsettings.Process{
				Zone:              "a",
				Region:            "south",
				HeartbeatInterval: int64(beat),
			},
			MaxBody:       1 << 20,
			ProbeTimeout:  5000,
			CallerTimeout: 5000,
			CallTimeout:   10000,
		},
		Log:                logr.Discard(),
		Metrics:            mgmetric.New(),
		Signer:             &mgseal.Signer{},
		Table:              func() *mgtable.Table { return parsed },
		ObserveVersion:     func(uint64, string) {},
		View:               members.View,
		ReportFailed:       func(string) {},
		ReportAnnouncement: func(string, string, bool) {},
		BaseURL:            func(address string) string { return "http://" + address },
	}
}

// tanklineRequest returns a request from the account tankline.
func tanklineRequest(method, path, body string) *http.Request {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer sample-tankline")
	return request
}

// acceptingAgent accepts every start.
type acceptingAgent struct {
	mgrpc.Agent
	name           string // in its offers
	firstTokenWait int64  // until the first token, in its offers, ms
	cancelOutcome  string
}

func (a acceptingAgent) Probe(context.Context, *mgrpc.ProbeRequest) (*mgrpc.Offer, error) {
	return &mgrpc.Offer{
		Agent: a.name,
		Wait:  a.firstTokenWait,
	}, nil
}

func (acceptingAgent) Start(_ context.Context, in *mgrpc.StartRequest) (*mgrpc.StartReply, error) {
	return &mgrpc.StartReply{Generation: in.GetAttempt()}, nil
}

func (a acceptingAgent) Cancel(context.Context, *mgrpc.CancelRequest) (*mgrpc.CancelReply, error) {
	return &mgrpc.CancelReply{Outcome: a.cancelOutcome}, nil
}

// agentHandler serves an agent that answers each request for frames with one frame.
func agentHandler(agent mgrpc.Agent, frame *mgrpc.Frame) http.Handler {
	router := chi.NewRouter()
	router.Mount(mgrpc.AgentPathPrefix, mgrpc.NewAgentServer(agent))
	router.Get("/frames/{generation}", func(w http.ResponseWriter, r *http.Request) {
		frame.Generation = chi.URLParam(r, "generation")
		_ = mglink.WriteFrame(w, frame)
	})
	return router
}

var errReset = errors.New("connection reset")

// hostTransport dispatches requests to handlers by host.
type hostTransport map[string]http.Handler

// RoundTrip serves a request in the calling goroutine, without the context of the
// entry's own router.
func (h hostTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	h[r.URL.Host].ServeHTTP(recorder, r.WithContext(context.Background()))
	return recorder.Result(), nil
}

// silentTransport is a hostTransport with one host that answers only probes.
type silentTransport struct {
	hostTransport
	host string
}

// RoundTrip fails a request to the silent host unless it is a probe.
func (s silentTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Host == s.host && !strings.HasSuffix(r.URL.Path, "Probe") {
		return nil, errReset
	}
	return s.hostTransport.RoundTrip(r)
}

// newEntry returns an entry that reaches agent-1 and agent-2, each with an engine,
// over the given network.
func newEntry(network http.RoundTripper) *mgentry.Entry {
	return newEntryWithTable(table, "", network)
}

// newEntryWithTable returns an entry with the given table. Its agents run the given
// plain service or, if that is empty, have engines.
func newEntryWithTable(text, service string, network http.RoundTripper) *mgentry.Entry {
	parsed, err := mgtable.Parse([]byte(text))
	if err != nil {
		panic(err)
	}
	vms := []mgplatform.VM{agentVM("agent-1", "engine-1"), agentVM("agent-2", "engine-2")}
	for i := range vms {
		if service != "" {
			vms[i].Models = nil
			vms[i].Services = []string{service}
		}
	}
	members := mgmember.New("entry")
	members.AdoptList(0, mgplatform.VMList{
		Version: 1,
		VMs:     vms,
	})
	spec := entrySpec(parsed, members)
	spec.Calls = network
	spec.Frames = network
	return mgentry.New(spec, "epoch")
}

func agentVM(name, upstream string) mgplatform.VM {
	return mgplatform.VM{
		Name:     name,
		Kind:     mgplatform.AgentKind,
		Addr:     name,
		Zone:     "a",
		Region:   "south",
		Upstream: upstream,
		Models:   []string{"tank-70b"},
		State:    mgplatform.Live,
	}
}
