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

// An Answer is the result of a request, complete or not.
type Answer struct {
	name      string
	text      string
	end       string
	tokens    uint64
	starts    int
	resumes   int
	preempted int
}

// Name returns the answer's name, which identifies it for Resume.
func (a Answer) Name() string { return a.name }

// Text returns the concatenated text of the tokens.
func (a Answer) Text() string { return a.text }

// EndReason returns the reason why the answer ended, such as "stop" or "length", or ""
// when the answer is incomplete.
func (a Answer) EndReason() string { return a.end }

// Tokens returns the number of tokens.
func (a Answer) Tokens() uint64 { return a.tokens }

// StartCount returns how many times a generation was requested. For all but the last
// request, the system attested that no generation ran.
func (a Answer) StartCount() int { return a.starts }

// ResumeCount returns how many times the answer was resumed on a new connection.
func (a Answer) ResumeCount() int { return a.resumes }

// PreemptionCount returns how many times the engine evicted the answer's generation.
func (a Answer) PreemptionCount() int { return a.preempted }
