package mgshare

import (
	"math"
	"sort"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// contendedLeaseTTL is the TTL of a lease while an account's demand is near its
	// cap, so that slices follow the demand; uncontendedLeaseTTL applies otherwise, so
	// that the many accounts that are far from their caps cost few messages.
	contendedLeaseTTL   = 2 * mgclock.Second
	uncontendedLeaseTTL = 10 * mgclock.Second
	// scarceLeaseTTL is the TTL of a lease of less than the entry's fair share, so that
	// the entry requests again as soon as the rest is free.
	scarceLeaseTTL = 600 * mgclock.Millis(1)
	// reservedShare is the share of a cap that all entries together may use without a
	// lease. It is what remains to an account whose home is lost.
	reservedShare = 0.1
	// idleAccountTTL is how long an account without demand is kept.
	idleAccountTTL = 10 * mgclock.Second
)

// Caps are an account's caps in the table; 0 means no cap.
type Caps struct {
	Rate    float64 // tokens/s
	Streams int     // concurrent
}

// Demand is what an entry's callers asked for recently.
type Demand struct {
	Rate    float64 // tokens/s
	Streams int     // wanted, including running ones
	Running int     // running streams
}

// Slice is a part of an account's caps until a time.
type Slice struct {
	Rate    float64 // tokens/s
	Streams int     // concurrent
	End     mgclock.Millis
}

// A Home leases the caps of the slots of which it is home. The zero Home has leased
// nothing.
type Home struct {
	slots    [slotCount]homeSlot
	accounts map[string]*accountLeases
}

// homeSlot holds a slot's witnesses and their votes.
type homeSlot struct {
	witnesses         []string
	witnessHash       uint64
	previousWitnesses []string       // the witnesses before the last change
	changedAt         mgclock.Millis // time when the witnesses changed
	votes             map[string]voteState
}

// voteState is a witness's last vote, dated by when it was requested.
type voteState struct {
	sentAt       mgclock.Millis
	granted      bool
	requestedAt  mgclock.Millis
	wasRequested bool
}

// accountLeases holds the leases of an account, by entry.
type accountLeases struct {
	holders       map[string]*grant
	lastRequestAt mgclock.Millis
}

// grant holds what one entry may hold: one of the slices that have not ended. Which of
// them is unknown, because replies get lost and overtake each other.
type grant struct {
	demand Demand
	slices []Slice // End is an absolute time here
}

// VoteRequest is a request of a home for a witness's votes.
type VoteRequest struct {
	Witness       string
	Addr          string
	Slots         []int
	WitnessHashes []uint64
}

// VoteRequests returns the requests that are due before the accounts can be leased.
func (h *Home) VoteRequests(now mgclock.Millis, ring *Ring, accounts []string) []VoteRequest {
	byWitness := make(map[string]*VoteRequest)
	var order []string
	done := make(map[int]bool)
	for _, account := range accounts {
		slot := slotOf(account)
		if done[slot] {
			continue
		}
		done[slot] = true
		s := h.slot(now, ring, slot)
		for _, m := range ring.witnesses[slot] {
			if !s.shouldRequestVote(now, m.Name()) {
				continue
			}
			a := byWitness[m.Name()]
			if a == nil {
				a = &VoteRequest{
					Witness: m.Name(),
					Addr:    m.PeerAddr(),
				}
				byWitness[m.Name()] = a
				order = append(order, m.Name())
			}
			a.Slots = append(a.Slots, slot)
			a.WitnessHashes = append(a.WitnessHashes, ring.witnessHashes[slot])
		}
	}
	requests := make([]VoteRequest, 0, len(order))
	for _, name := range order {
		requests = append(requests, *byWitness[name])
	}
	return requests
}

// shouldRequestVote reports whether a vote of a witness must be requested now, and
// records that it is.
func (s *homeSlot) shouldRequestVote(now mgclock.Millis, witness string) bool {
	v := s.votes[witness]
	isFresh := v.granted && now < v.sentAt+voteRenewAge
	if isFresh || v.wasRequested && now < v.requestedAt+voteRetryInterval {
		return false
	}
	v.requestedAt = now
	v.wasRequested = true
	s.votes[witness] = v
	return true
}

