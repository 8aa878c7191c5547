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
	// ErrLost is returned when no connection gives the stream any more.
	ErrLost = errors.New("link: stream lost: go by the generation's record")
	// errSilent is why a connection was given up that nobody closed.
	errSilent = errors.New("link: connection silent: it is reopened")
	// errCut is why a connection was given up that ended before the stream.
	errConnectionEnded = errors.New("link: connection ended before the stream: it is reopened")
)

const (
	// DefaultAttempts bounds the connections in a row that bring nothing.
	DefaultAttempts = 6
	// DefaultBackoff is the wait before the second try; it doubles each time, so
	// that an agent that restarts has about three seconds to be back.
	DefaultBackoff mgclock.Millis = 100
)

// A StreamSpec describes the entry's end of a stream.
type StreamSpec struct {
	// Open asks, on a new connection, for the frames from token number from on.
	// Its body ends with ctx. A Problem that another try can't mend ends the
	// stream.
	Open func(ctx context.Context, from uint64) (io.ReadCloser, error)
	// Clock tells the time.
	Clock mgclock.Clock
	// Interval between heartbeats, by default DefaultInterval.
	Interval mgclock.Millis
	// Attempts and Backoff bound the tries that bring nothing.
	Attempts int
	Backoff  mgclock.Millis
	// Budget is the span after which the stream isn't reopened; 0 is no bound.
	Budget mgclock.Millis
	// From is the last token that the reader has.
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

// A Stream reads the frames of one generation over as many connections as it
// takes. It is used by one goroutine.
type Stream struct {
	spec           StreamSpec
	startTime      mgclock.Millis
	lastToken      uint64
	failedAttempts int // tries in a row that brought nothing
	reopenCount    int
	finalRead      bool // the final frame was read
	isClosed       bool // nothing follows, whatever the reader thinks of it
	current        *connection
}

// connection is one try: a goroutine that opens a body and reads it.
type connection struct {
	cancel       context.CancelFunc
	frames       chan *mgrpc.Frame
	errs         chan error
	opened       mgclock.Millis
	lastReceived mgclock.Millis
	timer        <-chan struct{}
}

// NewStream returns a Stream that opens its first connection on Next.
func NewStream(spec StreamSpec) *Stream {
	return &Stream{
		spec:      spec.withDefaults(),
		startTime: spec.Clock.Now(),
		lastToken: spec.From,
	}
}

// Silence returns the longest time without a frame on a working connection.
func (s *Stream) Silence() mgclock.Millis { return silentIntervals * s.spec.Interval }

// Reopens returns how often the stream went on on a new connection.
func (s *Stream) Reopens() int { return s.reopenCount }

// Close gives up the connection, if there is one.
func (s *Stream) Close() {
	s.isClosed = true
	s.closeConnection()
}

// Reopen makes the next Next read from the token after last on a new
// connection, for a reader that refused a frame. The final frame may be refused
// as well: it may be another generation's, or come before the tokens it ends.
func (s *Stream) Reopen(lastToken uint64) {
	s.closeConnection()
	s.finalRead = false
	s.lastToken = lastToken
	s.failedAttempts++
}

// Next returns the next frame that isn't a heartbeat. After the final frame it
// returns io.EOF. It returns ErrLost when the stream can't be had any more, and
// the Problem when the agent says why.
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
		case !Heartbeat(f):
			s.recordProgress(f)
			return f, nil
		}
	}
	return nil, io.EOF
}

// open starts a connection. It outlives the call of Next that opened it, but
// not ctx's cancellation.
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
	// A read on a silent connection returns only once its body is closed.
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

// read returns the connection's next frame, or why there is none.
func (s *Stream) readFrame(ctx context.Context) (*mgrpc.Frame, error) {
	c := s.current
	for {
		if c.timer == nil {
			// One timer serves all frames until it fires.
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
		// The reader itself may have slept past the bound, as a paused process
		// does, while frames came: they are taken before the verdict.
		select {
		case f := <-c.frames:
			c.lastReceived = s.spec.Clock.Now()
			return f, nil
		default:
		}
		if s.spec.Clock.Now() >= s.silenceDeadline() {
			// Neither end has closed the connection, and nothing comes: a device
			// between them has forgotten it. TCP alone would wait for minutes.
			return nil, errSilent
		}
	}
}

func (s *Stream) silenceDeadline() mgclock.Millis { return s.current.lastReceived + s.Silence() }

// take notes a frame's progress.
func (s *Stream) recordProgress(f *mgrpc.Frame) {
	if n := uint64(len(f.GetText())); n > 0 && f.GetSeq() <= s.lastToken+1 {
		s.lastToken = max(s.lastToken, f.GetSeq()+n-1)
		s.failedAttempts = 0
	}
	if Final(f) {
		s.finalRead = true
		s.closeConnection()
	}
}

// fail gives up the connection and waits before the next, or says that there
// will be none.
func (s *Stream) handleFailure(ctx context.Context, cause error) error {
	if s.current.lastReceived-s.current.opened > s.Silence() {
		s.failedAttempts = 0 // it worked for a while, even if there were no tokens yet
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

// backoff returns the wait before the next try: none after a connection that
// brought something.
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

// final reports whether a problem stays on another connection.
func isPermanent(err error) bool {
	var problem *mgproblem.Problem
	if !errors.As(err, &problem) {
		return false
	}
	switch problem.Kind() {
	case mgproblem.Leaving, mgproblem.Unready, mgproblem.Behind, mgproblem.Crowded, mgproblem.Internal:
		return false
	default:
		return true
	}
}
