package main

import (
	"context"
	"fmt"
	"io"
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

// The figures of the small deployment, from the sheet of its site.
const (
	memoryMB    = 134
	zone        = "burnaby-hall"
	region      = "lower-mainland"
	propagation = 2 * time.Second // propagationMs
	recoverTime = 12 * time.Second
	heartbeat   = 1200 * time.Millisecond
)

// The host of most routes and the key of the tenant.
const (
	shortHost = "reports.example"
	keptKey   = "key-of-the-depot"
)

// configuration returns a configuration of the operator.
func configuration(version int, routes, services []any, keys ...string) map[string]any {
	return map[string]any{
		"version":  version,
		"routes":   routes,
		"services": services,
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "depot", "apiKeys": keys, "priority": 1}},
	}
}

// plainRoute returns a route to a plain service.
func plainRoute(name, host, prefix, kind, service string, timeoutMs, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "kind": kind, "timeoutMs": timeoutMs, "goalMs": timeoutMs / 8,
		"priority": 2, "service": service, "attempts": attempts, "public": false, "sticky": false, "canResume": false,
	}
}

// plainService returns a service without model engines.
func plainService(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false}
}

// closeConn closes a connection whose end is all that marks the end of an answer.
func closeConn(conn net.Conn) { _ = conn.Close() }

// deployment is a store, engines and entries on loopback addresses.
type deployment struct {
	record  *record
	dir     string // for settings and logs
	subnet  string // the first three bytes of all addresses
	store   *store
	entries []*entry
	stop    chan struct{} // closed when the engines end
}

// newDeployment starts a store on free addresses.
func newDeployment(r *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "drill")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		record: r,
		dir:    dir,
		store:  newStore(),
		stop:   make(chan struct{}),
	}
	for range 20 {
		d.subnet = fmt.Sprintf("127.%d.%d", 100+rand.IntN(100), 1+rand.IntN(250))
		if err = serve(d.storeAddress(), d.store); err == nil {
			return d, nil
		}
	}
	return nil, err
}

func (d *deployment) storeAddress() string { return d.subnet + ".2:8742" }

// entry is a process of the system.
type entry struct {
	name     string
	ip       string
	settings string
	log      string
	command  *exec.Cmd
	exited   chan struct{} // closed when the process has ended
}

func (e *entry) front() string { return e.ip + ":8740" }

// addEntries writes the settings of entries. The first three are the seeds.
func (d *deployment) addEntries(count int) error {
	var seeds []string
	for i := range min(count, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s.%d:8748", d.subnet, 10+i)))
	}
	for i := range count {
		e := &entry{
			name: fmt.Sprintf("front-%s-%d", zone, i+1),
			ip:   fmt.Sprintf("%s.%d", d.subnet, 10+i),
		}
		e.settings = filepath.Join(d.dir, e.name+".toml")
		e.log = filepath.Join(d.dir, e.name+".log")
		text := fmt.Sprintf(settingsText, e.name, e.ip, zone, region, strings.Join(seeds, ","), zone, region,
			e.front(), e.ip+":8749", e.ip+":8748", memoryMB, d.storeAddress())
		if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
			return err
		}
		d.entries = append(d.entries, e)
	}
	return nil
}

// settingsText is the settings file of an entry, as in DEPLOY.md.
const settingsText = `nodeName = %q
role = "entry"
machineClass = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = %q
portRange = [7200,7215]
seeds = [%s]
bootstrap = true
faultCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
policies = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
%s = %q
[bind]
front = %q
ready = %q
control = %q
[limits]
cpuShare = 0.304
cores = 1
memoryMb = %d
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[policyLimits]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 3000
ackMs = 4000
syncS = 4
drainMs = 2000
graceS = 8
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

// startEntry starts an entry's process as the deploy file says.
func (d *deployment) startEntry(e *entry) error {
	log, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	e.command = exec.Command("target/entry")
	e.command.Env = []string{"MARJORAMGAUGE_BOOT=" + e.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + d.dir}
	e.command.Stdout, e.command.Stderr = log, log
	if err := e.command.Start(); err != nil {
		return err
	}
	e.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait() // the exit is what counts
		close(exited)
	}(e.command, e.exited)
	return nil
}

// startEntries starts all entries and waits until they are ready.
func (d *deployment) startEntries() error {
	for _, e := range d.entries {
		if err := d.startEntry(e); err != nil {
			return err
		}
	}
	for _, e := range d.entries {
		if !e.awaitReady(20 * time.Second) {
			return fmt.Errorf("%s is not ready after 20 s", e.name)
		}
	}
	return nil
}

func (e *entry) isReady() bool {
	client := http.Client{
		Timeout: time.Second,
	}
	response, err := client.Get("http://" + e.ip + ":8749/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // only the status counts
	return response.StatusCode == http.StatusOK
}

func (e *entry) awaitReady(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if e.isReady() {
			return true
		}
	}
	return false
}

// signal sends a signal to an entry's process.
func (e *entry) signal(s syscall.Signal) {
	if e.command != nil && e.command.Process != nil {
		_ = e.command.Process.Signal(s) // it may have ended
	}
}

// hasExited reports whether an entry's process has ended.
func (e *entry) hasExited() bool {
	select {
	case <-e.exited:
		return true
	default:
		return false
	}
}

// close ends all processes that were started.
func (d *deployment) close() {
	close(d.stop)
	for _, e := range d.entries {
		if e.command == nil {
			continue
		}
		e.signal(syscall.SIGCONT)
		e.signal(syscall.SIGKILL)
		<-e.exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir) // a temporary folder
	} else {
		fmt.Println("settings and logs are kept in", d.dir)
	}
}

// register writes an engine's entry of the store at each heartbeat until its state function returns "".
func (d *deployment) register(id, service, address string, slots int, state func() string) {
	key := "servers/" + id
	go func() {
		for n := 1; ; n++ {
			now := state()
			if now == "" {
				d.store.remove(key)
				return
			}
			d.store.put(key, map[string]any{
				"service":    service,
				"address":    address,
				"zone":       zone,
				"version":    "v1",
				"slots":      slots,
				"state":      now,
				"coldLeftMs": 0,
				"seq":        n,
			})
			select {
			case <-time.After(heartbeat):
			case <-d.stop:
				return
			}
		}
	}()
}

// newClient returns a client that opens a connection for each request.
func newClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives:  true,
			DisableCompression: true,
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				dialer := net.Dialer{
					Timeout: time.Second,
				}
				return dialer.DialContext(ctx, network, address)
			},
		},
	}
}

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf("%8.3f ", time.Since(r.begin).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Println(text)
	_, _ = fmt.Fprintln(r.file, text) // the output has it as well
}
