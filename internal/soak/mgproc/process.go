package mgproc

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"

	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgloopback"
)

// A Process is one process of a binary.
type Process struct {
	name   string
	binary string
	args   []string
	log    outputTail

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// Start starts a process.
func Start(binary, name string, args ...string) (*Process, error) {
	p := &Process{
		name:   name,
		binary: binary,
		args:   args,
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p, p.start()
}

// begin starts the process. It is called with mu held.
func (p *Process) start() error {
	cmd := exec.Command(p.binary, p.args...)
	cmd.Stdout = &p.log
	cmd.Stderr = &p.log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		defer close(exited)
		_ = cmd.Wait() // how it ended is the caller's doing
	}()
	return nil
}

// Name returns the process's name.
func (p *Process) Name() string { return p.name }

// Exited returns a channel that is closed once the process of this moment has
// ended.
func (p *Process) Exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// Kill ends the process at once, as when its VM is taken away.
func (p *Process) Kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kill()
}

func (p *Process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL) // it may have ended
	<-p.exited
}

// Restart ends the process, if it hasn't ended, and starts it anew: a new VM in
// its place, which remembers nothing.
func (p *Process) Restart() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kill()
	return p.start()
}

// Signal sends a signal, such as SIGSTOP for a pause.
func (p *Process) Signal(s os.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Signal(s)
}

// Log returns the last that the process wrote.
func (p *Process) Log() string { return p.log.text() }

// tail keeps the last lines that a process wrote.
type outputTail struct {
	mu   sync.Mutex
	data []byte
}

// tailBytes bounds what is kept of a process's output.
const maxOutputBytes = 64 << 10

// Write keeps p.
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

// FreeAddrs returns addresses that nobody else is given.
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
