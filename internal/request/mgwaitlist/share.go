package mgwaitlist

import "github.com/marjoramgauge/marjoramgauge/pkg/mgclock"

const (
	// overShareFactor is how many times an equal share of the recently granted memory an
	// account must have had for its requests to go behind others' of their size. With a
	// factor of 1 that would apply to every other request, and accounts that ask for
	// little leave their share to others.
	overShareFactor = 2.0
	// overShareWeight is the factor by which the product of memory and duration of such an
	// account's requests is multiplied where the waiting list is sorted. A short request of
	// the account still goes before the long ones of others: if it went behind all of
	// these, that would leave them little more memory, and the short request would be given
	// up.
	overShareWeight = 4
	// minActiveTokens is the minimum decayed sum of an account that counts as active,
	// tokens.
	minActiveTokens = 100.0
)

// shares is the memory that each account was granted recently. The zero shares is empty.
type shares struct {
	rates map[string]*grantRate
}

// add adds a grant of memory to an account.
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

// overShareAccounts returns the accounts that have had more than their share, where the
// memory is shared among those with recent grants and those that wait.
func (s *shares) overShareAccounts(now mgclock.Millis, requests []Request) map[string]bool {
	active := map[string]bool{}
	for _, r := range requests {
		active[r.Account] = true
	}
	total := 0.0
	for account, p := range s.rates {
		recent := p.decayedSum(now)
		if recent < minActiveTokens {
			delete(s.rates, account)
			continue
		}
		active[account] = true
		total += recent
	}
	over := map[string]bool{}
	for account, p := range s.rates {
		if p.decayedSum(now) > overShareFactor*total/float64(len(active)) {
			over[account] = true
		}
	}
	return over
}
