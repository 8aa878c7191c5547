package mgpace

import "github.com/marjoramgauge/marjoramgauge/pkg/mgclock"

// CloseMargin is how long before the end of a notice the last streams are
// closed, so that their callers are informed while the process is still alive:
// several heartbeats of a link.
const CloseMargin = 2 * mgclock.Second

// Action is what to do with a stream of a leaving engine.
type Action string

// The actions.
const (
	Stay    Action = "stay"  // continue it at this engine
	Restart Action = "move"  // cancel it and restart it at another engine
	Close   Action = "close" // end it now and report to its caller how much was delivered
)

// A Stream is one answer that a leaving engine is generating.
type Stream struct {
	Remaining mgclock.Millis // until its expected end
	Delivered int            // tokens that the caller has received
	Whole     bool           // the caller accepts only the complete answer
}

// ActionFor returns the action for a stream of an engine that will be gone at
// end. Call it repeatedly while the stream runs: an answer that takes longer
// than expected is then detected while there is time to restart it.
func ActionFor(now, end mgclock.Millis, s Stream) Action {
	left := end - CloseMargin - now
	switch {
	case s.Remaining <= left:
		return Stay
	case s.Delivered == 0 || s.Whole:
		return Restart
	case left > 0:
		return Stay // it may still finish: answer lengths are unknown
	default:
		return Close
	}
}
