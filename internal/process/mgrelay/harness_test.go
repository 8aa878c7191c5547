package mgrelay_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglistener"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgmetric"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgrelay"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgload"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgorigin"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgretry"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgdial"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

const tableText = `version = 7

[[service]]
name = "ledger"
kind = "plain"
move = "yes"

[[route]]
name = "book"
host = "tanks.example"
prefix = "/book/"
kind = "never"
services = ["ledger"]
attempts = 2
timeout = 5000

[[route]]
name = "look"
host = "tanks.example"
prefix = "/look/"
kind = "safe"
services = ["ledger"]
attempts = 2
timeout = 5000

[[route]]
name = "once"
host = "tanks.example"
prefix = "/once/"
kind = "never"
services = ["ledger"]
timeout = 5000

[[route]]
name = "write"
host = "tanks.example"
prefix = "/write/"
kind = "stream"
services = ["ledger"]
timeout = 5000

[[route]]
name = "note"
host = "tanks.example"
prefix = "/note/"
kind = "stream"
resume = "yes"
services = ["ledger"]
attempts = 2
timeout = 5000

[[account]]
name = "tankline"

[[account]]
name = "cooperativa"
`

// receivedRequest is a request as an upstream received it.
type receivedRequest struct {
	upstream string
	method   string
	target   string
	body     string
	header   http.Header
}

// harness is a relay in front of upstreams on loopback, each with its own handler.
type harness struct {
	t        *testing.T
	table    *mgtable.Table
	addr     string
	mu       sync.Mutex
	received []receivedRequest
	hosts    []mgrelay.Host
	versions map[string]string    // software versions of the upstreams
	account  string               // the callers' client account
	origins  *mgorigin.Replicator // of all relays of the harness
}

// upstreamHandler answers one request at an upstream.
type upstreamHandler func(w http.ResponseWriter, r *http.Request)

// firstUpstream is the name of the upstream that is tried first.
const firstUpstream = "a"

// newHarness starts a relay in front of upstreams named a, b and so on, in the order
// in which they are tried.
func newHarness(t *testing.T, handlers ...upstreamHandler) *harness {
	t.Helper()
	table, err := mgtable.Parse([]byte(tableText))
	if err != nil {
		t.Fatal(err)
	}
	g := &harness{
		t:        t,
		table:    table,
		account:  "tankline",
		versions: map[string]string{},
		origins:  mgorigin.NewReplicator(mgorigin.ReplicatorSpec{}),
	}
	for i, answer := range handlers {
		g.addUpstream(t, string(firstUpstream[0]+byte(i)), answer)
	}
	g.startRelay(func(*mgrelay.Spec) {})
	return g
}

// increasingLoad reports each upstream as more loaded than the one before it.
func (g *harness) increasingLoad() mgload.Report {
	rows := map[string]mgload.Load{}
	for i, host := range g.currentHosts() {
		rows[host.Name] = mgload.Load{Runs: i}
	}
	return mgload.Report{Loads: rows}
}

// configureModel uses a table whose service has a model. The memory of its upstreams
// is then known, so generations wait for placements.
func (g *harness) configureModel(text string) {
	text = strings.Replace(text, `kind = "plain"`, "model = \"m\"", 1)
	text += "\n[[model]]\nname = \"m\"\ncontext = 9000\nmax = 9000\n"
	g.parseTable(text)
}

// parseTable uses another table.
func (g *harness) parseTable(text string) {
	table, err := mgtable.Parse([]byte(text))
	if err != nil {
		g.t.Fatal(err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table = table
}

// currentHosts returns the upstreams.
func (g *harness) currentHosts() []mgrelay.Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hosts
}

// versionOf returns the software version of an upstream.
func (g *harness) versionOf(name string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.versions[name]
}

// setHosts changes the upstreams while the relay runs.
func (g *harness) setHosts(hosts []mgrelay.Host) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hosts = hosts
}

// setAccount changes the callers' client account while the relay runs.
func (g *harness) setAccount(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account = name
}

