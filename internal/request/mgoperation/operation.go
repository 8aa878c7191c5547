package mgoperation

import (
	"strconv"
	"sync/atomic"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgseal"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// kind separates operation IDs from other signed names.
const kind = "operation"

// An Operation is the content of a minted ID: a write that only one incarnation
// of one agent may run.
type Operation struct {
	agent       string
	incarnation string
	service     string
	stamp       mgclock.Millis
	number      uint64
}

// Agent returns the agent that runs it.
func (o Operation) Agent() string { return o.agent }

// Incarnation returns the only incarnation of the agent that may run it.
func (o Operation) Incarnation() string { return o.incarnation }

// Service returns the service it is for.
func (o Operation) Service() string { return o.service }

// Stamp returns the agent's time when it was minted.
func (o Operation) Stamp() mgclock.Millis { return o.stamp }

// A Minter mints the operation IDs of one incarnation of an agent.
type Minter struct {
	seal        *mgseal.Signer
	agent       string
	incarnation string
	number      atomic.Uint64
}

// NewMinter returns the minter of an agent's incarnation.
func NewMinter(seal *mgseal.Signer, agent, incarnation string) *Minter {
	return &Minter{
		seal:        seal,
		agent:       agent,
		incarnation: incarnation,
	}
}

// Mint returns a new operation ID for account and service. It stores nothing:
// the ID itself says when it was minted and by whom.
func (m *Minter) Mint(account, service string, now mgclock.Millis) string {
	return m.seal.Sign(kind, account,
		m.agent,
		m.incarnation,
		service,
		strconv.FormatInt(int64(now), 10),
		strconv.FormatUint(m.number.Add(1), 10))
}

// Open returns the operation that text names, if it was minted for account and
// service. Any other text gives the problem NotFound.
func Open(seal *mgseal.Signer, account, service, text string) (Operation, error) {
	fields, err := seal.Open(kind, account, text)
	if err != nil || len(fields) != 5 || fields[2] != service {
		return Operation{}, problemMissing()
	}
	stamp, err := strconv.ParseInt(fields[3], 10, 64)
	if err != nil {
		return Operation{}, problemMissing()
	}
	number, err := strconv.ParseUint(fields[4], 10, 64)
	if err != nil {
		return Operation{}, problemMissing()
	}
	return Operation{
		agent:       fields[0],
		incarnation: fields[1],
		service:     fields[2],
		stamp:       mgclock.Millis(stamp),
		number:      number,
	}, nil
}

// Check refuses an operation that another incarnation minted. It may have run
// there, so the outcome is Unknown; it is never run here, because it may still
// be running there.
func (m *Minter) Check(o Operation) *mgproblem.Problem {
	if o.agent == m.agent && o.incarnation == m.incarnation {
		return nil
	}
	return mgproblem.New(mgproblem.Incarnation, mgproblem.Unknown,
		"the process that keeps this operation's record was replaced",
		"look in the service itself whether it ran; mint a new id only then")
}

func problemMissing() error {
	return mgproblem.New(mgproblem.NotFound, mgproblem.Unknown,
		"no such operation for this account and service",
		"use the id as it was minted, with the key of the account that asked")
}
