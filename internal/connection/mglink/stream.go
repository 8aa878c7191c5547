package mglink

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

var (
	// ErrLost is returned when no further attempt is made to reopen the stream.
	ErrLost = errors.New("link: stream lost: check the generation's record")
	// errSilent is the cause of closing a connection that neither end had closed.
	errSilent = errors.New("link: connection silent: reopening it")
	// errConnectionEnded is the error of a connection that ended before the stream.
	errConnectionEnded = errors.New("link: connection ended before the stream: reopening it")
)

const (
	// DefaultAttempts is the maximum number of consecutive attempts without tokens.
	DefaultAttempts = 6
	// DefaultBackoff is the delay before the second attempt; it doubles each time,
	// so that an agent has about three seconds to restart.
	DefaultBackoff mgclock.Millis = 100
)

// A StreamSpec configures the entry's end of a stream.
type StreamSpec struct {
	// Open requests, on a new connection, the frames beginning with token number
	// from. Its body ends with ctx. A permanent Problem ends the stream.
	Open func(ctx context.Context, from uint64) (io.ReadCloser, error)
	// Clock measures silence and backoff.
	Clock mgclock.Clock
	// Interval is the heartbeat interval, by default DefaultInterval.
	Interval mgclock.Millis
	// Attempts is the maximum number of consecutive attempts without tokens, and
	// Backoff the delay before the second one.
	Attempts int
	Backoff  mgclock.Millis
	// Budget is the time after which the stream isn't reopened; 0 means no limit.
	Budget mgclock.Millis
	// From is the number of the last token that the reader has.
	From uint64
}

func (s StreamSpec) withDefaults() StreamSpec {
	if s.Interval <= 0 {
		s.Interval = DefaultInterval
	}
	if s.Attempts <= 0 {
		s.Attempts = DefaultAttempts
	}
	if s.Backoff <= 0 {
		s.Backoff = DefaultBackoff
	}
	return s
}

// A Stream reads the frames of one generation over as many connections as
// needed. It is not safe for concurrent use.
type Stream struct {
	spec           StreamSpec
	startTime      mgclock.Millis
	lastToken      uint64
	failedAttempts int // consecutive attempts without tokens
	reopenCount    int
	finalRead      bool // the final frame was read
	isClosed       bool // nothing more is read, even after Reopen
	current        *connection
}

// connection is one attempt: a goroutine that opens a body and reads its frames.
type connection struct {
	cancel       context.CancelFunc
	frames       chan *mgrpc.Frame
	errs         chan error
	opened       mgclock.Millis
	lastReceived mgclock.Millis
	timer        <-chan struct{}
}

// NewStream returns a Stream that opens its first connection in Next.
func NewStream(spec StreamSpec) *Stream {
	return &Stream{
		spec:      spec.withDefaults(),
		startTime: spec.Clock.Now(),
		lastToken: spec.From,
	}
}

// SilenceTimeout returns the silence timeout: the maximum time without a frame after
// which a connection is still used.
func (s *Stream) SilenceTimeout() mgclock.Millis { return silentIntervals * s.spec.Interval }

// ReopenCount returns how often the stream was reopened after a failure.
func (s *Stream) ReopenCount() int { return s.reopenCount }

// Close ends the stream and closes its connection.
func (s *Stream) Close() {
	s.isClosed = true
	s.closeConnection()
}

// Reopen makes the next call of Next read from the token after lastToken on a new
// connection, for a reader that rejected a frame. This includes the final frame,
// which may belong to another generation or arrive before the last tokens.
func (s *Stream) Reopen(lastToken uint64) {
	s.closeConnection()
	s.finalRead = false
	s.lastToken = lastToken
	s.failedAttempts++
}

// Next returns the next frame that isn't a heartbeat. After the final frame it
// returns io.EOF. It returns ErrLost when the stream can't be reopened, and the
// agent's Problem when that is permanent.
func (s *Stream) Next(ctx context.Context) (*mgrpc.Frame, error) {
	for !s.isClosed && !s.finalRead {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		if s.current == nil {
			s.open(ctx)
		}
		f, err := s.readFrame(ctx)
		switch {
		case err != nil && ctx.Err() != nil:
			return nil, ctx.Err()
		case err != nil:
			if err := s.handleFailure(ctx, err); err != nil {
				return nil, err
			}
		case !IsHeartbeat(f):
			s.recordProgress(f)
			return f, nil
		}
	}
	return nil, io.EOF
}

