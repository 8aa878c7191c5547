package mgshare

import (
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// demandSpan is the window over which demand is counted.
const demandSpan = leaseShort

// openRate and openStreams stand for a cap that an account doesn't have: the
// table's bounds, finite so that sums stay numbers.
const (
	openRate    = 1e9
	openStreams = 1_000_000
)

// renewPart is the part of a lease's life, one in three, that is left when it is
// renewed. With one in four the slices of a contended account lapsed for a
// twentieth of the time between the end of a lease and its renewal.
const renewPart = 3

// A Holder keeps the leases of one entry. The zero Holder has none.
type Holder struct {
	accounts map[string]*held
}

// held is the lease of one account, and what its callers ask for.
type held struct {
	caps    Caps
	slice   Slice
	life    mgclock.Millis // of the lease, to tell when to renew it
	asked   bool           // a request is under way
	retry   mgclock.Millis // not before
	running int
	starts  window
	tokens  window
	seen    mgclock.Millis
}

// window counts over the present and the last span.
type window struct {
	since       mgclock.Millis
	now, before float64
}

func (w *window) add(now mgclock.Millis, x float64) {
	w.turn(now)
	w.now += x
}

// turn begins a new span when the present one is over.
func (w *window) turn(now mgclock.Millis) {
	spans := (now - w.since) / demandSpan
	if spans <= 0 {
		return
	}
	w.before = 0
	if spans == 1 {
		w.before = w.now
	}
	w.now = 0
	w.since += spans * demandSpan
}

// sum returns the greater of the two spans' counts.
func (w *window) sum(now mgclock.Millis) float64 {
	w.turn(now)
	return max(w.now, w.before)
}

// Want notes that a caller of an account asks for a start that is expected to
// cost some tokens.
func (h *Holder) Want(now mgclock.Millis, account string, caps Caps, tokens float64) {
	if h.accounts == nil {
		h.accounts = make(map[string]*held)
	}
	a := h.accounts[account]
	if a == nil {
		a = &held{}
		h.accounts[account] = a
	}
	a.caps = caps
	a.seen = now
	a.starts.add(now, 1)
	a.tokens.add(now, tokens)
}

// Running notes how many streams of an account run.
func (h *Holder) Running(account string, count int) {
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
		End:     now + leaseShort,
	}
	if a := h.accounts[account]; a != nil && now < a.slice.End {
		slice.Rate += a.slice.Rate
		slice.Streams += a.slice.Streams
		slice.End = a.slice.End
	}
	if caps.Rate == 0 {
		slice.Rate = openRate
	}
	if caps.Streams == 0 {
		slice.Streams = openStreams
	}
	return slice
}

// Leased reports whether a lease of the account is valid.
func (h *Holder) Leased(now mgclock.Millis, account string) bool {
	a := h.accounts[account]
	return a != nil && now < a.slice.End
}

// Due returns the accounts whose leases are to be asked for now. Accounts
// without demand are forgotten and cost nothing more.
func (h *Holder) Due(now mgclock.Millis) []string {
	var due []string
	for name, a := range h.accounts {
		if a.running == 0 && now >= a.seen+forgetSpan {
			delete(h.accounts, name)
			continue
		}
		if !a.asked && now >= a.retry && now >= a.slice.End-a.life/renewPart {
			due = append(due, name)
		}
	}
	return due
}

// Ask returns the demand to send for an account, which counts as asked for.
func (h *Holder) Ask(now mgclock.Millis, account string) Demand {
	a := h.accounts[account]
	if a == nil {
		return Demand{}
	}
	a.asked = true
	starts := int(a.starts.sum(now))
	return Demand{
		Rate:    a.tokens.sum(now) * float64(mgclock.Second) / float64(demandSpan),
		Streams: a.running + starts,
		Running: a.running,
	}
}

// Granted takes the answer to a request sent at a time. The slice's End is a
// span. A nil slice stands for no answer.
func (h *Holder) Granted(now, sent mgclock.Millis, account string, slice *Slice) {
	a := h.accounts[account]
	if a == nil {
		return
	}
	a.asked = false
	if slice == nil {
		a.retry = now + leaseShort/renewPart/5
		return
	}
	a.retry = 0
	if end := sent + slice.End; end > a.slice.End || end > now {
		a.slice = *slice
		a.slice.End = end
		a.life = slice.End
	}
}

// Drop gives up all leases, as after a pause: by the clock that stood still they
// would seem valid.
func (h *Holder) Drop() {
	for _, a := range h.accounts {
		a.slice = Slice{}
		a.asked = false
	}
}

// Len returns the number of accounts that cost memory.
func (h *Holder) Len() int { return len(h.accounts) }
