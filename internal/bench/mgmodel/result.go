package mgmodel

// Token is one token that a step produced.
type Token struct {
	id  string
	seq int
}

// ID returns the ID of the token's sequence.
func (t Token) ID() string { return t.id }

// Seq returns the token's position in its sequence, counted from 1.
func (t Token) Seq() int { return t.seq }

// Result describes the outcome of one step. Its slices are valid until the
// engine's next step.
type Result struct {
	duration  float64
	tokens    []Token
	finished  []string
	preempted []string
}

// Duration returns the duration of the step in ms, or 0 if nothing ran.
func (r Result) Duration() float64 { return r.duration }

// Tokens returns the tokens produced, in batch order.
func (r Result) Tokens() []Token { return r.tokens }

// Finished returns the IDs of the sequences that finished in this step.
func (r Result) Finished() []string { return r.finished }

// Preempted returns the IDs of the sequences that were preempted and wait
// again.
func (r Result) Preempted() []string { return r.preempted }