// slot returns a slot, updated to the witnesses in the ring.
func (h *Home) slot(now mgclock.Millis, ring *Ring, slot int) *homeSlot {
	s := &h.slots[slot]
	if s.votes == nil {
		s.votes = make(map[string]voteState)
	}
	if s.witnessHash != ring.witnessHashes[slot] {
		s.previousWitnesses = s.witnesses
		s.witnesses = memberNames(ring.witnesses[slot])
		s.witnessHash = ring.witnessHashes[slot]
		s.changedAt = now
	}
	return s
}

// RecordVotes records a witness's answer to a request that was sent at a given time.
func (h *Home) RecordVotes(sent mgclock.Millis, witness string, requested, granted []int) {
	for _, slot := range requested {
		s := &h.slots[slot]
		if s.votes == nil {
			continue
		}
		v := s.votes[witness]
		for _, y := range granted {
			if y == slot {
				v.granted = true
				v.sentAt = max(v.sentAt, sent)
			}
		}
		s.votes[witness] = v
	}
}

// voteFraction returns the fraction of the caps up to which leases that end at a given
// time may be granted. While the witnesses change, the lesser fraction of both sets
// counts.
func (s *homeSlot) voteFraction(now, end mgclock.Millis) float64 {
	fraction := s.fractionOf(s.witnesses, end)
	if len(s.previousWitnesses) > 0 && now < s.changedAt+voteTTL {
		fraction = min(fraction, s.fractionOf(s.previousWitnesses, end))
	}
	return fraction
}

func (s *homeSlot) fractionOf(witnesses []string, end mgclock.Millis) float64 {
	if len(witnesses) == 0 {
		return 0
	}
	count := 0
	for _, name := range witnesses {
		if v := s.votes[name]; v.granted && end <= v.sentAt+voteTTL {
			count++
		}
	}
	return float64(count) / float64(len(witnesses))
}

// Grant leases a slice to an entry. The slice's End is a duration from now.
func (h *Home) Grant(now mgclock.Millis, ring *Ring, entry, account string, caps Caps, demand Demand) Slice {
	s := h.slot(now, ring, slotOf(account))
	a := h.account(now, account)
	g := a.holders[entry]
	if g == nil {
		g = &grant{}
		a.holders[entry] = g
	}
	g.demand = demand
	ttl := a.ttl(caps)
	fraction := s.voteFraction(now, now+ttl)
	rate, streams := a.available(now, entry, caps, fraction, ring.entryCount)
	fairRate := a.maxMinRate(entry, caps.Rate*(1-reservedShare)*fraction)
	fairStreams := a.maxMinStreams(entry, leasable(caps.Streams, fraction, ring.entryCount))
	slice := Slice{
		Rate:    min(rate, fairRate),
		Streams: min(streams, max(demand.Running, fairStreams)),
		End:     ttl,
	}
	if fraction < 1 || slice.Rate < fairRate || slice.Streams < fairStreams {
		// The slices that others still hold become free as their leases end.
		slice.End = scarceLeaseTTL
	}
	g.addSlice(now, slice)
	return slice
}

// addSlice records a slice that the entry may hold from now on.
func (g *grant) addSlice(now mgclock.Millis, slice Slice) {
	g.dropExpired(now)
	slice.End += now
	g.slices = append(g.slices, slice)
}

// dropExpired drops the slices that have ended.
func (g *grant) dropExpired(now mgclock.Millis) {
	kept := g.slices[:0]
	for _, s := range g.slices {
		if now < s.End {
			kept = append(kept, s)
		}
	}
	g.slices = kept
}

// maxHeld returns the maximum that the entry may hold.
func (g *grant) maxHeld(now mgclock.Millis) (rate float64, streams int) {
	for _, s := range g.slices {
		if now < s.End {
			rate = max(rate, s.Rate)
			streams = max(streams, s.Streams)
		}
	}
	return rate, streams
}

