package mgroom

import "github.com/marjoramgauge/marjoramgauge/pkg/mgclock"

const (
	// overShare is how many times an equal share of the memory that was given lately
	// an account has to go behind others' requests of its size: with one it would go
	// behind at each second request, and accounts that ask for little leave their
	// share to others.
	overShare = 2.0
	// overWeight is how many times as large the requests of such an account count.
	// A short note of its keeps its place before the reports of others, for which
	// it leaves little more; behind all of them it would be given up.
	overWeight = 4
	// idleShare is the least weight of an account that counts as asking, tokens.
	idleShare = 100.0
)

// shares is how much memory each account was given lately. The zero shares is
// empty.
type shares struct {
	given map[string]*pace
}

// count takes that an account was given memory.
func (s *shares) count(now mgclock.Millis, account string, tokens int) {
	if s.given == nil {
		s.given = map[string]*pace{}
	}
	p := s.given[account]
	if p == nil {
		p = &pace{}
		s.given[account] = p
	}
	p.count(now, tokens)
}

// over returns the accounts that have had more than their share, of those that had
// something lately and those that wait.
func (s *shares) over(now mgclock.Millis, waits []Wait) map[string]bool {
	asking := map[string]bool{}
	for _, w := range waits {
		asking[w.Account] = true
	}
	total := 0.0
	for account, p := range s.given {
		had := p.now(now)
		if had < idleShare {
			delete(s.given, account)
			continue
		}
		asking[account] = true
		total += had
	}
	over := map[string]bool{}
	for account, p := range s.given {
		if p.now(now) > overShare*total/float64(len(asking)) {
			over[account] = true
		}
	}
	return over
}
