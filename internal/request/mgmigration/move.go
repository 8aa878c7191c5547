package mgmigration

import "github.com/marjoramgauge/marjoramgauge/pkg/mgclock"

// Outcome is the result of a call to the source.
type Outcome int

// The outcomes.
const (
	// Copied: the copy is complete.
	Copied Outcome = iota + 1
	// Absent: the source has no such run. It has ended or has not begun.
	Absent
	// Busy: another call for the run is in progress.
	Busy
	// NoCapacity: the destination has no capacity or can't be reached.
	NoCapacity
	// Lost: no reply. The call may have been carried out.
	Lost
)

// String returns the outcome's name for logs.
func (o Outcome) String() string {
	switch o {
	case Copied:
		return "copied"
	case Absent:
		return "absent"
	case Busy:
		return "busy"
	case NoCapacity:
		return "noroom"
	case Lost:
		return "lost"
	default:
		return "none"
	}
}

// Reply is the source's reply to a call.
type Reply struct {
	Outcome Outcome
	Handle  string // of the copy; with NoCapacity it is set only if the run was stopped
}

// Step is the next call or wait of a move.
type Step int

// The steps.
const (
	// Copy asks the source to copy the run while it continues.
	Copy Step = iota + 1
	// Stop asks the source to stop the run and copy the rest.
	Stop
	// Wait asks for a wait of RetryDelay and then a call of EndWait.
	Wait
	// Done: the move is over; see Places.
	Done
)

const (
	// RetryDelay is the delay before the next try when the run was absent or busy,
	// or no destination had capacity: about the time of one decoding step and its
	// network latency.
	RetryDelay = 40 * mgclock.Millis(1)
	// maxWaits bounds these delays. A run that has not begun after two seconds is
	// queued behind others on an engine that is about to leave.
	maxWaits = 50
	// maxLost bounds the copies whose reply is lost. A copy takes 100 to 400 ms,
	// and the notice is one to two seconds.
	maxLost = 3
	// triesBeforeWait is how many destinations without capacity are tried in a row
	// before a wait of RetryDelay. Destinations refuse within milliseconds, and
	// where memory is nearly full a part of it becomes free ten times a second.
	triesBeforeWait = 3
)

// A Move is the state of one run's migration. The zero Move is ready to start.
type Move struct {
	step            Step
	noCapacityCount int // refusals by destinations without capacity
	lostCount       int // copies whose reply was lost
	waitCount       int
	handle          string
	stopped         bool // the source confirmed that it stopped the run
	mayHaveStopped  bool // it did, or its reply doesn't tell
	copyUsable      bool // the destination holds a copy to resume from
}

// Step returns the next step.
func (m *Move) Step() Step {
	if m.step == 0 {
		return Copy
	}
	return m.step
}

// Handle returns the name of the latest copy, or "".
func (m *Move) Handle() string { return m.handle }

// Stopped reports whether the source has confirmed that it stopped the run.
func (m *Move) Stopped() bool { return m.stopped }

// MayHaveStopped reports whether the source may have stopped the run: it confirmed that, or was
// ordered to and its reply doesn't tell. The end of such a run's stream isn't the run's own.
func (m *Move) MayHaveStopped() bool { return m.mayHaveStopped }

// EndWait ends a Wait step.
func (m *Move) EndWait() {
	if m.step == Wait {
		m.step = Copy
	}
}

// HandleReply updates the move with the source's reply to the current step.
func (m *Move) HandleReply(r Reply) {
	switch m.Step() {
	case Copy:
		m.handleCopyReply(r)
	case Stop:
		m.handleStopReply(r)
	}
}

// handleCopyReply handles the reply to a copy of a run that continues. Nothing
// is lost yet, so each failure may be retried within its bounds.
func (m *Move) handleCopyReply(r Reply) {
	switch r.Outcome {
	case Copied:
		m.handle = r.Handle
		m.copyUsable = true
		m.step = Stop
	case NoCapacity:
		m.noCapacityCount++
		m.step = Copy
		if m.noCapacityCount%triesBeforeWait == 0 {
			m.wait()
		}
	case Lost:
		m.lostCount++
		m.step = Copy
		if m.lostCount >= maxLost {
			m.step = Done
		}
	default:
		m.wait()
	}
}

// wait schedules a wait of RetryDelay before the next try, or gives up after
// maxWaits.
func (m *Move) wait() {
	m.waitCount++
	m.step = Wait
	if m.waitCount > maxWaits {
		m.step = Done
	}
}

// handleStopReply handles the reply to the stop.
func (m *Move) handleStopReply(r Reply) {
	m.step = Done
	m.mayHaveStopped = r.Outcome != Absent && r.Outcome != Busy
	switch r.Outcome {
	case Copied:
		m.handle = r.Handle
		m.stopped = true
	case NoCapacity:
		// The last copy failed, and the destination's older copy may be lost with it.
		// The source keeps the run's memory under the new handle.
		if r.Handle != "" {
			m.handle = r.Handle
			m.stopped = true
			m.copyUsable = false
		}
	case Absent, Busy:
		m.copyUsable = false
	}
}

// A Place is where a generation can resume after its stream was cut.
type Place int

// The places.
const (
	AtDestination Place = iota + 1
	AtSource
)

// Places returns where the generation can resume from Handle, the preferred one
// first. The process that relays its stream resumes it only once the stream has
// ended: until then the run may still be generating.
func (m *Move) Places() []Place {
	if m.handle == "" {
		return nil
	}
	var places []Place
	if m.copyUsable {
		places = append(places, AtDestination)
	}
	if m.stopped {
		places = append(places, AtSource)
	}
	return places
}
