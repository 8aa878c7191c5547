package mgshare

import (
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// demandWindow is the window over which demand is counted.
const demandWindow = contendedLeaseTTL

// unlimitedRate and unlimitedStreams replace a cap that an account doesn't have: the
// table's bounds, finite so that sums stay finite.
const (
	unlimitedRate    = 1e9
	unlimitedStreams = 1_000_000
)

// renewDivisor gives the remaining part of a lease's TTL, one in three, at which it is
// renewed. With one in four, the slices of a contended account lapsed for a twentieth
// of the time between the end of a lease and its renewal.
const renewDivisor = 3

// A Holder holds the leases of one entry. The zero Holder has none.
type Holder struct {
	accounts map[string]*heldLease
}

// heldLease is the lease of one account and the demand of its callers.
type heldLease struct {
	caps           Caps
	slice          Slice
	ttl            mgclock.Millis // of the lease, to compute when to renew it
	requestPending bool           // a request is in progress
	retryAt        mgclock.Millis // earliest time of the next request
	running        int
	starts         window
	tokens         window
	lastDemandAt   mgclock.Millis
}

// window counts over the current and the previous demandWindow.
type window struct {
	since             mgclock.Millis
	current, previous float64
}

func (w *window) add(now mgclock.Millis, x float64) {
	w.advance(now)
	w.current += x
}

// advance starts a new window when the current one is over.
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

// count returns the greater count of the two windows.
func (w *window) count(now mgclock.Millis) float64 {
	w.advance(now)
	return max(w.current, w.previous)
}

// RecordDemand records that a caller of an account requests a start that is expected to
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

// SetRunning sets how many streams of an account run.
func (h *Holder) SetRunning(account string, count int) {
	if a := h.accounts[account]; a != nil {
		a.running = count
	}
}

// Slice returns what the entry may use of an account: its lease while that is valid,
// plus the fixed part. A cap of 0 means no limit.
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

// HasLease reports whether a lease of the account is valid.
func (h *Holder) HasLease(now mgclock.Millis, account string) bool {
	a := h.accounts[account]
	return a != nil && now < a.slice.End
}

// DueAccounts returns the accounts whose leases must be requested now. Accounts without
// demand are dropped and cost nothing more.
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

// StartRequest returns the demand to send for an account and marks its request as in
// progress.
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

// HandleGrant handles the answer to a request that was sent at a given time. The
// slice's End is a duration. A nil slice means no answer.
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

// DropLeases gives up all leases, as after a pause: by a clock that stopped they would
// seem valid.
func (h *Holder) DropLeases() {
	for _, a := range h.accounts {
		a.slice = Slice{}
		a.requestPending = false
	}
}

// Len returns the number of accounts held in memory.
func (h *Holder) Len() int { return len(h.accounts) }
