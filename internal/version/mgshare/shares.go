package mgshare

import (
	"sort"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// A SharesSpec identifies the entry that shares belong to.
type SharesSpec struct {
	Name        string
	Incarnation string
	Region      string
	Members     *mgmember.Members

	// Account returns the caps of an account, and false when it has none.
	Account func(name string) (Caps, bool)

	// IsFresh is set if no process ran under this name recently, as in a demo: its
	// witness votes from the start.
	IsFresh bool
}

// Shares hold an entry's state as holder, home and witness of leases. Their methods
// must not be called concurrently.
type Shares struct {
	spec    SharesSpec
	ring    *Ring
	holder  Holder
	home    Home
	witness Witness
}

// NewShares returns the shares of an entry that starts at the time now.
func NewShares(now mgclock.Millis, spec SharesSpec) *Shares {
	s := &Shares{
		spec: spec,
	}
	if !spec.IsFresh {
		s.witness.RefuseAtStart(now)
	}
	return s
}

// CapsOf returns an account's caps and false when it has none.
func CapsOf(a *mgtable.Account) (Caps, bool) {
	if a == nil || a.MaxTokenRate() == 0 && a.MaxStreams() == 0 {
		return Caps{}, false
	}
	return Caps{
		Rate:    a.MaxTokenRate(),
		Streams: a.MaxStreams(),
	}, true
}

// currentRing returns the ring of the current list.
func (s *Shares) currentRing() *Ring {
	view := s.spec.Members.View()
	if s.ring == nil || s.ring.version != view.Version() {
		s.ring = NewRing(view, s.spec.Region)
	}
	return s.ring
}

// LeaseCall is a request to the home of some accounts.
type LeaseCall struct {
	Home     string
	Addr     string
	Sent     mgclock.Millis
	Accounts []string
	Request  *mgrpc.LeaseRequest
}

// RecordDemand records that a caller requests a start that is expected to cost tokens.
func (s *Shares) RecordDemand(now mgclock.Millis, account string, tokens float64) {
	if caps, ok := s.spec.Account(account); ok {
		s.holder.RecordDemand(now, account, caps, tokens)
	}
}

// SetRunning records how many streams of an account run.
func (s *Shares) SetRunning(account string, count int) { s.holder.SetRunning(account, count) }

// Slice returns what this entry may use of an account.
func (s *Shares) Slice(now mgclock.Millis, account string) Slice {
	caps, ok := s.spec.Account(account)
	if !ok {
		return Slice{}
	}
	return s.holder.Slice(now, account, caps, s.currentRing().entryCount)
}

// DueCalls returns the calls to make now, one per home.
func (s *Shares) DueCalls(now mgclock.Millis) []LeaseCall {
	s.home.Forget(now)
	ring := s.currentRing()
	calls := make(map[string]*LeaseCall)
	for _, account := range s.holder.DueAccounts(now) {
		home := ring.Home(s.spec.Members.View(), account)
		if home == nil {
			continue
		}
		c := calls[home.Name()]
		if c == nil {
			c = s.newCall(now, home)
			calls[home.Name()] = c
		}
		demand := s.holder.StartRequest(now, account)
		c.Accounts = append(c.Accounts, account)
		c.Request.Demands = append(c.Request.Demands, &mgrpc.Demand{
			Account: account,
			Rate:    demand.Rate,
			Streams: uint32(demand.Streams),
			Running: uint32(demand.Running),
		})
	}
	list := make([]LeaseCall, 0, len(calls))
	for _, c := range calls {
		list = append(list, *c)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Home < list[j].Home })
	return list
}

func (s *Shares) newCall(now mgclock.Millis, home *mgmember.Member) *LeaseCall {
	return &LeaseCall{
		Home: home.Name(),
		Addr: home.PeerAddr(),
		Sent: now,
		Request: &mgrpc.LeaseRequest{
			Entry:       s.spec.Name,
			Incarnation: s.spec.Incarnation,
		},
	}
}

