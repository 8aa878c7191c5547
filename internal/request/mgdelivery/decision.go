package mgdelivery

import "github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"

// Action is the entry's next step.
type Action uint8

// The actions.
const (
	// Wait: nothing new for the caller.
	Wait Action = iota
	// Deliver: send the decision's tokens to the caller.
	Deliver
	// Finish: send the decision's tokens and the end to the caller. The answer is
	// complete.
	Finish
	// Reopen: read the same generation again from the token after Receiver.Last, on
	// a new connection.
	Reopen
	// StartOver: start a new generation; the caller has received nothing.
	StartOver
	// Fail: report the decision's problem to the caller. Nothing follows it.
	Fail
)

// A Decision is the Receiver's reaction to an event.
type Decision struct {
	action  Action
	first   uint64
	tokens  []string
	end     string
	cancel  string
	problem *mgproblem.Problem
}

// Action returns the next step.
func (d Decision) Action() Action { return d.action }

// First returns the sequence number of the first of Tokens.
func (d Decision) First() uint64 { return d.first }

// Last returns the sequence number of the last of Tokens, which the SSE event's
// ID contains. It means nothing without Tokens.
func (d Decision) Last() uint64 { return d.first + uint64(len(d.tokens)) - 1 }

// Tokens returns the tokens to deliver, in order.
func (d Decision) Tokens() []string { return d.tokens }

// End returns the reason why the generation ended, with Finish.
func (d Decision) End() string { return d.end }

// Cancel returns the generation that the caller of the Receiver must cancel,
// because nobody will read it, or "". It cancels nothing itself.
func (d Decision) Cancel() string { return d.cancel }

// Problem returns the problem to report to the caller, with Fail.
func (d Decision) Problem() *mgproblem.Problem { return d.problem }
