package mgfleet_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// patience bounds each wait for a condition. A condition that hasn't come by
// then never comes; no verdict depends on how fast it came.
const patience = 30 * time.Second

// glance is the interval at which a condition is looked at.
const glance = 5 * time.Millisecond

// build builds the binary and returns its path.
func build(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "marjoramgauge")
	args := []string{"build", "-o", binary}
	if raceEnabled {
		args = append(args, "-race")
	}
	out, err := exec.Command("go", append(args, "github.com/marjoramgauge/marjoramgauge/cmd/marjoramgauge")...).CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// A process is one process of the binary.
type process struct {
	name   string
	binary string
	args   []string
	cmd    *exec.Cmd
	exited chan struct{}
	log    *tail
}

// start starts a process; the test's end kills it.
func start(t *testing.T, binary, name string, args ...string) *process {
	t.Helper()
	p := &process{
		name:   name,
		binary: binary,
		args:   args,
		log:    &tail{},
	}
	if err := p.begin(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("%s:\n%s", name, p.log.text())
		}
	})
	return p
}

func (p *process) begin() error {
	p.cmd = exec.Command(p.binary, p.args...)
	p.cmd.Stdout = p.log
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	exited := make(chan struct{})
	p.exited = exited
	cmd := p.cmd
	go func() {
		defer close(exited)
		_ = cmd.Wait()
	}()
	return nil
}

// kill ends the process at once, as when its VM is taken away.
func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.exited
}

// restart starts the process anew: a new VM in its place, which remembers
// nothing.
func (p *process) restart(t *testing.T) {
	t.Helper()
	p.kill()
	if err := p.begin(); err != nil {
		t.Fatal(err)
	}
}

// signal sends a signal, such as SIGSTOP for a pause.
func (p *process) signal(t *testing.T, s os.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// tail keeps the last lines that a process wrote.
type tail struct {
	mu   sync.Mutex
	data []byte
}

// tailBytes bounds what is kept of a process's output.
const tailBytes = 16 << 10

// Write keeps p.
func (t *tail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.data = append(t.data, p...)
	if over := len(t.data) - tailBytes; over > 0 {
		t.data = bytes.Clone(t.data[over:])
	}
	return len(p), nil
}

func (t *tail) text() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.data)
}

// until waits for a condition and fails the test when it never comes.
func until(t *testing.T, what string, condition func() bool) {
	t.Helper()
	tick := time.NewTicker(glance)
	defer tick.Stop()
	deadline := time.After(patience)
	for !condition() {
		select {
		case <-tick.C:
		case <-deadline:
			t.Fatalf("never came: %s", what)
		}
	}
}

// fetch returns the status and body of a URL, or 0 when it can't be reached.
func fetch(url string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err.Error()
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(body)
}

// post sends a body to a stand-in's switch.
func post(t *testing.T, url, body string) {
	t.Helper()
	response, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		t.Fatalf("%s: %s", url, response.Status)
	}
}

// The ports of the processes are below those that the kernel gives to outgoing
// connections: one of these would otherwise take a port while the process that
// was to have it starts or is replaced.
const (
	firstPort = 12000
	lastPort  = 30000
)

// nextPort is where the search for a free port goes on. It begins at a place
// of this test process's own.
var nextPort = firstPort + os.Getpid()*100%(lastPort-firstPort)

// freePorts returns addresses on which nothing listens now, each once.
func freePorts(t *testing.T, n int) []string {
	t.Helper()
	var addrs []string
	for tries := 0; len(addrs) < n; tries++ {
		if tries > lastPort-firstPort {
			t.Fatal("no free ports on loopback")
		}
		nextPort++
		if nextPort > lastPort {
			nextPort = firstPort
		}
		addr := fmt.Sprintf("127.0.0.1:%d", nextPort)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = l.Close()
		addrs = append(addrs, addr)
	}
	return addrs
}