// available returns what the slices that other entries may hold leave of the caps.
func (a *accountLeases) available(now mgclock.Millis, entry string, caps Caps, fraction float64, entries int) (float64, int) {
	rate := caps.Rate * (1 - reservedShare) * fraction
	streams := leasable(caps.Streams, fraction, entries)
	for name, g := range a.holders {
		if name == entry {
			continue
		}
		heldRate, heldStreams := g.maxHeld(now)
		rate -= heldRate
		streams -= heldStreams
	}
	return max(0, rate), max(0, streams)
}

// leasable returns the streams that may be leased: what the fixed parts of all entries
// leave.
func leasable(streams int, fraction float64, entries int) int {
	left := streams - entries*fixedStreams(streams, entries)
	return int(math.Floor(float64(left)*fraction + 1e-9))
}

// fixedStreams returns the streams that an entry may use without a lease.
func fixedStreams(streams, entries int) int {
	return int(float64(streams) * reservedShare / float64(max(1, entries)))
}

// fixedRate returns the rate that an entry may use without a lease.
func fixedRate(rate float64, entries int) float64 {
	return rate * reservedShare / float64(max(1, entries))
}

// account returns an account without the entries whose leases have ended.
func (h *Home) account(now mgclock.Millis, name string) *accountLeases {
	if h.accounts == nil {
		h.accounts = make(map[string]*accountLeases)
	}
	a := h.accounts[name]
	if a == nil {
		a = &accountLeases{
			holders: make(map[string]*grant),
		}
		h.accounts[name] = a
	}
	a.lastRequestAt = now
	for entry, g := range a.holders {
		g.dropExpired(now)
		if len(g.slices) == 0 {
			delete(a.holders, entry)
		}
	}
	return a
}

// ttl returns the TTL of the account's leases.
func (a *accountLeases) ttl(caps Caps) mgclock.Millis {
	rate, streams := 0.0, 0
	for _, g := range a.holders {
		rate += g.demand.Rate
		streams += g.demand.Streams
	}
	if rate > caps.Rate/2 || streams > caps.Streams/2 {
		return contendedLeaseTTL
	}
	return uncontendedLeaseTTL
}

// maxMinRate returns an entry's max-min fair share of a total. Unrequested capacity is
// spread over all, so that a burst can use it before the next renewal.
func (a *accountLeases) maxMinRate(entry string, total float64) float64 {
	demands := make(map[string]float64, len(a.holders))
	for name, g := range a.holders {
		demands[name] = g.demand.Rate
	}
	return maxMinShare(entry, demands, total)
}

func (a *accountLeases) maxMinStreams(entry string, total int) int {
	demands := make(map[string]float64, len(a.holders))
	for name, g := range a.holders {
		demands[name] = float64(g.demand.Streams)
	}
	return int(math.Ceil(maxMinShare(entry, demands, float64(total)) - 1e-9))
}

// maxMinShare fills the smallest demands first and splits the rest evenly, with one
// part kept for an entry that comes next.
func maxMinShare(entry string, demands map[string]float64, total float64) float64 {
	order := make([]string, 0, len(demands))
	for name := range demands {
		order = append(order, name)
	}
	sort.Slice(order, func(i, j int) bool {
		if demands[order[i]] != demands[order[j]] {
			return demands[order[i]] < demands[order[j]]
		}
		return order[i] < order[j]
	})
	share := 0.0
	left := total
	for i, name := range order {
		got := min(demands[name], left/float64(len(order)-i))
		left -= got
		if name == entry {
			share = got
		}
	}
	return share + max(0, left)/float64(len(order)+1)
}

// Forget drops accounts without demand and returns the number of those left.
func (h *Home) Forget(now mgclock.Millis) int {
	for name, a := range h.accounts {
		if now >= a.lastRequestAt+idleAccountTTL {
			delete(h.accounts, name)
		}
	}
	return len(h.accounts)
}

// Drop discards the witnesses' votes, as after a pause. The entries' slices are kept,
// because they end by the clock.
func (h *Home) Drop() {
	for i := range h.slots {
		h.slots[i].votes = nil
	}
}
