package mgproc

import (
	"context"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// shareInterval is the interval at which the processor time of a limited process is read.
	shareInterval = time.Millisecond
	// maxShareCredit is the processor time that a process may use at once after it was idle.
	maxShareCredit = 3 * time.Millisecond
	// resumeCredit is the processor time from which a stopped process continues.
	resumeCredit = time.Millisecond / 2
)

// LimitProcessor lets the process use a share of one core until ctx ends: it is stopped while it
// has used more. A process that is started anew is limited, too.
func (p *Process) LimitProcessor(ctx context.Context, share float64) {
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	var limited processorShare
	for ctx.Err() == nil {
		limited.step(p, share)
		<-ticker.C
	}
	limited.setStopped(p, false)
}

// processorShare is the state of a limit on a process's processor time.
type processorShare struct {
	pid     int
	used    time.Duration // by the process so far
	readAt  time.Time
	credit  time.Duration // that it may still use, negative after it has used too much
	stopped bool
}

// step reads the process's processor time, and stops or continues it.
func (s *processorShare) step(p *Process, share float64) {
	now, pid := time.Now(), p.Pid()
	used, err := processorTime(pid)
	if err != nil {
		return // it has just ended
	}
	if pid != s.pid {
		*s = processorShare{
			pid:    pid,
			used:   used,
			readAt: now,
		}
		return
	}
	s.credit += time.Duration(share*float64(now.Sub(s.readAt))) - (used - s.used)
	s.credit = min(s.credit, maxShareCredit)
	s.used, s.readAt = used, now
	switch {
	case s.credit <= 0:
		s.setStopped(p, true)
	case s.credit >= resumeCredit:
		s.setStopped(p, false)
	}
}

// setStopped stops or continues the process.
func (s *processorShare) setStopped(p *Process, stopped bool) {
	if s.stopped == stopped || p.paused.Load() {
		return
	}
	s.stopped = stopped
	signal := syscall.SIGCONT
	if stopped {
		signal = syscall.SIGSTOP
	}
	_ = p.Signal(signal) // fails only on a process that has ended
}

// Bits of the id of a process's processor clock, as clock_getcpuclockid returns it.
const (
	clockPidShift  = 3
	clockScheduled = 2
)

// processorTime returns the processor time that a process has used.
func processorTime(pid int) (time.Duration, error) {
	var used unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<clockPidShift|clockScheduled), &used); err != nil {
		return 0, err
	}
	return time.Duration(used.Nano()), nil
}
