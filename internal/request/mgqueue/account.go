package mgqueue

import "github.com/marjoramgauge/marjoramgauge/pkg/mgclock"

// account is a client account that has waiting requests or a tag ahead of the virtual time.
type account struct {
	name            string
	weight          float64
	tag             float64
	refund          float64 // refunded tokens not used up; see Charge
	serial          uint64  // breaks ties between tags in the order of service; 0 means that it doesn't wait
	requests        heap[entry]
	countByPriority [Levels]int
	heapIndex       int // in waiting or idleAhead: an account is in one of them at most
}

// entry is a waiting request. It isn't an entry in the sense of a process.
type entry struct {
	item         Item
	account      *account
	rank         mgclock.Millis
	serial       uint64
	accountIndex int // heap index in the account's requests
	expiryIndex  int // heap index in the queue's expiring
}

// account returns the account of a name. It creates it at the current virtual time where
// there is none.
func (q *Queue) account(name string) *account {
	if a := q.accounts[name]; a != nil {
		return a
	}
	var a *account
	if last := len(q.freeAccounts) - 1; last >= 0 {
		a = q.freeAccounts[last]
		q.freeAccounts = q.freeAccounts[:last]
	} else {
		a = &account{
			requests: heap[entry]{
				less:  entryLess,
				index: func(e *entry) *int { return &e.accountIndex },
			},
		}
	}
	a.name = name
	a.weight = 1
	a.tag = q.virtualTime
	q.accounts[name] = a
	return a
}

// entry returns an empty entry.
func (q *Queue) entry() *entry {
	last := len(q.freeEntries) - 1
	if last < 0 {
		return new(entry)
	}
	e := q.freeEntries[last]
	q.freeEntries = q.freeEntries[:last]
	return e
}

// enqueue adds a request to its account's requests.
func (q *Queue) enqueue(a *account, now mgclock.Millis, item Item) {
	q.serial++
	wasIdle := a.requests.top() == nil
	e := q.entry()
	e.item = item
	e.account = a
	e.rank = q.rank(now, item)
	e.serial = q.serial
	q.entries[item.ID] = e
	a.requests.push(e)
	if wasIdle {
		q.activate(a)
	} else {
		q.waiting.fix(a) // the priority of its next request may have changed
	}
	a.countByPriority[item.Priority]++
	q.backlog += item.Cost
	if item.Expiry > 0 {
		q.expiring.push(e)
	}
}

// dequeue reverses enqueue. It doesn't reposition the account.
func (q *Queue) dequeue(e *entry) Item {
	item := e.item
	a := e.account
	a.requests.remove(e)
	if a.requests.top() == nil {
		q.waiting.remove(a)
	}
	q.expiring.remove(e)
	delete(q.entries, item.ID)
	a.countByPriority[item.Priority]--
	q.backlog -= item.Cost
	if len(q.entries) == 0 {
		q.backlog = 0 // avoids drift of the sum
	}
	*e = entry{}
	if len(q.freeEntries) < maxSpares {
		q.freeEntries = append(q.freeEntries, e)
	}
	return item
}

// charge dequeues a request and charges its account the expected cost, which Charge
// corrects later. Only the request that was next advances the virtual time.
func (q *Queue) charge(e *entry) Item {
	a := e.account
	if a == q.waiting.top() {
		q.virtualTime = max(q.virtualTime, q.key(a))
	}
	item := q.dequeue(e)
	q.serial++
	a.serial = q.serial
	used := min(a.refund, item.Cost/2)
	a.refund -= used
	q.advanceTag(a, item.Cost-used)
	q.dropReached()
	return item
}

// activate moves an account to those that wait. Its tag is never behind the current
// virtual time: an account gains nothing by being idle.
func (q *Queue) activate(a *account) {
	q.idleAhead.remove(a)
	a.tag = max(a.tag, q.virtualTime)
	a.serial = q.serial
	q.waiting.push(a)
	q.totalWeight += a.weight
}

// advanceTag adds a cost to an account's tag and repositions the account.
func (q *Queue) advanceTag(a *account, tokens float64) {
	a.tag += tokens / a.weight
	q.reposition(a)
}

// reposition moves an account to the heap where it belongs after a change, or drops it.
func (q *Queue) reposition(a *account) {
	if a.requests.top() != nil {
		q.waiting.fix(a)
		return
	}
	if a.serial > 0 { // it waited until now
		q.totalWeight -= a.weight
		a.serial = 0
		if len(q.waiting.items) == 0 {
			q.totalWeight = 0 // avoids drift of the sum
		}
	}
	switch {
	case a.tag <= q.virtualTime:
		q.drop(a)
	case a.heapIndex == 0:
		q.idleAhead.push(a)
	default:
		q.idleAhead.fix(a)
	}
}

// dropReached drops the accounts whose tags the virtual time has reached.
func (q *Queue) dropReached() {
	for a := q.idleAhead.top(); a != nil && a.tag <= q.virtualTime; a = q.idleAhead.top() {
		q.drop(a)
	}
}

// drop removes an account that has no waiting request.
func (q *Queue) drop(a *account) {
	q.idleAhead.remove(a)
	delete(q.accounts, a.name)
	requests := a.requests
	*a = account{
		requests: requests,
	}
	if len(q.freeAccounts) < maxSpares {
		q.freeAccounts = append(q.freeAccounts, a)
	}
}

// setWeight changes an account's weight: an operator may have changed the setting.
func (q *Queue) setWeight(a *account, weight float64) {
	if a.requests.top() != nil {
		q.totalWeight += weight - a.weight
	}
	a.weight = weight
}

// costBefore returns the cost of those of the account's requests whose rank (a time) is at
// most a given rank. It considers the subtree of their heap at index i. It visits at most
// maxVisits requests.
func (a *account) costBefore(i int, rank mgclock.Millis, visits *int) float64 {
	if i >= len(a.requests.items) || a.requests.items[i].rank > rank || *visits == maxVisits {
		return 0
	}
	*visits++
	cost := a.requests.items[i].item.Cost
	return cost + a.costBefore(2*i+1, rank, visits) + a.costBefore(2*i+2, rank, visits)
}

// rank orders the requests of one account by the time at which they are due, less a head
// start for the priority. It is fixed when a request comes, so that each request is
// overtaken by a bounded number of later ones.
func (q *Queue) rank(now mgclock.Millis, item Item) mgclock.Millis {
	due := item.Due
	if due <= 0 {
		due = now + DefaultDeadline
	}
	return due - mgclock.Millis(item.Priority)*q.boost()
}

// accountLess orders the accounts that wait by the key of their next requests, and where
// these are equal by how long ago they were served or began to wait (round robin).
func (q *Queue) accountLess(a, b *account) bool {
	x, y := q.key(a), q.key(b)
	if x != y {
		return x < y
	}
	return a.serial < b.serial
}

// key returns the tag of an account that waits, less the lead of its next request's
// priority.
func (q *Queue) key(a *account) float64 {
	return a.tag - q.priorityLoan(a.requests.items[0].item.Priority, a.weight)
}

// priorityLoan returns the loan of a priority: the virtual time by which a request of a
// priority may start before its account's turn.
func (q *Queue) priorityLoan(priority int, weight float64) float64 {
	return float64(priority) * q.loan() / weight
}

// entryLess orders the requests of one account.
func entryLess(a, b *entry) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.serial < b.serial
}
