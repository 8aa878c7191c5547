package mgshare

import (
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// demandSpan is the window over which demand is counted.
const demandWindow = contendedLeaseTTL

// openRate and openStreams stand for a cap that an account doesn't have: the
// table's bounds, finite so that sums stay numbers.
const (
	unlimitedRate    = 1e9
	unlimitedStreams = 1_000_000
)

// renewPart is the part of a lease's life, one in three, that is left when it is
// renewed. With one in four the slices of a contended account lapsed for a
// twentieth of the time between the end of a lease and its renewal.
const renewDivisor = 3

// A Holder keeps the leases of one entry. The zero Holder has none.
type Holder struct {
	accounts map[string]*heldLease
}

// held is the lease of one account, and what its callers ask for.
type heldLease struct {
	caps           Caps
	slice          Slice
	ttl            mgclock.Millis // of the lease, to tell when to renew it
	requestPending bool           // a request is under way
	retryAt        mgclock.Millis // not before
	running        int
	starts         window
	tokens         window
	lastDemandAt   mgclock.Millis
}

// window counts over the present and the last span.
type window struct {
	since             mgclock.Millis
	current, previous float64
}

func (w *window) add(now mgclock.Millis, x float64) {
	w.advance(now)
	w.current += x
}

// turn begins a new span when the present one is over.
func (w *window) advance(now mgclock.Millis) {
	elapsed := (now - w.since) / demandWindow
	if elapsed <= 0 {
		return
	}
	w.previous = 0
	if elapsed == 1 {
		w.previous = w.current
	}
	w.current = 0
	w.since += elapsed * demandWindow
}

// sum returns the greater of the two spans' counts.
func (w *window) count(now mgclock.Millis) float64 {
	w.advance(now)
	return max(w.current, w.previous)
}

// Want notes that a caller of an account asks for a start that is expected to
// cost some tokens.
func (h *Holder) RecordDemand(now mgclock.Millis, account string, caps Caps, tokens float64) {
	if h.accounts == nil {
		h.accounts = make(map[string]*heldLease)
	}
	a := h.accounts[account]
	if a == nil {
		a = &heldLease{}
		h.accounts[account] = a
	}
	a.caps = caps
	a.lastDemandAt = now
	a.starts.add(now, 1)
	a.tokens.add(now, tokens)
}

// Running notes how many streams of an account run.
func (h *Holder) SetRunning(account string, count int) {
	if a := h.accounts[account]; a != nil {
		a.running = count
	}
}

// Slice returns what the entry may use of an account: its lease while it lasts,
// and the fixed part. A cap of 0 stands for none and is not limited.
func (h *Holder) Slice(now mgclock.Millis, account string, caps Caps, entries int) Slice {
	slice := Slice{
		Rate:    fixedRate(caps.Rate, entries),
		Streams: fixedStreams(caps.Streams, entries),
		End:     now + contendedLeaseTTL,
	}
	if a := h.accounts[account]; a != nil && now < a.slice.End {
		slice.Rate += a.slice.Rate
		slice.Streams += a.slice.Streams
		slice.End = a.slice.End
	}
	if caps.Rate == 0 {
		slice.Rate = unlimitedRate
	}
	if caps.Streams == 0 {
		slice.Streams = unlimitedStreams
	}
	return slice
}

// Leased reports whether a lease of the account is valid.
func (h *Holder) HasLease(now mgclock.Millis, account string) bool {
	a := h.accounts[account]
	return a != nil && now < a.slice.End
}

// Due returns the accounts whose leases are to be asked for now. Accounts
// without demand are forgotten and cost nothing more.
func (h *Holder) DueAccounts(now mgclock.Millis) []string {
	var due []string
	for name, a := range h.accounts {
		if a.running == 0 && now >= a.lastDemandAt+idleAccountTTL {
			delete(h.accounts, name)
			continue
		}
		if !a.requestPending && now >= a.retryAt && now >= a.slice.End-a.ttl/renewDivisor {
			due = append(due, name)
		}
	}
	return due
}

// Ask returns the demand to send for an account, which counts as asked for.
func (h *Holder) StartRequest(now mgclock.Millis, account string) Demand {
	a := h.accounts[account]
	if a == nil {
		return Demand{}
	}
	a.requestPending = true
	starts := int(a.starts.count(now))
	return Demand{
		Rate:    a.tokens.count(now) * float64(mgclock.Second) / float64(demandWindow),
		Streams: a.running + starts,
		Running: a.running,
	}
}

// Granted takes the answer to a request sent at a time. The slice's End is a
// span. A nil slice stands for no answer.
func (h *Holder) HandleGrant(now, sent mgclock.Millis, account string, slice *Slice) {
	a := h.accounts[account]
	if a == nil {
		return
	}
	a.requestPending = false
	if slice == nil {
		a.retryAt = now + contendedLeaseTTL/renewDivisor/5
		return
	}
	a.retryAt = 0
	if end := sent + slice.End; end > a.slice.End || end > now {
		a.slice = *slice
		a.slice.End = end
		a.ttl = slice.End
	}
}

// Drop gives up all leases, as after a pause: by the clock that stood still they
// would seem valid.
func (h *Holder) DropLeases() {
	for _, a := range h.accounts {
		a.slice = Slice{}
		a.requestPending = false
	}
}

// Len returns the number of accounts that cost memory.
func (h *Holder) Len() int { return len(h.accounts) }
