// Package mgfleet_test runs the built binary as separate processes on loopback
// and injects failures at fixed points of a scripted load: kills, pauses, cut
// and silent links, platform faults and edits of the table. What callers
// received is compared with what the stand-ins generated and ran.
//
// Each wait is for a condition, with a deadline that is reached only if
// something hangs, so that a result doesn't depend on the machine's speed.
package mgfleet_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/soak/mgproc"
	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgstandin"
)

// A fleet is a deployment of separate processes on loopback: two entries, three
// agents, their three upstreams and the platform. Connections that a test may
// cut pass through relays.
type fleet struct {
	t           *testing.T
	binary      string
	dir         string
	processes   map[string]*process
	admins      map[string]string // admin addresses of entries and agents
	standins    map[string]string // base URLs of the stand-ins
	relays      map[string]*mgproc.Link
	entries     []string          // base URLs for callers
	struckAgent string            // the agent into which intoBusyAgent last injected a failure
	peers       map[string]string // addresses for other processes, of entries and agents
	callers     map[string]string // addresses for callers, of entries
	extra       map[string]string // further settings of entries and agents, by name
}

// upstreams maps each upstream to its agent.
var upstreams = map[string]string{
	"engine-a": "agent-a",
	"engine-b": "agent-b",
	"books":    "agent-c",
}

// newFleet starts a fleet and returns it once each process is ready.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	return newFleetWith(t, nil)
}

// newFleetWith starts a fleet with further settings of some processes.
func newFleetWith(t *testing.T, extra map[string]string) *fleet {
	t.Helper()
	f := &fleet{
		extra:     extra,
		peers:     map[string]string{},
		callers:   map[string]string{},
		t:         t,
		binary:    buildBinary(t),
		dir:       t.TempDir(),
		processes: map[string]*process{},
		admins:    map[string]string{},
		standins:  map[string]string{},
		relays:    map[string]*mgproc.Link{},
	}
	f.startStandins()
	var vms []mgplatform.VM
	for i, upstream := range []string{"engine-a", "engine-b", "books"} {
		vms = append(vms, f.startAgent(upstream, string(rune('a'+i))))
	}
	for i, name := range []string{"entry-a", "entry-b"} {
		vms = append(vms, f.startEntry(name, string(rune('a'+i))))
	}
	list, err := json.Marshal(mgplatform.VMList{
		Version: 1,
		VMs:     vms,
	})
	if err != nil {
		t.Fatal(err)
	}
	post(t, f.standins["platform"]+"/standin/put?key=vms", string(list))
	f.publish(1, 4)
	f.awaitReady()
	return f
}

