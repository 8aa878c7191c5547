package mgroom

import "github.com/marjoramgauge/marjoramgauge/pkg/mgclock"

const (
	// overShareFactor is how many times an equal share of the memory that was given lately
	// an account has to go behind others' requests of its size: with one it would go
	// behind at each second request, and accounts that ask for little leave their
	// share to others.
	overShareFactor = 2.0
	// overShareWeight is how many times as large the requests of such an account count.
	// A short note of its keeps its place before the reports of others, for which
	// it leaves little more; behind all of them it would be given up.
	overShareWeight = 4
	// minActiveTokens is the least weight of an account that counts as asking, tokens.
	minActiveTokens = 100.0
)

// shares is how much memory each account was given lately. The zero shares is
// empty.
type shares struct {
	rates map[string]*grantRate
}

// add takes that an account was given memory.
func (s *shares) add(now mgclock.Millis, account string, tokens int) {
	if s.rates == nil {
		s.rates = map[string]*grantRate{}
	}
	p := s.rates[account]
	if p == nil {
		p = &grantRate{}
		s.rates[account] = p
	}
	p.add(now, tokens)
}

// overUsers returns the accounts that have had more than their share, of those that had
// something lately and those that wait.
func (s *shares) overUsers(now mgclock.Millis, waits []Wait) map[string]bool {
	asking := map[string]bool{}
	for _, w := range waits {
		asking[w.Account] = true
	}
	total := 0.0
	for account, p := range s.rates {
		had := p.decayedSum(now)
		if had < minActiveTokens {
			delete(s.rates, account)
			continue
		}
		asking[account] = true
		total += had
	}
	over := map[string]bool{}
	for account, p := range s.rates {
		if p.decayedSum(now) > overShareFactor*total/float64(len(asking)) {
			over[account] = true
		}
	}
	return over
}
