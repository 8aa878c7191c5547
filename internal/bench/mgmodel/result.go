package mgmodel

// A Token is one token that a step produced.
type Token struct {
	id  string
	seq int
}

// ID returns the name of the token's sequence.
func (t Token) ID() string { return t.id }

// Seq returns the token's place in its sequence, from 1.
func (t Token) Seq() int { return t.seq }

// A Result tells what one step did. Its slices are valid until the engine's
// next step.
type Result struct {
	duration  float64
	tokens    []Token
	finished  []string
	preempted []string
}

// Duration returns how long the step took in ms, or 0 when there was nothing
// to run.
func (r Result) Duration() float64 { return r.duration }

// Tokens returns the tokens produced, in the order of the batch.
func (r Result) Tokens() []Token { return r.tokens }

// Finished returns the names of the sequences that ended with this step.
func (r Result) Finished() []string { return r.finished }

// Preempted returns the names of the sequences that lost their memory and
// wait again.
func (r Result) Preempted() []string { return r.preempted }