// HandleReply handles the answer to a call, nil for none.
func (s *Shares) HandleReply(now mgclock.Millis, call LeaseCall, reply *mgrpc.LeaseReply) {
	leases := make(map[string]*mgrpc.Lease)
	for _, l := range reply.GetLeases() {
		leases[l.GetAccount()] = l
	}
	for _, account := range call.Accounts {
		l := leases[account]
		if l == nil {
			s.holder.HandleGrant(now, call.Sent, account, nil)
			continue
		}
		s.holder.HandleGrant(now, call.Sent, account, &Slice{
			Rate:    l.GetRate(),
			Streams: int(l.GetStreams()),
			End:     mgclock.Millis(l.GetTtl()),
		})
	}
}

// homeID returns the name of this incarnation as a home.
func (s *Shares) homeID() string { return s.spec.Name + "/" + s.spec.Incarnation }

// VoteRequests returns the requests to witnesses that a lease request makes due. The
// caller waits briefly for their answers before it calls Lease.
func (s *Shares) VoteRequests(now mgclock.Millis, request *mgrpc.LeaseRequest) []VoteRequest {
	accounts := make([]string, 0, len(request.GetDemands()))
	for _, d := range request.GetDemands() {
		accounts = append(accounts, d.GetAccount())
	}
	return s.home.VoteRequests(now, s.currentRing(), accounts)
}

// SupportRequest returns the message of a vote request.
func (s *Shares) SupportRequest(v VoteRequest) *mgrpc.SupportRequest {
	r := &mgrpc.SupportRequest{
		Home: s.homeID(),
		Sets: v.WitnessHashes,
	}
	for _, slot := range v.Slots {
		r.Slots = append(r.Slots, uint32(slot))
	}
	return r
}

// RecordVotes records a witness's answer to a request that was sent at a given time.
func (s *Shares) RecordVotes(sent mgclock.Millis, v VoteRequest, reply *mgrpc.SupportReply) {
	granted := make([]int, 0, len(reply.GetSlots()))
	for _, slot := range reply.GetSlots() {
		granted = append(granted, int(slot))
	}
	s.home.RecordVotes(sent, v.Witness, v.Slots, granted)
}

// Support answers a home as a witness.
func (s *Shares) Support(now mgclock.Millis, request *mgrpc.SupportRequest) *mgrpc.SupportReply {
	reply := &mgrpc.SupportReply{}
	for i, slot := range request.GetSlots() {
		if i >= len(request.GetSets()) {
			break
		}
		if s.witness.Vote(now, s.currentRing(), request.GetHome(), int(slot), request.GetSets()[i]) {
			reply.Slots = append(reply.Slots, slot)
		}
	}
	return reply
}

// Lease answers an entry as a home. A process that isn't an account's home needs no
// check of its own, because it can lease no more than its votes allow.
func (s *Shares) Lease(now mgclock.Millis, request *mgrpc.LeaseRequest) *mgrpc.LeaseReply {
	reply := &mgrpc.LeaseReply{}
	for _, d := range request.GetDemands() {
		caps, ok := s.spec.Account(d.GetAccount())
		if !ok {
			continue
		}
		slice := s.home.Grant(now, s.currentRing(), request.GetEntry(), d.GetAccount(), caps, Demand{
			Rate:    d.GetRate(),
			Streams: int(d.GetStreams()),
			Running: int(d.GetRunning()),
		})
		reply.Leases = append(reply.Leases, &mgrpc.Lease{
			Account: d.GetAccount(),
			Rate:    slice.Rate,
			Streams: uint32(slice.Streams),
			Ttl:     int64(slice.End),
		})
	}
	return reply
}

// Drop gives up the state that a pause invalidates.
func (s *Shares) Drop() {
	s.holder.DropLeases()
	s.home.Drop()
}

// Status is the state for the debug dump.
type Status struct {
	Held   int `json:"held"`   // accounts with a lease or demand here
	Leased int `json:"leased"` // accounts leased as their home
}

// Status returns the state.
func (s *Shares) Status() Status {
	return Status{
		Held:   s.holder.Len(),
		Leased: len(s.home.accounts),
	}
}
