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

// conditionTimeout limits each wait for a condition. A condition that is not
// true by then never becomes true; no result depends on how fast it became true.
const conditionTimeout = 30 * time.Second

// pollInterval is the interval at which a condition is checked.
const pollInterval = 5 * time.Millisecond

// buildBinary builds the binary and returns its path.
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

// A process is one process of the binary under test.
type process struct {
	*mgproc.Process
}

// startProcess starts a process, which is killed at the end of the test.
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

// restart starts the process again without its state, like a new VM in its
// place.
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

// waitFor waits for a condition and fails the test if it doesn't become true.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	deadline := time.After(conditionTimeout)
	for !condition() {
		select {
		case <-tick.C:
		case <-deadline:
			t.Fatalf("condition not met in time: %s", what)
		}
	}
}

// fetch returns the status and body of a URL, or status 0 if it can't be
// reached.
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

// post sends a body to a stand-in's control URL.
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

// freePorts returns n different addresses on which nothing listens now.
func freePorts(t *testing.T, n int) []string {
	t.Helper()
	addrs, err := mgproc.FreeAddrs(n)
	if err != nil {
		t.Fatal(err)
	}
	return addrs
}
