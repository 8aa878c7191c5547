package mgsoak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/soak/mgproc"
	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgstandin"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// deployment holds the processes of a run and the links in front of them.
type deployment struct {
	caution      mgclock.Millis // the entries' setting
	binary       string
	folder       string
	names        processNames
	processes    map[string]*mgproc.Process
	links        map[string]*mgproc.Link
	standins     map[string]string // base URLs
	admins       map[string]string // addresses
	entries      []string          // base URLs for callers, over links
	peers        map[string]string
	streams      []*streamUpstream
	tableVersion int
	listVersion  uint64 // version of the list of VMs
	revoked      bool
	versionMark  string
}

// Timeouts, and the interval at which conditions are polled.
const (
	startTimeout   = 30 * time.Second
	pollInterval   = 20 * time.Millisecond
	requestTimeout = 2 * time.Second
)

// newDeployment starts a deployment and returns when all its processes are ready.
func newDeployment(ctx context.Context, binary, folder string, size Size) (*deployment, error) {
	d := &deployment{
		binary:    binary,
		folder:    folder,
		names:     size.names(),
		caution:   size.caution(),
		processes: map[string]*mgproc.Process{},
		links:     map[string]*mgproc.Link{},
		standins:  map[string]string{},
		admins:    map[string]string{},
		peers:     map[string]string{},
	}
	for _, step := range []func() error{d.startStandins, d.startStreams, d.startSystem, func() error { return d.publishList() }, func() error { return d.publishTable(ctx) }} {
		if err := step(); err != nil {
			d.close()
			return nil, fmt.Errorf("deployment: %w", err)
		}
	}
	for name, admin := range d.admins {
		if !waitUntil(ctx, startTimeout, func() bool { return status(ctx, "http://"+admin+"/ready") == http.StatusOK }) {
			text := d.processes[name].Log()
			d.close()
			return nil, fmt.Errorf("deployment: %s isn't ready after %v: %s", name, startTimeout, text)
		}
	}
	return d, nil
}

// close kills the processes and closes the links.
func (d *deployment) close() {
	for _, p := range d.processes {
		p.Kill()
	}
	for _, l := range d.links {
		l.Close()
	}
}

// start writes a settings file and starts a process with it.
func (d *deployment) start(name, settings string, args ...string) error {
	if err := d.writeSettings(name, settings); err != nil {
		return err
	}
	p, err := mgproc.Start(d.binary, name, append(args, "--settings", d.settingsFile(name))...)
	if err != nil {
		return err
	}
	d.processes[name] = p
	return nil
}

// writeSettings writes the settings that a process reads at its next start.
func (d *deployment) writeSettings(name, settings string) error {
	return os.WriteFile(d.settingsFile(name), []byte(settings), 0o600)
}

func (d *deployment) settingsFile(name string) string { return filepath.Join(d.folder, name+".toml") }

// link creates a link in front of an address and returns the link's address.
func (d *deployment) link(name, target string) (string, error) {
	l, err := mgproc.NewLink(target)
	if err != nil {
		return "", fmt.Errorf("link before %s: %w", name, err)
	}
	d.links[name] = l
	return l.Addr(), nil
}

// dial connects to the address of a link. As without a link, the connection is refused
// if the target process doesn't run.
func (d *deployment) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	for _, l := range d.links {
		if l.Addr() == addr {
			return l.Dial(ctx)
		}
	}
	return nil, fmt.Errorf("deployment: no link has the address %s: use the address of an entry", addr)
}

func (d *deployment) startStandins() error {
	for i, name := range append(append([]string{}, d.names.engines...), service, platform) {
		addrs, err := mgproc.FreeAddrs(1)
		if err != nil {
			return err
		}
		kind, extra := "engine", fmt.Sprintf("software = %q\nlag = 200\nlate = 100\n[model]\nspeed = 3\n", softwareVersion(i))
		switch name {
		case service:
			kind, extra = "service", "name = \"books\"\ndelay = 5\n"
		case platform:
			kind, extra = "platform", "lag = 200\n"
		}
		if err := d.start(name, fmt.Sprintf("listen = %q\n%s", addrs[0], extra), "standin", kind); err != nil {
			return err
		}
		d.standins[name] = "http://" + addrs[0]
		if _, err := d.link(name, addrs[0]); err != nil {
			return err
		}
	}
	for name, base := range d.standins {
		if !waitUntil(context.Background(), startTimeout, func() bool {
			return status(context.Background(), base+"/standin/counts") == http.StatusOK
		}) {
			return fmt.Errorf("%s doesn't answer after %v: %s", name, startTimeout, d.processes[name].Log())
		}
	}
	return nil
}

func (d *deployment) startSystem() error {
	for i, agent := range d.names.agents {
		upstream := strings.TrimPrefix(agent, "agent-")
		extra := fmt.Sprintf("upstream = %q\naddress = %q\n", upstream, "http://"+d.links[upstream].Addr())
		if err := d.startProcess(agent, i, extra, "agent"); err != nil {
			return err
		}
	}
	for i, entry := range d.names.entries {
		addrs, err := mgproc.FreeAddrs(1)
		if err != nil {
			return err
		}
		extra := fmt.Sprintf("listen = %q\nnotice = 300\nrelay = true\ncaution = %d\n", addrs[0], d.caution)
		if err := d.startProcess(entry, i, extra, "entry"); err != nil {
			return err
		}
		addr, err := d.link(entry, addrs[0])
		if err != nil {
			return err
		}
		d.entries = append(d.entries, "http://"+addr)
	}
	return nil
}

