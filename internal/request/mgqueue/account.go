package mgqueue

import "github.com/marjoramgauge/marjoramgauge/pkg/mgclock"

// account is a client account that waits or owes virtual time.
type account struct {
	name   string
	weight float64
	tag    float64
	credit float64 // tokens given back and not used up, see Charge
	serial uint64  // of its turn among equal tags, 0 while it doesn't wait
	order  heap[entry]
	count  [Levels]int
	place  int // in waiting or owing: an account is in one of them at most
}

// entry is a request that waits.
type entry struct {
	item     Item
	owner    *account
	rank     mgclock.Millis
	serial   uint64
	ordered  int // place in the owner's order
	expiring int // place in the queue's expiring
}

// account returns the account of a name, which it creates at the present
// virtual time.
func (q *Queue) account(name string) *account {
	if a := q.accounts[name]; a != nil {
		return a
	}
	var a *account
	if last := len(q.oldOwner) - 1; last >= 0 {
		a = q.oldOwner[last]
		q.oldOwner = q.oldOwner[:last]
	} else {
		a = &account{
			order: heap[entry]{
				less:  earlier,
				place: func(e *entry) *int { return &e.ordered },
			},
		}
	}
	a.name = name
	a.weight = 1
	a.tag = q.virtual
	q.accounts[name] = a
	return a
}

// entry returns an empty entry.
func (q *Queue) entry() *entry {
	last := len(q.oldEntry) - 1
	if last < 0 {
		return new(entry)
	}
	e := q.oldEntry[last]
	q.oldEntry = q.oldEntry[:last]
	return e
}

// add puts a request into its account's order.
func (q *Queue) add(a *account, now mgclock.Millis, item Item) {
	q.serial++
	idle := a.order.top() == nil
	e := q.entry()
	e.item = item
	e.owner = a
	e.rank = q.rank(now, item)
	e.serial = q.serial
	q.entries[item.ID] = e
	a.order.push(e)
	if idle {
		q.wake(a)
	} else {
		q.waiting.fix(a) // the priority of its next request may be another one
	}
	a.count[item.Priority]++
	q.backlog += item.Cost
	if item.Expiry > 0 {
		q.expiring.push(e)
	}
}

// take undoes add. The account is left where it is.
func (q *Queue) take(e *entry) Item {
	item := e.item
	a := e.owner
	a.order.remove(e)
	if a.order.top() == nil {
		q.waiting.remove(a)
	}
	q.expiring.remove(e)
	delete(q.entries, item.ID)
	a.count[item.Priority]--
	q.backlog -= item.Cost
	if len(q.entries) == 0 {
		q.backlog = 0 // no drift of the sum
	}
	*e = entry{}
	if len(q.oldEntry) < spares {
		q.oldEntry = append(q.oldEntry, e)
	}
	return item
}

// charge takes a request and charges its account. Only the one that was next
// moves the virtual time.
func (q *Queue) charge(e *entry) Item {
	a := e.owner
	if a == q.waiting.top() {
		q.virtual = max(q.virtual, q.key(a))
	}
	item := q.take(e)
	q.serial++
	a.serial = q.serial
	used := min(a.credit, item.Cost/2)
	a.credit -= used
	q.move(a, item.Cost-used)
	q.forgive()
	return item
}

// wake moves an account among those that wait. Its tag is never behind the
// present virtual time: idleness saves up no credit.
func (q *Queue) wake(a *account) {
	q.owing.remove(a)
	a.tag = max(a.tag, q.virtual)
	a.serial = q.serial
	q.waiting.push(a)
	q.weight += a.weight
}

// move shifts an account's tag by a cost and files it anew.
func (q *Queue) move(a *account, tokens float64) {
	a.tag += tokens / a.weight
	q.rest(a)
}

// rest files an account where it belongs after a change.
func (q *Queue) rest(a *account) {
	if a.order.top() != nil {
		q.waiting.fix(a)
		return
	}
	if a.serial > 0 { // it waited until now
		q.weight -= a.weight
		a.serial = 0
		if len(q.waiting.list) == 0 {
			q.weight = 0 // no drift of the sum
		}
	}
	switch {
	case a.tag <= q.virtual:
		q.drop(a)
	case a.place == 0:
		q.owing.push(a)
	default:
		q.owing.fix(a)
	}
}

// forgive drops the accounts whose tags the virtual time has reached.
func (q *Queue) forgive() {
	for a := q.owing.top(); a != nil && a.tag <= q.virtual; a = q.owing.top() {
		q.drop(a)
	}
}

// drop forgets an account that does not wait.
func (q *Queue) drop(a *account) {
	q.owing.remove(a)
	delete(q.accounts, a.name)
	order := a.order
	*a = account{
		order: order,
	}
	if len(q.oldOwner) < spares {
		q.oldOwner = append(q.oldOwner, a)
	}
}

// reweigh takes over a weight that an operator changed.
func (q *Queue) reweigh(a *account, weight float64) {
	if a.order.top() != nil {
		q.weight += weight - a.weight
	}
	a.weight = weight
}

// before returns the cost of the account's requests from place i of its order
// down that rank before a time, as far as visitable allows.
func (a *account) before(i int, rank mgclock.Millis, visits *int) float64 {
	if i >= len(a.order.list) || a.order.list[i].rank > rank || *visits == visitable {
		return 0
	}
	*visits++
	cost := a.order.list[i].item.Cost
	return cost + a.before(2*i+1, rank, visits) + a.before(2*i+2, rank, visits)
}

// rank orders the requests of one account by the time at which they are due,
// less a head start for the priority. It is fixed when a request comes, so each
// is passed by a bounded number of later ones.
func (q *Queue) rank(now mgclock.Millis, item Item) mgclock.Millis {
	due := item.Due
	if due <= 0 {
		due = now + Patience
	}
	return due - mgclock.Millis(item.Priority)*q.boost()
}

// sooner orders the accounts that wait by the key of their next requests, then
// in turn.
func (q *Queue) sooner(a, b *account) bool {
	x, y := q.key(a), q.key(b)
	if x != y {
		return x < y
	}
	return a.serial < b.serial
}

// key returns the tag of an account that waits, less the loan of its next
// request's priority.
func (q *Queue) key(a *account) float64 {
	return a.tag - q.lent(a.order.list[0].item.Priority, a.weight)
}

// lent returns the virtual time by which a request may start before its
// account's turn.
func (q *Queue) lent(priority int, weight float64) float64 {
	return float64(priority) * q.loan() / weight
}

// earlier orders the requests of one account.
func earlier(a, b *entry) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.serial < b.serial
}
