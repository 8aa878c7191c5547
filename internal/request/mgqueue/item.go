package mgqueue

import "github.com/marjoramgauge/marjoramgauge/pkg/mgclock"

// Spec holds the settings of a Queue. The zero Spec takes the defaults.
type Spec struct {
	Capacity int            // maximum number of waiting requests, 0 for DefaultCapacity
	Boost    mgclock.Millis // head start for each level of priority within an account, 0 for DefaultBoost
	Loan     float64        // tokens by which each level of priority is ahead of its account's turn, 0 for DefaultLoan, negative for none
}

// An Item is one waiting request.
type Item struct {
	ID       string
	Account  string
	Weight   float64        // the account's weight, 0 counts as 1
	Priority int            // 0 to Levels-1, higher goes first
	Cost     float64        // expected cost in tokens
	Due      mgclock.Millis // orders the account's requests, 0 for now plus DefaultDeadline
	Expiry   mgclock.Millis // when it can no longer be answered in time, 0 for never
}
