package mgpace

import "github.com/marjoramgauge/marjoramgauge/pkg/mgclock"

// CloseMargin is the time before the end of a notice at which the last streams are
// closed, so that each caller hears of it while the process still lives: some
// heartbeats of a link.
const CloseMargin = 2 * mgclock.Second

// Action is what becomes of a stream of a leaving engine.
type Action string

// The fates.
const (
	Stay    Action = "stay"  // it goes on here
	Restart Action = "move"  // it is cancelled here and begun anew elsewhere
	Close   Action = "close" // it ends now, and its caller is told how far it came
)

// A Stream is one answer of a leaving engine.
type Stream struct {
	Remaining mgclock.Millis // until its expected end
	Delivered int            // tokens that its caller has
	Whole     bool           // its caller takes nothing but the whole answer
}

// ActionFor returns the fate of a stream on an engine that is gone at end. It is
// asked again as the stream goes on: an answer that was expected to end in time
// and does not is found out while there is time to move it.
func ActionFor(now, end mgclock.Millis, s Stream) Action {
	left := end - CloseMargin - now
	switch {
	case s.Remaining <= left:
		return Stay
	case s.Delivered == 0 || s.Whole:
		return Restart
	case left > 0:
		return Stay // it may yet end: lengths are unknown
	default:
		return Close
	}
}
