package mgdelivery

import "github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"

// Action is what the entry does next.
type Action uint8

// The actions.
const (
	// Wait: nothing new for the caller.
	Wait Action = iota
	// Deliver: give the caller the decision's tokens.
	Deliver
	// Finish: give the caller the decision's tokens and the end. The answer is
	// whole.
	Finish
	// Reopen: read the same generation again from the token after Last, on a new
	// connection.
	Reopen
	// Elsewhere: start a new generation; the caller has had nothing.
	Elsewhere
	// Fail: tell the caller the decision's problem. It is the last word.
	Fail
)

// A Decision is the answer to an event.
type Decision struct {
	action  Action
	first   uint64
	tokens  []string
	end     string
	cancel  string
	problem *mgproblem.Problem
}

// Action returns what to do.
func (d Decision) Action() Action { return d.action }

// First returns the sequence number of the first of Tokens.
func (d Decision) First() uint64 { return d.first }

// Last returns the sequence number of the last of Tokens, with which an SSE
// event is named.
func (d Decision) Last() uint64 { return d.first + uint64(len(d.tokens)) - 1 }

// Tokens returns what the caller is given, in order.
func (d Decision) Tokens() []string { return d.tokens }

// End returns how the generation ended, with Finish.
func (d Decision) End() string { return d.end }

// Cancel returns the generation to be cancelled, since nobody will read it, or
// "".
func (d Decision) Cancel() string { return d.cancel }

// Problem returns what the caller is told, with Fail.
func (d Decision) Problem() *mgproblem.Problem { return d.problem }
