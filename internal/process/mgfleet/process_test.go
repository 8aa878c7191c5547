package mgfleet_test

import (
	"context"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/marjoramgauge/marjoramgauge/internal/soak/mgproc"
)

// patience bounds each wait for a condition. A condition that hasn't come by
// then never comes; no verdict depends on how fast it came.
const conditionTimeout = 30 * time.Second

// glance is the interval at which a condition is looked at.
const pollInterval = 5 * time.Millisecond

// build builds the binary and returns its path.
func buildBinary(t *testing.T) string {
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

// A process is one process of the binary, which a test starts and harms.
type process struct {
	*mgproc.Process
}

// start starts a process; the test's end kills it.
func startProcess(t *testing.T, binary, name string, args ...string) *process {
	t.Helper()
	p, err := mgproc.Start(binary, name, args...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.Kill()
		if t.Failed() {
			t.Logf("%s:\n%s", name, p.Log())
		}
	})
	return &process{
		Process: p,
	}
}

func (p *process) kill() { p.Kill() }

// restart starts the process anew: a new VM in its place, which remembers
// nothing.
func (p *process) restart(t *testing.T) {
	t.Helper()
	if err := p.Restart(); err != nil {
		t.Fatal(err)
	}
}

// signal sends a signal, such as SIGSTOP for a pause.
func (p *process) signal(t *testing.T, s os.Signal) {
	t.Helper()
	if err := p.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// until waits for a condition and fails the test when it never comes.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	deadline := time.After(conditionTimeout)
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

// freePorts returns addresses on which nothing listens now, each once.
func freePorts(t *testing.T, n int) []string {
	t.Helper()
	addrs, err := mgproc.FreeAddrs(n)
	if err != nil {
		t.Fatal(err)
	}
	return addrs
}
