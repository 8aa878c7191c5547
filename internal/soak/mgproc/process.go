package mgproc

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgloopback"
)

// Process is a process of the binary under test. Restart replaces it under the same
// name.
type Process struct {
	name   string
	binary string
	args   []string
	env    []string // the environment, that of this process if nil
	log    outputTail
	paused atomic.Bool // by Pause

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// Start starts a process with the given arguments.
func Start(binary, name string, args ...string) (*Process, error) {
	return StartWithEnv(nil, binary, name, args...)
}

// StartWithEnv starts a process with the given environment, or that of this process if
// it is nil, and arguments.
func StartWithEnv(env []string, binary, name string, args ...string) (*Process, error) {
	p := &Process{
		name:   name,
		binary: binary,
		args:   args,
		env:    env,
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p, p.start()
}

// start starts the process. The caller holds mu.
func (p *Process) start() error {
	cmd := exec.Command(p.binary, p.args...)
	cmd.Env = p.env
	cmd.Stdout = &p.log
	cmd.Stderr = &p.log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		defer close(exited)
		_ = cmd.Wait() // the caller ended it, so that the exit status doesn't matter
	}()
	return nil
}

// Name returns the process's name.
func (p *Process) Name() string { return p.name }

// Pid returns the id of the current process.
func (p *Process) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Exited returns a channel that is closed when the current process has exited. Restart
// replaces the channel.
func (p *Process) Exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// Kill sends SIGKILL to the process and waits for its exit, as when its VM is removed.
func (p *Process) Kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kill()
}

func (p *Process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL) // it may have exited
	<-p.exited
}

// Restart kills the process, if it still runs, and starts a new one without any state,
// as on a new VM.
func (p *Process) Restart() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kill()
	return p.start()
}

// Signal sends a signal to the process, such as SIGSTOP for a pause.
func (p *Process) Signal(s os.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Signal(s)
}

// Pause stops the process for some time, also while its processor time is limited.
func (p *Process) Pause(duration time.Duration) error {
	p.paused.Store(true)
	defer p.paused.Store(false)
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(duration)
	return p.Signal(syscall.SIGCONT)
}

// Log returns the last output of the process.
func (p *Process) Log() string { return p.log.text() }

// outputTail keeps the last bytes that a process wrote.
type outputTail struct {
	mu   sync.Mutex
	data []byte
}

// maxOutputBytes is the maximum size of the kept output.
const maxOutputBytes = 64 << 10

// Write appends p and drops the oldest bytes over maxOutputBytes.
func (t *outputTail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.data = append(t.data, p...)
	if over := len(t.data) - maxOutputBytes; over > 0 {
		t.data = bytes.Clone(t.data[over:])
	}
	return len(p), nil
}

func (t *outputTail) text() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.data)
}

// FreeAddrs returns n loopback addresses that are free and not handed out twice.
func FreeAddrs(n int) ([]string, error) {
	addrs := make([]string, n)
	for i := range addrs {
		addr, err := mgloopback.Addr()
		if err != nil {
			return nil, err
		}
		addrs[i] = addr
	}
	return addrs, nil
}