// open starts a connection, which stays open after Next returns but ends with
// ctx.
func (s *Stream) open(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	now := s.spec.Clock.Now()
	c := &connection{
		cancel:       cancel,
		frames:       make(chan *mgrpc.Frame),
		errs:         make(chan error, 1),
		opened:       now,
		lastReceived: now,
	}
	s.current = c
	from := s.lastToken + 1
	go func() { c.errs <- c.run(ctx, s.spec.Open, from) }()
}

func (c *connection) run(ctx context.Context, open func(context.Context, uint64) (io.ReadCloser, error), from uint64) error {
	body, err := open(ctx, from)
	if err != nil {
		return err
	}
	// A read on a silent connection returns only when its body is closed.
	stop := context.AfterFunc(ctx, func() { _ = body.Close() })
	defer func() {
		if stop() {
			_ = body.Close()
		}
	}()
	in := bufio.NewReader(body)
	for {
		f, err := ReadFrame(in)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return errConnectionEnded
		}
		if err != nil {
			return err
		}
		select {
		case c.frames <- f:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// readFrame returns the connection's next frame or an error.
func (s *Stream) readFrame(ctx context.Context) (*mgrpc.Frame, error) {
	c := s.current
	for {
		if c.timer == nil {
			// One timer covers all frames until it fires.
			c.timer = s.spec.Clock.After(s.silenceDeadline() - s.spec.Clock.Now())
		}
		select {
		case f := <-c.frames:
			c.lastReceived = s.spec.Clock.Now()
			return f, nil
		case err := <-c.errs:
			return nil, err
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-c.timer:
			c.timer = nil
		}
		// The reader itself may have been paused beyond the timeout while frames
		// arrived: read them before the connection is considered silent.
		select {
		case f := <-c.frames:
			c.lastReceived = s.spec.Clock.Now()
			return f, nil
		default:
		}
		if s.spec.Clock.Now() >= s.silenceDeadline() {
			// Neither end has closed the connection and nothing is received: a device
			// between them has dropped its state. TCP alone would wait for minutes.
			return nil, errSilent
		}
	}
}

func (s *Stream) silenceDeadline() mgclock.Millis { return s.current.lastReceived + s.SilenceTimeout() }

// recordProgress records the last token of a frame and whether it is final.
func (s *Stream) recordProgress(f *mgrpc.Frame) {
	if n := uint64(len(f.GetText())); n > 0 && f.GetSeq() <= s.lastToken+1 {
		s.lastToken = max(s.lastToken, f.GetSeq()+n-1)
		s.failedAttempts = 0
	}
	if IsFinal(f) {
		s.finalRead = true
		s.closeConnection()
	}
}

// handleFailure closes the connection and waits before the next attempt, or
// returns an error when there is to be none.
func (s *Stream) handleFailure(ctx context.Context, cause error) error {
	if s.current.lastReceived-s.current.opened > s.SilenceTimeout() {
		s.failedAttempts = 0 // it worked for a while, even without tokens
	}
	s.closeConnection()
	if isPermanent(cause) {
		s.isClosed = true
		return cause
	}
	delay := s.backoff()
	s.failedAttempts++
	if s.failedAttempts >= s.spec.Attempts || s.exceedsBudget(delay) {
		s.isClosed = true
		return fmt.Errorf("%w: %w", ErrLost, cause)
	}
	s.reopenCount++
	s.spec.Clock.Sleep(ctx, delay)
	return nil
}

// backoff returns the delay before the next attempt: 0 after a connection that
// worked.
func (s *Stream) backoff() mgclock.Millis {
	if s.failedAttempts == 0 {
		return 0
	}
	return s.spec.Backoff << (s.failedAttempts - 1)
}

func (s *Stream) exceedsBudget(delay mgclock.Millis) bool {
	return s.spec.Budget > 0 && s.spec.Clock.Now()+delay >= s.startTime+s.spec.Budget
}

func (s *Stream) closeConnection() {
	if s.current != nil {
		s.current.cancel()
		s.current = nil
	}
}

// isPermanent reports whether err is a problem that another connection would not
// resolve.
func isPermanent(err error) bool {
	var problem *mgproblem.Problem
	if !errors.As(err, &problem) {
		return false
	}
	switch problem.Kind() {
	case mgproblem.Leaving, mgproblem.NotReady, mgproblem.OutdatedVersion, mgproblem.Overloaded, mgproblem.Internal:
		return false
	default:
		return true
	}
}