func (d *deployment) startProcess(name string, i int, extra, kind string) error {
	addrs, err := mgproc.FreeAddrs(2)
	if err != nil {
		return err
	}
	common := fmt.Sprintf("name = %q\nzone = %q\nregion = \"south\"\npeer = %q\nadmin = %q\nplatform = %q\nsecret = \"sample-secret-of-a-soak\"\nspread = 0\ndrain = 20000\n",
		name, zone(i), addrs[0], addrs[1], "http://"+d.links[platform].Addr())
	d.admins[name] = addrs[1]
	d.peers[name] = addrs[0]
	if kind == "agent" {
		if d.peers[name], err = d.link(name, addrs[0]); err != nil {
			return err
		}
	}
	return d.start(name, common+extra, kind)
}

// softwareVersion returns the version of engine i. Generations can move between engines of one
// version only.
func softwareVersion(i int) string {
	if i%2 == 0 {
		return oldVersion
	}
	return newVersion
}

// zones is the number of availability zones.
const zones = 3

func zone(i int) string { return string(rune('a' + i%zones)) }

// publishList publishes the list of VMs and the cordoned zones.
func (d *deployment) publishList(cordoned ...string) error {
	d.listVersion++
	list := mgplatform.VMList{
		Version:  d.listVersion,
		Cordoned: cordoned,
	}
	for i, agent := range d.names.agents {
		vm := mgplatform.VM{
			Name:            agent,
			Kind:            mgplatform.AgentKind,
			Addr:            d.peers[agent],
			Zone:            zone(i),
			Region:          "south",
			Upstream:        strings.TrimPrefix(agent, "agent-"),
			State:           mgplatform.Live,
			Models:          []string{"tank"},
			SoftwareVersion: softwareVersion(i),
		}
		if vm.Upstream == service {
			vm.Models = nil
			vm.Services = []string{"ticket"}
		}
		list.VMs = append(list.VMs, vm)
	}
	for i, entry := range d.names.entries {
		list.VMs = append(list.VMs, mgplatform.VM{
			Name:   entry,
			Kind:   mgplatform.EntryKind,
			Addr:   d.peers[entry],
			Peer:   d.peers[entry],
			Zone:   zone(i),
			Region: "south",
			State:  mgplatform.Live,
		})
	}
	for i, u := range d.streams {
		list.VMs = append(list.VMs, u.vm(i))
	}
	data, err := json.Marshal(list)
	if err != nil {
		return err
	}
	return d.post(platform, "put?key=vms", data)
}

// post sends a body to a switch of a stand-in. Switches are called directly and not
// over a link, as faults must not affect the run's own control calls.
func (d *deployment) post(standin, path string, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, d.standins[standin]+"/standin/"+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("%s: %w", standin, err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s: %s answers %s", standin, path, response.Status)
	}
	return nil
}

// setFault sets the fault of a stand-in.
func (d *deployment) setFault(standin string, fault mgstandin.Fault) error {
	body, err := json.Marshal(fault)
	if err != nil {
		return err
	}
	return d.post(standin, "fault", body)
}

// counts reads the counters of a stand-in.
func (d *deployment) counts(standin string, counts any) error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	_, body := get(ctx, d.standins[standin]+"/standin/counts", "")
	if err := json.Unmarshal(body, counts); err != nil {
		return fmt.Errorf("counters of %s: %w", standin, err)
	}
	return nil
}

// publishTable publishes the next version of the table. Each version contains a
// service, the version mark, that no other version has.
func (d *deployment) publishTable(context.Context) error {
	d.tableVersion++
	d.versionMark = fmt.Sprintf("mark%06d", d.tableVersion)
	return d.post(platform, "table", []byte(tableText(d.names, d.tableVersion, d.versionMark, d.revoked)))
}

// get returns the status and body of a URL, or status 0 if the request failed.
func get(ctx context.Context, url, key string) (int, []byte) {
	return call(ctx, http.MethodGet, url, key, "")
}

// call is like get, with a method and a request body.
func call(ctx context.Context, method, url, key, body string) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := unpooledClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, text
}

// unpooledClient opens a new connection for each request.
var unpooledClient = &http.Client{
	Transport: &http.Transport{
		DisableKeepAlives: true,
	},
}

func status(ctx context.Context, url string) int {
	code, _ := get(ctx, url, "")
	return code
}

// waitUntil polls a condition until it holds or the timeout ends, and reports whether
// it held.
func waitUntil(ctx context.Context, timeout time.Duration, condition func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for !condition() {
		if !(mgclock.Clock{}).Sleep(ctx, mgclock.Millis(pollInterval/time.Millisecond)) {
			return condition()
		}
	}
	return true
}
