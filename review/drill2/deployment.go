package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of an entry, each on a loopback address of its own.
const (
	frontPort   = 8740
	controlPort = 8748
	readyPort   = 8749
	adminPort   = 7210
)

// deployment is a small deployment on loopback addresses.
type deployment struct {
	dir     string
	program string
	log     *record
	net     string // the first three bytes of its addresses
	store   *store
	server  *http.Server
	address string // of the store
	engines []*engine
	entries []*entry
}

// entry is a process of the system.
type entry struct {
	name  string
	ip    string
	zone  string
	seeds []string
	d     *deployment

	mu      sync.Mutex
	process *exec.Cmd
	done    chan struct{} // closed when the process has ended
	closed  bool          // the deployment ends
}

// begin chooses addresses and starts the store.
func (d *deployment) begin() error {
	if err := d.chooseNet(); err != nil {
		return err
	}
	d.store = newStore()
	listener, err := net.Listen("tcp", d.net+".1:0")
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	d.address = listener.Addr().String()
	d.server = &http.Server{
		Handler: d.store.handler(),
	}
	go func() { _ = d.server.Serve(listener) }() // ends with close
	return nil
}

// chooseNet chooses loopback addresses whose ports are free.
func (d *deployment) chooseNet() error {
	var err error
	for range 20 {
		d.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if err = d.probe(); err == nil {
			return nil
		}
	}
	return fmt.Errorf("no free loopback addresses: %w", err)
}

func (d *deployment) probe() error {
	for n := 10; n < 20; n++ {
		for _, port := range []int{frontPort, controlPort, readyPort, adminPort} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", d.net, n, port))
			if err != nil {
				return err
			}
			_ = listener.Close() // nothing was accepted
		}
	}
	return nil
}

// addEngine starts an engine.
func (d *deployment) addEngine(spec engineSpec) (*engine, error) {
	e, err := startEngine(spec, d.net+".2", d.store, d.log)
	if err != nil {
		return nil, err
	}
	d.engines = append(d.engines, e)
	return e, nil
}

// settings is the settings file of an entry, as the platform writes it for a small deployment.
const settings = `nodeName = %q
role = "entry"
machineClass = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "region-1"
portRange = [7200,7215]
seeds = [%s]
bootstrap = true
faultCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
policies = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
zone-1 = "region-1"
zone-2 = "region-1"
zone-3 = "region-1"
[bind]
front = "%s:%d"
ready = "%s:%d"
control = "%s:%d"
[limits]
cpuShare = 0.304
cores = 1
memoryMb = 134
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[policyLimits]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 3000
ackMs = 4000
syncS = 4
drainMs = 2000
graceS = %d
slackMs = 200
propagationMs = 2000
downgradeMs = 250
skewMaxMs = 5000
strictRevoke = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 56
recoverS = 12
passMs = 120
reuseWindowS = 5.4
[platform]
address = %q
form = "read"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`

// graceS is the time in seconds from SIGTERM to SIGKILL.
const graceS = 8

// addEntries writes the settings of entries in zones and starts them.
func (d *deployment) addEntries(zones ...string) error {
	var seeds []string
	for n := range zones {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", d.net, 10+n, controlPort))
	}
	for n, zone := range zones {
		e := &entry{
			name:  fmt.Sprintf("front-%s-%d", zone, n+1),
			ip:    fmt.Sprintf("%s.%d", d.net, 10+n),
			zone:  zone,
			seeds: seeds[:min(len(seeds), 3)],
			d:     d,
		}
		d.entries = append(d.entries, e)
		if err := e.start(); err != nil {
			return err
		}
	}
	return nil
}

// path returns the path of the entry's settings file.
func (e *entry) path() string { return filepath.Join(e.d.dir, e.name+".toml") }

// front returns the address for clients.
func (e *entry) front() string { return fmt.Sprintf("%s:%d", e.ip, frontPort) }

// start starts the process, unless the deployment ends.
func (e *entry) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return nil
	}
	quoted := make([]string, 0, len(e.seeds))
	for _, seed := range e.seeds {
		quoted = append(quoted, fmt.Sprintf("%q", seed))
	}
	text := fmt.Sprintf(settings, e.name, e.ip, e.zone, strings.Join(quoted, ","),
		e.ip, frontPort, e.ip, readyPort, e.ip, controlPort, graceS, e.d.address)
	if err := os.WriteFile(e.path(), []byte(text), 0o600); err != nil {
		return fmt.Errorf("%s: %w", e.name, err)
	}
	output, err := os.OpenFile(filepath.Join(e.d.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("%s: %w", e.name, err)
	}
	defer output.Close()
	process := exec.Command(e.d.program)
	process.Env = []string{"MARJORAMGAUGE_BOOT=" + e.path(), "PATH=" + os.Getenv("PATH")}
	process.Stdout, process.Stderr = output, output
	process.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := process.Start(); err != nil {
		return fmt.Errorf("%s: %w", e.name, err)
	}
	done := make(chan struct{})
	e.process, e.done = process, done
	e.d.log.printf("%s starts", e.name)
	go func() {
		err := process.Wait()
		e.d.log.printf("%s has ended: %v", e.name, err)
		close(done)
	}()
	return nil
}

// signal sends a signal to the process, and returns a channel that is closed when it has ended.
func (e *entry) signal(s syscall.Signal) (ended <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.d.log.printf("%s gets SIG%s", e.name, map[syscall.Signal]string{
		syscall.SIGTERM: "TERM", syscall.SIGKILL: "KILL", syscall.SIGSTOP: "STOP", syscall.SIGCONT: "CONT", syscall.SIGHUP: "HUP",
	}[s])
	_ = e.process.Process.Signal(s) // fails only when the process has ended
	return e.done
}

// restartDelay is the time from the end of a process to its next start.
const restartDelay = 500 * time.Millisecond

// terminate stops the process as the platform does: SIGTERM, and SIGKILL after the time of grace. It starts
// again when it has ended.
func (e *entry) terminate() {
	ended := e.signal(syscall.SIGTERM)
	go func() {
		select {
		case <-ended:
		case <-time.After(graceS * time.Second):
			<-e.signal(syscall.SIGKILL)
		}
		time.Sleep(restartDelay)
		if err := e.start(); err != nil {
			e.d.log.printf("%v", err)
		}
	}()
}

// isReady reports whether the entry says that it is ready.
func (e *entry) isReady() bool {
	client := http.Client{
		Timeout: time.Second,
	}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", e.ip, readyPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close() // its content isn't read
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all entries say that they are ready.
func (d *deployment) awaitReady(ctx context.Context) error {
	for _, e := range d.entries {
		for !e.isReady() {
			if !sleep(ctx, 50*time.Millisecond) {
				return fmt.Errorf("%s is not ready", e.name)
			}
		}
		d.log.printf("%s is ready", e.name)
	}
	return nil
}

// close ends the process for good.
func (e *entry) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	if e.process != nil {
		_ = e.process.Process.Kill() // it may have ended
		<-e.done
	}
}

// close ends all that was started.
func (d *deployment) close() {
	for _, e := range d.entries {
		e.close()
	}
	for _, e := range d.engines {
		e.close()
	}
	if d.server != nil {
		_ = d.server.Close() // the process ends next
	}
	if keep := os.Getenv("DRILL_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(d.dir)) // for the author only
	}
}