// startRelay starts the relay with some of its spec changed, in place of an earlier
// one, which runs on until the test ends.
func (g *harness) startRelay(change func(*mgrelay.Spec)) {
	spec := mgrelay.Spec{
		Headers:        mgrelay.DefaultHeaderNames(),
		Log:            logr.Discard(),
		Metrics:        mgmetric.New(),
		Budgets:        &mgretry.Budgets{},
		Client:         mgdial.NewClientWith(mgdial.DialInRegion(time.Minute)),
		Upstreams:      func(string) []mgrelay.Host { return g.currentHosts() },
		Load:           &mgload.Tracker{},
		Origins:        g.origins,
		OtherLoads:     g.increasingLoad,
		ReportFailed:   func(string) {},
		ReportAnswered: func(string) {},
	}
	change(&spec)
	relay := mgrelay.New(spec)
	ctx, cancel := context.WithCancel(context.Background())
	g.t.Cleanup(cancel)
	go relay.Run(ctx)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		path, _, _ := strings.Cut(r.RequestURI, "?")
		g.mu.Lock()
		call := mgrelay.Call{
			Table:   g.table,
			Route:   g.table.Route("tanks.example", path),
			Account: g.table.Account(g.account),
		}
		g.mu.Unlock()
		relay.Serve(w, r, call)
	}))
	server.Config.ConnContext = mglistener.ConnContext
	server.Start()
	g.t.Cleanup(server.Close)
	g.addr = server.Listener.Addr().String()
}

func (g *harness) addUpstream(t *testing.T, name string, answer upstreamHandler) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		g.mu.Lock()
		g.received = append(g.received, receivedRequest{
			upstream: name,
			method:   r.Method,
			target:   r.RequestURI,
			body:     string(body),
			header:   r.Header.Clone(),
		})
		g.mu.Unlock()
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Signature", "signed by "+name)
		w.Header().Set("Software", g.versionOf(name))
		answer(w, r)
	}))
	t.Cleanup(server.Close)
	g.versions[name] = "v1"
	g.hosts = append(g.hosts, mgrelay.Host{
		Name:            name,
		Addr:            server.Listener.Addr().String(),
		SoftwareVersion: "v1",
	})
}

// requests returns what the upstreams received.
func (g *harness) requests() []receivedRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]receivedRequest(nil), g.received...)
}

// callerReply is what a caller received; cut reports whether it broke off.
type callerReply struct {
	status int
	header http.Header
	body   string
	cut    bool
}

// send sends a request and reads the answer to its end.
func (g *harness) send(ctx context.Context, method, target, body string, header http.Header) callerReply {
	conn, err := net.Dial("tcp", g.addr)
	if err != nil {
		return callerReply{cut: true}
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	request, _ := http.NewRequest(method, "http://tanks.example/", strings.NewReader(body))
	request.URL.Opaque = target
	request.Header = http.Header{
		"Request-Id":    {"request-1"},
		"Authorization": {"Bearer sample-tankline"},
		"User-Agent":    {""}, // sends none
	}
	for name, values := range header {
		request.Header[name] = values
	}
	if request.Write(conn) != nil {
		return callerReply{cut: true}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return callerReply{cut: true}
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	return callerReply{
		status: response.StatusCode,
		header: response.Header,
		body:   string(got),
		cut:    err != nil,
	}
}

// answerWith returns a handler that answers with a text.
func answerWith(text string) upstreamHandler {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }
}

// refuseWith returns a handler that states that the request did not run.
func refuseWith(status int) upstreamHandler {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Refused", "1")
		w.WriteHeader(status)
	}
}

// failInternally answers with a failure of the upstream's own.
func failInternally(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusInternalServerError)
}

// hangUp closes the connection without an answer.
func hangUp(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// rawBytes returns a handler that writes bytes to the connection and closes it.
func rawBytes(text string) upstreamHandler {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, text)
		_ = conn.Close()
	}
}
