package mgqueue

import (
	"errors"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Levels is the number of priority levels.
const Levels = 4

// The defaults of a Spec. DefaultCapacity is some ten batches of a large engine. To work
// through that many takes longer than any deadline lets a request wait. DefaultBoost is the
// wait after which an operator assumes that a lookup is lost, so that a report gives way to
// lookups of the same deadline for that long and no longer; most of the order comes from
// the due times.
//
// DefaultLoan is what an account may be ahead of its share, in tokens. Without a loan,
// lookups beyond saturation wait for their account's turn; with a much larger one, heavy
// accounts get more than their share.
const (
	DefaultCapacity = 2048
	DefaultBoost    = 10 * mgclock.Second
	DefaultLoan     = 500
)

// DefaultDeadline is the assumed deadline, for the order within an account, of a request
// that has none.
const DefaultDeadline = mgclock.Minute

// maxSpares is the maximum number of freed entries and of freed accounts kept for reuse:
// enough for those that a burst frees and takes again, not for all at its peak.
const maxSpares = 1024

// maxAlternativeAccounts is the number of accounts that Alternatives considers: the upper
// levels of their heap.
const maxAlternativeAccounts = 15

// maxVisits is the maximum number of requests of one account that WorkAhead considers.
// Behind that many a deadline is missed in any case.
const maxVisits = 256

// The errors of Push.
var (
	ErrFull      = errors.New("mgqueue: the account's part of the queue is full: retry when it has drained")
	ErrDuplicate = errors.New("mgqueue: a request with this id is already waiting: give each attempt an id of its own")
)

// A Queue orders the requests that wait for one upstream. The zero Queue has the defaults
// of a Spec and is ready for use.
type Queue struct {
	spec         Spec
	virtualTime  float64 // largest key (see key) that an account first in the order had when its request left
	serial       uint64
	backlog      float64 // expected cost of all waiting requests
	totalWeight  float64 // of the accounts that wait
	accounts     map[string]*account
	entries      map[string]*entry
	waiting      heap[account] // accounts that wait, by key
	idleAhead    heap[account] // accounts that don't wait and have a tag ahead of virtualTime
	expiring     heap[entry]   // requests with an expiry
	freeEntries  []*entry
	freeAccounts []*account
}

// New returns an empty queue.
func New(spec Spec) *Queue {
	return &Queue{
		spec: spec,
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.entries) }

// Accounts returns the number of accounts held in memory.
func (q *Queue) Accounts() int { return len(q.accounts) }

// Backlog returns the expected cost in tokens of all waiting requests.
func (q *Queue) Backlog() float64 { return q.backlog }

// Push adds a request, or returns ErrFull or ErrDuplicate.
func (q *Queue) Push(now mgclock.Millis, item Item) error {
	q.init()
	if q.entries[item.ID] != nil {
		return ErrDuplicate
	}
	item = normalize(item)
	if !q.HasCapacity(item.Account, item.Priority) {
		return ErrFull
	}
	a := q.account(item.Account)
	q.setWeight(a, item.Weight)
	q.enqueue(a, now, item)
	return nil
}

// HasCapacity reports whether Push would accept a request of the account at a priority.
func (q *Queue) HasCapacity(name string, priority int) bool {
	free := q.capacity() - len(q.entries)
	held := 0
	if a := q.accounts[name]; a != nil {
		for l := clampPriority(priority); l < Levels; l++ {
			held += a.countByPriority[l]
		}
	}
	return held < free
}

// Peek returns the next request.
func (q *Queue) Peek() (Item, bool) {
	e := q.head()
	if e == nil {
		return Item{}, false
	}
	return e.item, true
}

// Pop removes the next request and charges its account the expected cost.
func (q *Queue) Pop() (Item, bool) {
	e := q.head()
	if e == nil {
		return Item{}, false
	}
	return q.charge(e), true
}

// Alternatives appends to dst requests that may overtake the next request: the first
// requests of some other accounts, and up to two further ones of the next request's own
// account.
func (q *Queue) Alternatives(dst []Item) []Item {
	for k, a := range q.waiting.items[:min(len(q.waiting.items), maxAlternativeAccounts)] {
		if k > 0 {
			dst = append(dst, a.requests.items[0].item)
			continue
		}
		for _, e := range a.requests.items[1:min(len(a.requests.items), 3)] {
			dst = append(dst, e.item)
		}
	}
	return dst
}

// Take removes a request, also out of turn, and charges its account the expected cost.
func (q *Queue) Take(id string) (Item, bool) {
	e := q.entries[id]
	if e == nil {
		return Item{}, false
	}
	return q.charge(e), true
}

// Charge corrects an account's virtual time by tokens: positive for a further charge,
// negative for a refund when an answer was shorter than expected. A refund to an account
// that waits is kept, and makes its next requests cheaper, down to half, until it is used
// up. If its tag were set back at once, it would fall behind those of all accounts that
// came in the meantime, and these would wait until it had caught up.
func (q *Queue) Charge(name string, weight, tokens float64) {
	q.init()
	a := q.accounts[name]
	if a == nil {
		if tokens <= 0 {
			return
		}
		a = q.account(name)
		a.weight = weightOrDefault(weight)
	}
	a.refund -= tokens
	if a.refund < 0 || a.serial == 0 {
		tokens = -a.refund
		a.refund = 0
		q.advanceTag(a, tokens)
	}
}

// Remove removes a waiting request without a charge.
func (q *Queue) Remove(id string) (Item, bool) {
	e := q.entries[id]
	if e == nil {
		return Item{}, false
	}
	a := e.account
	item := q.dequeue(e)
	q.reposition(a)
	return item, true
}

// Expire removes one request whose expiry has come.
func (q *Queue) Expire(now mgclock.Millis) (Item, bool) {
	e := q.expiring.top()
	if e == nil || e.item.Expiry > now {
		return Item{}, false
	}
	return q.Remove(e.item.ID)
}

// NextExpiry returns the earliest expiry of the waiting requests, or 0.
func (q *Queue) NextExpiry() mgclock.Millis {
	e := q.expiring.top()
	if e == nil {
		return 0
	}
	return e.item.Expiry
}

// WorkAhead returns the expected cost in tokens of what would be served before item if it
// came now: the whole backlog, or less where the account's share or the item's rank within
// the account brings it to the front sooner.
func (q *Queue) WorkAhead(now mgclock.Millis, item Item) float64 {
	item = normalize(item)
	total := q.totalWeight
	virtualDelay := 0.0
	a := q.accounts[item.Account]
	if a == nil || a.requests.top() == nil {
		total += item.Weight
	}
	if a != nil {
		visits := 0
		virtualDelay = a.tag - q.virtualTime + a.costBefore(0, q.rank(now, item), &visits)/item.Weight
		virtualDelay = max(0, virtualDelay-q.priorityLoan(item.Priority, item.Weight))
	}
	return min(q.backlog, virtualDelay*total)
}

// EndBusyPeriod ends the busy period, when nothing waits and nothing runs: every account
// starts the next one with the same tag.
func (q *Queue) EndBusyPeriod() {
	if len(q.entries) > 0 || len(q.accounts) == 0 {
		return
	}
	for len(q.idleAhead.items) > 0 {
		q.virtualTime = max(q.virtualTime, q.idleAhead.top().tag)
		q.drop(q.idleAhead.top())
	}
}

func (q *Queue) init() {
	if q.accounts != nil {
		return
	}
	q.accounts = make(map[string]*account)
	q.entries = make(map[string]*entry)
	index := func(a *account) *int { return &a.heapIndex }
	q.waiting = heap[account]{
		less:  q.accountLess,
		index: index,
	}
	q.idleAhead = heap[account]{
		less:  func(a, b *account) bool { return a.tag < b.tag },
		index: index,
	}
	q.expiring = heap[entry]{
		less:  func(a, b *entry) bool { return a.item.Expiry < b.item.Expiry },
		index: func(e *entry) *int { return &e.expiryIndex },
	}
}

// head returns the next entry, or nil.
func (q *Queue) head() *entry {
	a := q.waiting.top()
	if a == nil {
		return nil
	}
	return a.requests.top()
}

func (q *Queue) capacity() int {
	if q.spec.Capacity > 0 {
		return q.spec.Capacity
	}
	return DefaultCapacity
}

func (q *Queue) loan() float64 {
	if q.spec.Loan != 0 {
		return max(q.spec.Loan, 0)
	}
	return DefaultLoan
}

func (q *Queue) boost() mgclock.Millis {
	if q.spec.Boost > 0 {
		return q.spec.Boost
	}
	return DefaultBoost
}

func normalize(item Item) Item {
	item.Weight = weightOrDefault(item.Weight)
	item.Priority = clampPriority(item.Priority)
	item.Cost = max(item.Cost, 0)
	return item
}

func clampPriority(priority int) int { return min(max(priority, 0), Levels-1) }

func weightOrDefault(weight float64) float64 {
	if weight > 0 {
		return weight
	}
	return 1
}
