package mgshare

import (
	"context"
	"sync"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// stepInterval is the interval at which due leases are requested.
	stepInterval = 100 * mgclock.Millis(1)
	// leaseTimeout and supportTimeout are the timeouts of the calls. A home waits for
	// its witnesses during a lease call.
	leaseTimeout   = 500 * mgclock.Millis(1)
	supportTimeout = 150 * mgclock.Millis(1)
)

// A LoopSpec connects shares to the clock and to peers.
type LoopSpec struct {
	Shares SharesSpec
	Clock  mgclock.Clock

	// Lease and RequestVotes call the peer at an address.
	Lease        func(ctx context.Context, addr string, r *mgrpc.LeaseRequest) (*mgrpc.LeaseReply, error)
	RequestVotes func(ctx context.Context, addr string, r *mgrpc.SupportRequest) (*mgrpc.SupportReply, error)
}

// A Loop renews an entry's leases and serves its peers.
type Loop struct {
	spec LoopSpec

	mu           sync.Mutex
	shares       *Shares
	dropCount    int           // number of calls to Drop; answers to calls made before one are discarded
	answered     chan struct{} // closed and replaced with each answer
	callsRunning sync.WaitGroup
}

// NewLoop returns a loop. It requests nothing until Run.
func NewLoop(spec LoopSpec) *Loop {
	return &Loop{
		spec:     spec,
		shares:   NewShares(spec.Clock.Now(), spec.Shares),
		answered: make(chan struct{}),
	}
}

// Run requests leases until ctx ends, and returns once its calls have returned.
func (l *Loop) Run(ctx context.Context) {
	for l.spec.Clock.Sleep(ctx, stepInterval) {
		l.startDueCalls(ctx)
	}
	l.callsRunning.Wait()
}

// startDueCalls starts the calls that are due.
func (l *Loop) startDueCalls(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	dropCount := l.dropCount
	for _, call := range l.shares.DueCalls(l.spec.Clock.Now()) {
		l.callsRunning.Add(1)
		go func() {
			defer l.callsRunning.Done()
			l.callHome(ctx, call, dropCount)
		}()
	}
}

// callHome makes one call and handles its answer.
func (l *Loop) callHome(ctx context.Context, call LeaseCall, dropCount int) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout.Duration())
	defer cancel()
	var reply *mgrpc.LeaseReply
	var err error
	if call.Home == l.spec.Shares.Name {
		reply, err = l.Lease(ctx, call.Request)
	} else {
		reply, err = l.spec.Lease(ctx, call.Addr, call.Request)
	}
	now := l.spec.Clock.Now()
	if err != nil {
		reply = nil
		if ctx.Err() == nil || context.Cause(ctx) == context.DeadlineExceeded {
			l.spec.Shares.Members.RecordFailure(now, call.Home)
		}
	} else {
		l.spec.Shares.Members.RecordAnswer(now, call.Home)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if dropCount != l.dropCount {
		reply = nil
	}
	l.shares.HandleReply(now, call, reply)
	close(l.answered)
	l.answered = make(chan struct{})
}

// Acquire records a caller's request for a start that is expected to cost tokens, and
// returns the slice of the account once a lease is valid, or the fixed part if ctx ends
// before. It returns false for an account without caps. An account that was idle waits
// for one call to its home.
func (l *Loop) Acquire(ctx context.Context, account string, tokens float64) (Slice, bool) {
	if _, capped := l.spec.Shares.Account(account); !capped {
		return Slice{}, false
	}
	l.mu.Lock()
	l.shares.RecordDemand(l.spec.Clock.Now(), account, tokens)
	l.mu.Unlock()
	for {
		slice, leased, answered := l.currentSlice(account)
		if leased || ctx.Err() != nil {
			return slice, true
		}
		l.startDueCalls(context.WithoutCancel(ctx))
		select {
		case <-answered:
		case <-ctx.Done():
		}
	}
}

// currentSlice returns the slice of an account, whether it is a valid lease, and a
// channel that is closed at the next answer.
func (l *Loop) currentSlice(account string) (Slice, bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.spec.Clock.Now()
	return l.shares.Slice(now, account), l.shares.holder.HasLease(now, account), l.answered
}

// Slice returns what this entry may use of an account now.
func (l *Loop) Slice(account string) Slice {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shares.Slice(l.spec.Clock.Now(), account)
}

// SetRunning sets how many streams of an account run.
func (l *Loop) SetRunning(account string, count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shares.SetRunning(account, count)
}

// Drop gives up all leases, as after a pause.
func (l *Loop) Drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropCount++
	l.shares.Drop()
}

// Status returns the state for the debug dump.
func (l *Loop) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shares.Status()
}

// Support answers a home's request for votes.
func (l *Loop) Support(_ context.Context, r *mgrpc.SupportRequest) (*mgrpc.SupportReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shares.Support(l.spec.Clock.Now(), r), nil
}

// Lease answers an entry's request for leases. It first requests the witnesses' votes
// that have to be renewed.
func (l *Loop) Lease(ctx context.Context, r *mgrpc.LeaseRequest) (*mgrpc.LeaseReply, error) {
	l.mu.Lock()
	requests := l.shares.VoteRequests(l.spec.Clock.Now(), r)
	l.mu.Unlock()
	var all sync.WaitGroup
	for _, a := range requests {
		all.Add(1)
		go func() {
			defer all.Done()
			l.requestVotes(ctx, a)
		}()
	}
	all.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shares.Lease(l.spec.Clock.Now(), r), nil
}

// requestVotes requests the votes of one witness, which may be this process, and
// records the answer.
func (l *Loop) requestVotes(ctx context.Context, v VoteRequest) {
	ctx, cancel := context.WithTimeout(ctx, supportTimeout.Duration())
	defer cancel()
	sent := l.spec.Clock.Now()
	l.mu.Lock()
	request := l.shares.SupportRequest(v)
	l.mu.Unlock()
	var reply *mgrpc.SupportReply
	var err error
	if v.Witness == l.spec.Shares.Name {
		reply, err = l.Support(ctx, request)
	} else {
		reply, err = l.spec.RequestVotes(ctx, v.Addr, request)
	}
	if err != nil {
		l.spec.Shares.Members.RecordFailure(l.spec.Clock.Now(), v.Witness)
		return
	}
	l.spec.Shares.Members.RecordAnswer(l.spec.Clock.Now(), v.Witness)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shares.RecordVotes(sent, v, reply)
}
