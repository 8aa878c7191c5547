package mgmigration

import "github.com/marjoramgauge/marjoramgauge/pkg/mgclock"

// Outcome is what came of a call to the source.
type Outcome int

// The outcomes.
const (
	// Copied: the copy is complete.
	Copied Outcome = iota + 1
	// Absent: the source has no such run. It has ended, or not begun.
	Absent
	// Busy: another call for the run is in progress.
	Busy
	// NoRoom: the destination has no room or can't be reached.
	NoRoom
	// Lost: no answer. The call may have been carried out.
	Lost
)

// String returns the outcome in one word, for logs.
func (o Outcome) String() string {
	switch o {
	case Copied:
		return "copied"
	case Absent:
		return "absent"
	case Busy:
		return "busy"
	case NoRoom:
		return "noroom"
	case Lost:
		return "lost"
	default:
		return "none"
	}
}

// Reply is the source's answer to a call.
type Reply struct {
	Outcome Outcome
	Handle  string // of the copy; also with NoRoom, where the run was stopped
}

// Step is what to do next.
type Step int

// The steps.
const (
	// Copy asks the source to copy the run while it goes on.
	Copy Step = iota + 1
	// Stop asks the source to stop the run and copy the rest.
	Stop
	// Wait waits for RetrySpan.
	Wait
	// Done: the move is over; see Places.
	Done
)

const (
	// RetrySpan is the pause before a run is looked for again that wasn't there
	// or was busy, or found no room: about the time of a token's step and its way.
	RetrySpan = 40 * mgclock.Millis(1)
	// maxWaits bounds these pauses. A run that has not begun after two seconds
	// is queued behind others on an engine that is about to go.
	maxWaits = 50
	// maxLost bounds the copies whose answer is lost. A copy takes 100 to 400 ms,
	// and the notice is one to two seconds.
	maxLost = 3
	// triesBeforePause is how many destinations without room are tried in a row before a
	// pause. They refuse within milliseconds, and where memory is nearly full some
	// becomes free ten times a second.
	triesBeforePause = 3
)

// A Move is the state of one run's move. The zero Move is at its beginning.
type Move struct {
	step        Step
	noRoomCount int // destinations without room, in all
	lostCount   int // copies whose answer was lost
	waitCount   int
	handle      string
	stopped     bool // the run was stopped, for certain
	copyUsable  bool // the destination has a copy that can be used
}

// Step returns what to do next.
func (m *Move) Step() Step {
	if m.step == 0 {
		return Copy
	}
	return m.step
}

// Handle returns the name of the newest copy, or "".
func (m *Move) Handle() string { return m.handle }

// Stopped reports whether the source has said that it stopped the run.
func (m *Move) Stopped() bool { return m.stopped }

// Waited tells that a pause is over.
func (m *Move) Waited() {
	if m.step == Wait {
		m.step = Copy
	}
}

// Take takes the source's answer to the step.
func (m *Move) Take(r Reply) {
	switch m.Step() {
	case Copy:
		m.handleCopyReply(r)
	case Stop:
		m.handleStopReply(r)
	}
}

// handleCopyReply takes the answer to a copy of a run that goes on. Nothing is lost
// yet, so that each failure may be tried again within its bounds.
func (m *Move) handleCopyReply(r Reply) {
	switch r.Outcome {
	case Copied:
		m.handle = r.Handle
		m.copyUsable = true
		m.step = Stop
	case NoRoom:
		m.noRoomCount++
		m.step = Copy
		if m.noRoomCount%triesBeforePause == 0 {
			m.pause()
		}
	case Lost:
		m.lostCount++
		m.step = Copy
		if m.lostCount >= maxLost {
			m.step = Done
		}
	default:
		m.pause()
	}
}

// pause waits before the next try, or gives up.
func (m *Move) pause() {
	m.waitCount++
	m.step = Wait
	if m.waitCount > maxWaits {
		m.step = Done
	}
}

// handleStopReply takes the answer to the stop.
func (m *Move) handleStopReply(r Reply) {
	m.step = Done
	switch r.Outcome {
	case Copied:
		m.handle = r.Handle
		m.stopped = true
	case NoRoom:
		// The last copy failed. The destination's older copy may be gone with
		// it; the source keeps the run's memory under the new name.
		if r.Handle != "" {
			m.handle = r.Handle
			m.stopped = true
			m.copyUsable = false
		}
	case Absent, Busy:
		m.copyUsable = false
	}
}

// A Place is where a generation can go on after its stream has ended without
// its end.
type Place int

// The places.
const (
	AtDestination Place = iota + 1
	AtSource
)

// Places returns where the generation can go on from Handle, the best first.
// Whoever holds its stream goes there only once the stream has ended: while it
// has not, the run may still go on.
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
