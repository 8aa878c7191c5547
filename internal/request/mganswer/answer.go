package mganswer

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgseal"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// kind separates answers' names from other signed names.
const kind = "answer"

// A Name locates an answer's generation.
type Name struct {
	agent       string
	incarnation string
	generation  string
}

// NewName returns the name of a generation held by an agent's incarnation.
func NewName(agent, incarnation, generation string) Name {
	return Name{
		agent:       agent,
		incarnation: incarnation,
		generation:  generation,
	}
}

// Agent returns the agent of the generation's upstream.
func (n Name) Agent() string { return n.agent }

// Incarnation returns the agent's incarnation that started the generation.
func (n Name) Incarnation() string { return n.incarnation }

// Generation returns the generation's ID at the engine.
func (n Name) Generation() string { return n.generation }

// A Signer signs names for client accounts. The names of the zero Signer are
// valid within one process only.
type Signer struct {
	own    mgseal.Signer
	shared *mgseal.Signer
}

// NewSigner returns a Signer that uses the keys shared by all processes.
func NewSigner(seal *mgseal.Signer) *Signer {
	return &Signer{
		shared: seal,
	}
}

// Sign returns the text of an answer's name for account.
func (s *Signer) Sign(account string, n Name) string {
	return s.signer().Sign(kind, account, n.agent, n.incarnation, n.generation)
}

// Open returns the name that was signed for account. Another account's name, a
// forged one and one that never existed give the same problem.
func (s *Signer) Open(account, text string) (Name, error) {
	fields, err := s.signer().Open(kind, account, text)
	if err != nil || len(fields) != 3 {
		return Name{}, missingProblem()
	}
	return NewName(fields[0], fields[1], fields[2]), nil
}

func (s *Signer) signer() *mgseal.Signer {
	if s.shared != nil {
		return s.shared
	}
	return &s.own
}

// FormatEventID returns the SSE ID of the event that ends with token seq.
func FormatEventID(answer string, seq uint64) string {
	return answer + "." + strconv.FormatUint(seq, 10)
}

// ParseEventID splits an SSE ID into the answer's name, which still has to be
// verified, and the number of the last token that the caller has.
func ParseEventID(id string) (answer string, seq uint64, err error) {
	answer, digits, found := strings.Cut(id, ".")
	if !found || answer == "" || len(answer) > mgseal.MaxText {
		return "", 0, invalidProblem()
	}
	seq, err = strconv.ParseUint(digits, 10, 64)
	if err != nil || FormatEventID(answer, seq) != id {
		return "", 0, invalidProblem()
	}
	return answer, seq, nil
}

func missingProblem() error {
	return mgproblem.New(mgproblem.NotFound, mgproblem.Unknown,
		"no such answer for this account",
		"use the name as it came, with the key of the account that asked")
}

func invalidProblem() error {
	return fmt.Errorf("event id: %w", mgproblem.New(mgproblem.Invalid, mgproblem.NotRun,
		"not the id of an event",
		"send Last-Event-ID as it came, <answer>.<number>"))
}
