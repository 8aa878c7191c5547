package mgentry_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgentry"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgmember"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgmetric"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgsettings"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgseal"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

var errReset = errors.New("connection reset")

// silentStart makes one offer, and its connection breaks on the start and the
// cancel: whether the start arrived can't be told.
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

// givesUp takes a start and then gives it up without having run it.
type givesUp struct {
	mgrpc.Agent
}

func (givesUp) Probe(context.Context, *mgrpc.ProbeRequest) (*mgrpc.Offer, error) {
	return &mgrpc.Offer{
		Agent: "agent-2",
		Wait:  900,
	}, nil
}

func (givesUp) Start(_ context.Context, in *mgrpc.StartRequest) (*mgrpc.StartReply, error) {
	return &mgrpc.StartReply{Generation: in.GetAttempt()}, nil
}

func (givesUp) Cancel(context.Context, *mgrpc.CancelRequest) (*mgrpc.CancelReply, error) {
	return &mgrpc.CancelReply{Outcome: "notrun"}, nil
}

// hosts answers requests by their host.
type hosts map[string]http.Handler

// RoundTrip serves a request in this goroutine, without the context of the
// entry's own router.
func (h hosts) RoundTrip(r *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	h[r.URL.Host].ServeHTTP(recorder, r.WithContext(context.Background()))
	return recorder.Result(), nil
}

// silent is hosts of which one answers nothing but probes.
type silent struct {
	hosts
	host string
}

// RoundTrip breaks the connection of a request to the silent host.
func (s silent) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Host == s.host && !strings.HasSuffix(r.URL.Path, "Probe") {
		return nil, errReset
	}
	return s.hosts.RoundTrip(r)
}

// entryOver returns an entry that reaches agent-1 and agent-2, beside two
// engines, by network.
func entryOver(network http.RoundTripper) *mgentry.Entry {
	return entryBy(table, "", network)
}

// entryBy returns an entry with a table whose agents run a plain service, or
// have engines when it is empty.
func entryBy(text, service string, network http.RoundTripper) *mgentry.Entry {
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
	members.List(0, mgplatform.List{
		Version: 1,
		VMs:     vms,
	})
	return mgentry.New(mgentry.Spec{
		Settings: mgsettings.Entry{
			Process: mgsettings.Process{
				Zone:   "a",
				Region: "south",
				Beat:   250,
			},
			Body:  1 << 20,
			Probe: 5000,
			Slow:  5000,
			Call:  10000,
		},
		Log:     logr.Discard(),
		Metrics: mgmetric.New(),
		Seal:    &mgseal.Signer{},
		Table:   func() *mgtable.Table { return parsed },
		Seen:    func(uint64, string) {},
		View:    members.View,
		Failed:  func(string) {},
		Heard:   func(string, string, bool) {},
		Calls:   network,
		Frames:  network,
		Base:    func(address string) string { return "http://" + address },
	}, "epoch")
}

// A gauger is told "not run" and sends the report again, while the first one
// runs. The start at the first agent got no answer, the second agent took the
// request and later attested that it had not run there. One attempt's "not run"
// says nothing of the one before it.
func TestDoubt(t *testing.T) {
	Convey("A refusal after a start without an answer is unknown", t, func() {
		entry := entryOver(silent{
			host: "agent-1",
			hosts: hosts{
				"agent-1": mgrpc.NewAgentServer(&silentStart{}),
				"agent-2": host(givesUp{}, &mgrpc.Frame{
					Fault:   "crowded",
					Outcome: "notrun",
					Remedy:  "try another upstream",
					Retry:   1000,
				}),
			},
		})
		request := httptest.NewRequest(http.MethodPost, "/v1/chat/completions",
			strings.NewReader(`{"model":"report","messages":[{"role":"user","content":"len=5"}]}`))
		request.Header.Set("Authorization", "Bearer sample-tankline")
		recorder := httptest.NewRecorder()
		entry.Routes().ServeHTTP(recorder, request)
		body, err := io.ReadAll(recorder.Body)
		So(err, ShouldBeNil)
		So(string(body), ShouldContainSubstring, `"outcome":"unknown"`)
	})
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