// writeSettings writes a settings file and returns its path.
func (f *fleet) writeSettings(name, format string, args ...any) string {
	path := filepath.Join(f.dir, name+".toml")
	if err := os.WriteFile(path, fmt.Appendf(nil, format, args...), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// addRelay starts a relay to target and returns the relay's address.
func (f *fleet) addRelay(name, target string) string {
	r, err := mgproc.NewLink(target)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(r.Close)
	f.relays[name] = r
	return r.Addr()
}

func (f *fleet) startStandins() {
	addrs := freePorts(f.t, 4)
	for i, name := range []string{"engine-a", "engine-b", "books", "platform"} {
		kind, extra := "engine", "lag = 200\nlate = 100\n[model]\nspeed = 2\n"
		switch name {
		case "books":
			kind, extra = "service", "name = \"books\"\ndelay = 5\n"
		case "platform":
			kind, extra = "platform", "lag = 200\n"
		}
		file := f.writeSettings(name, "listen = %q\n%s", addrs[i], extra)
		f.processes[name] = startProcess(f.t, f.binary, name, "standin", kind, "--settings", file)
		f.standins[name] = "http://" + addrs[i]
	}
	for name, base := range f.standins {
		waitFor(f.t, name+" serves", func() bool {
			status, _ := fetch(base + "/standin/counts")
			return status == http.StatusOK
		})
	}
	f.addRelay("platform", strings.TrimPrefix(f.standins["platform"], "http://"))
}

// commonSettings returns the settings that entries and agents share.
func (f *fleet) commonSettings(name, zone, peer, admin string) string {
	return fmt.Sprintf("name = %q\nzone = %q\nregion = \"south\"\npeer = %q\nadmin = %q\nplatform = %q\nsecret = \"sample-secret-of-a-test\"\nspread = 0\n",
		name, zone, peer, admin, "http://"+f.relays["platform"].Addr())
}

func (f *fleet) startAgent(upstream, zone string) mgplatform.VM {
	name := upstreams[upstream]
	addrs := freePorts(f.t, 2)
	address := "http://" + f.addRelay(upstream, strings.TrimPrefix(f.standins[upstream], "http://"))
	file := f.writeSettings(name, "%supstream = %q\naddress = %q\n%s", f.commonSettings(name, zone, addrs[0], addrs[1]), upstream, address, f.extra[name])
	f.processes[name] = startProcess(f.t, f.binary, name, "agent", "--settings", file)
	f.admins[name] = addrs[1]
	f.peers[name] = addrs[0]
	vm := mgplatform.VM{
		Name:            name,
		Kind:            mgplatform.AgentKind,
		Addr:            f.addRelay(name, addrs[0]),
		Zone:            zone,
		Region:          "south",
		Upstream:        upstream,
		State:           mgplatform.Live,
		SoftwareVersion: "v1",
	}
	if upstream == "books" {
		vm.Services = []string{"ticket"}
	} else {
		vm.Models = []string{"tank"}
	}
	return vm
}

func (f *fleet) startEntry(name, zone string) mgplatform.VM {
	addrs := freePorts(f.t, 3)
	file := f.writeSettings(name, "%slisten = %q\n%s", f.commonSettings(name, zone, addrs[0], addrs[1]), addrs[2], f.extra[name])
	f.processes[name] = startProcess(f.t, f.binary, name, "entry", "--settings", file)
	f.admins[name] = addrs[1]
	f.peers[name] = addrs[0]
	f.callers[name] = addrs[2]
	f.entries = append(f.entries, "http://"+f.addRelay(name, addrs[2]))
	return mgplatform.VM{
		Name:   name,
		Kind:   mgplatform.EntryKind,
		Addr:   addrs[2],
		Peer:   addrs[0],
		Zone:   zone,
		Region: "south",
		State:  mgplatform.Live,
	}
}

// table returns a version of the operators' table, with the weight of its
// account.
func table(version, weight int) string {
	return fmt.Sprintf(`version = %d

[[model]]
name = "tank"
context = 131072
max = 32768

[[service]]
name = "report"
model = "tank"
prefer = "whole"
priority = 5
deadline = 20000
max = 32768

[[service]]
name = "ticket"
kind = "plain"
priority = 8
deadline = 5000
repeat = "never"

[[upstream]]
name = "engine-a"
models = ["tank"]
memory = 40000
batch = 64
orders = "ignored"

[[upstream]]
name = "engine-b"
models = ["tank"]
memory = 40000
batch = 64
orders = "ignored"

[[upstream]]
name = "books"
kind = "service"
services = ["ticket"]
batch = 16

[[account]]
name = "tankline"
keys = ["be122e6c14afd1b20ab94a1a98ba052768381cb09e24a0d1cde7014300fb2ab0"]
weight = %d
`, version, weight)
}

// publish publishes a version of the table.
func (f *fleet) publish(version, weight int) {
	f.t.Helper()
	post(f.t, f.standins["platform"]+"/standin/table", table(version, weight))
}

// ready reports whether an entry or agent accepts new work.
func (f *fleet) ready(name string) bool {
	status, _ := fetch("http://" + f.admins[name] + "/ready")
	return status == http.StatusOK
}

func (f *fleet) awaitReady() {
	f.t.Helper()
	for name := range f.admins {
		waitFor(f.t, name+" is ready", func() bool { return f.ready(name) })
	}
}

// busy reports whether an entry or agent has work in progress.
func (f *fleet) busy(name string) bool {
	var state map[string]struct {
		Busy int `json:"busy"`
	}
	_, body := fetch("http://" + f.admins[name] + "/dump")
	if err := json.Unmarshal([]byte(body), &state); err != nil {
		f.t.Logf("dump of %s: %v", name, err)
	}
	kind, _, _ := strings.Cut(name, "-")
	return state[kind].Busy > 0
}

// setFault sets a stand-in's fault.
func (f *fleet) setFault(standin string, fault mgstandin.Fault) {
	f.t.Helper()
	body, err := json.Marshal(fault)
	if err != nil {
		f.t.Fatal(err)
	}
	post(f.t, f.standins[standin]+"/standin/fault", string(body))
}

// readCounts reads a stand-in's counters.
func (f *fleet) readCounts(standin string, counts any) {
	f.t.Helper()
	_, body := fetch(f.standins[standin] + "/standin/counts")
	if err := json.Unmarshal([]byte(body), counts); err != nil {
		f.t.Fatalf("counts of %s: %v", standin, err)
	}
}
