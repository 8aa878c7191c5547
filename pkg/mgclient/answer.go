package mgclient

// A Token is one token of an answer.
type Token struct {
	seq  uint64
	text string
}

// Seq returns the token's number, from 1.
func (t Token) Seq() uint64 { return t.seq }

// Text returns the token's text.
func (t Token) Text() string { return t.text }

// An Answer is what came of a request.
type Answer struct {
	name      string
	text      string
	end       string
	tokens    uint64
	starts    int
	resumes   int
	preempted int
}

// Name returns the answer's name, by which it can be resumed.
func (a Answer) Name() string { return a.name }

// Text returns the answer's tokens in one piece.
func (a Answer) Text() string { return a.text }

// End returns why the answer ended, such as "stop" or "length", or nothing
// when it isn't whole.
func (a Answer) End() string { return a.end }

// Tokens returns the number of tokens.
func (a Answer) Tokens() uint64 { return a.tokens }

// Starts returns how many times a generation was asked for. All but the last
// were attested not run.
func (a Answer) Starts() int { return a.starts }

// Resumes returns how many times the answer went on through a new connection.
func (a Answer) Resumes() int { return a.resumes }

// Preempted returns how many times the engine evicted the answer's generation.
func (a Answer) Preempted() int { return a.preempted }
