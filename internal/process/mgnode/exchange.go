package mgnode

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"

	"github.com/go-logr/logr"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mglimit"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgquarantine"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Processes exchange what their requests show about upstreams: records of the requests that
// crash them, and reports of the rate limits that they name. A process broadcasts an update
// to a few peers, which forward it (rumor mongering). From time to time each process also
// compares its state with that of one peer, for processes that were cut off or have just
// started (anti-entropy).

// quarantinePath is where a process receives an updateMessage, of records of crashes and of
// rate limits, and responds with one that holds what the sender lacks, as JSON, compressed by gzip.
const quarantinePath = "/quarantine"

const (
	// broadcastFanout is the number of peers that a broadcast round sends to, urgentFanout
	// the number if one request has crashed several upstreams. broadcastInterval is the
	// time between two rounds. mgquarantine keeps a record among its updates for four
	// rounds.
	broadcastFanout   = 3
	urgentFanout      = 5
	broadcastInterval = 150 * mgclock.Millis(1)
	// minBroadcastInterval is the minimum time between two rounds when there are new records.
	minBroadcastInterval = 20 * mgclock.Millis(1)
	// meanCompareInterval is the mean interval between two anti-entropy rounds of a process.
	meanCompareInterval = 1500 * mgclock.Millis(1)
	// exchangeTimeout limits the wait for a peer's response.
	exchangeTimeout = 500 * mgclock.Millis(1)
)

// updateCall is the call for updates. A message has up to four times the size of the maximum
// number of records that mgquarantine keeps, each with as many parts as it may have.
var updateCall = peerCall{
	path:     quarantinePath,
	purpose:  "sending records of crashes",
	maxBytes: 4 << 20,
}

// updateMessage is the message of an exchange, in both directions.
type updateMessage struct {
	Records []mgquarantine.Record `json:"notes,omitempty"`
	// Sums are checksums of all records of the sender, in an anti-entropy round.
	Sums    mgquarantine.Checksums `json:"sums,omitempty"`
	Compare bool                   `json:"compare,omitempty"`
	// Memory is how far back the sender's records reach, in an anti-entropy round, ms.
	Memory mgclock.Millis `json:"memory,omitempty"`
	// Limits are those that changed recently, or all known ones in an anti-entropy round.
	Limits []mglimit.Record `json:"limits,omitempty"`
}

// exchanger exchanges records of crashes and reports of limits with other processes.
type updateExchanger struct {
	clock        mgclock.Clock
	log          logr.Logger
	onCallFailed func()          // called when a peer couldn't be reached
	onRejected   func(count int) // called with the number of received records that can't be used
	quarantine   *mgquarantine.Quarantine
	limits       *mglimit.Limits
	mergeLimits  func(limits []mglimit.Record) // merges the limits that others report
	peers        func() []*mgmember.Member
	fetching     atomic.Bool // the records of the peers that run, at the start
	call         func(ctx context.Context, to *mgmember.Member, message updateMessage) (updateMessage, error)
}

// handle merges a peer's message and returns a reply. In an anti-entropy round that holds the
// records that the peer lacks. Otherwise it holds those of the peer's records whose age is known
// here to be higher than the peer reports, so that it can improve its bounds of the time of a crash.
func (e *updateExchanger) handle(message updateMessage) updateMessage {
	e.merge(message)
	reply := updateMessage{
		Records: e.quarantine.OlderRecords(e.clock.Now(), message.Records),
	}
	if message.Compare {
		e.quarantine.AdoptMemory(e.clock.Now(), message.Memory, message.Sums)
		reply.Records = e.quarantine.MissingRecords(e.clock.Now(), message.Sums)
		reply.Sums = e.quarantine.Checksums()
		reply.Memory = e.quarantine.Memory(e.clock.Now())
		reply.Limits = e.limits.Records(e.clock.Now())
	}
	return reply
}

func (e *updateExchanger) merge(message updateMessage) {
	if len(message.Limits) > 0 {
		e.mergeLimits(message.Limits)
	}
	if len(message.Records) == 0 {
		return
	}
	if rejected := e.quarantine.Merge(e.clock.Now(), message.Records); len(rejected) > 0 {
		e.onRejected(len(rejected))
		e.log.Info("records of crashes were rejected", "count", len(rejected), "first", rejected[0].Error())
	}
}

// sendToRandomPeers sends a message to count random peers in the background, and merges their
// responses. A peer that can't be reached receives the update from other processes.
func (e *updateExchanger) sendToRandomPeers(ctx context.Context, count int, message updateMessage) {
	peers := e.peers()
	for _, i := range rand.Perm(len(peers))[:min(count, len(peers))] {
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout.Duration())
			defer cancel()
			reply, err := e.call(callCtx, peers[i], message)
			if err != nil {
				e.onCallFailed()
				return
			}
			e.merge(reply)
			if message.Compare {
				e.quarantine.AdoptMemory(e.clock.Now(), reply.Memory, reply.Sums)
				e.fetching.Store(false)
				e.sendMissing(ctx, peers[i], reply.Sums)
			}
		}()
	}
}

// sendMissing sends a peer the records that it lacks according to its checksums.
func (e *updateExchanger) sendMissing(ctx context.Context, to *mgmember.Member, peerSums mgquarantine.Checksums) {
	records := e.quarantine.MissingRecords(e.clock.Now(), peerSums)
	if len(records) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout.Duration())
	defer cancel()
	if _, err := e.call(ctx, to, updateMessage{Records: records}); err != nil {
		e.onCallFailed()
	}
}

// runBroadcast broadcasts updates until ctx ends.
func (e *updateExchanger) runBroadcast(ctx context.Context) {
	for ctx.Err() == nil {
		recordsChanged, limitsChanged := e.quarantine.Changed(), e.limits.Changed()
		var nextRound <-chan struct{} // nil if there are no updates
		updates := updateMessage{
			Records: e.quarantine.RecentRecords(e.clock.Now()),
			Limits:  e.limits.RecentRecords(e.clock.Now()),
		}
		if len(updates.Records)+len(updates.Limits) > 0 {
			fanout := broadcastFanout
			if hasRepeatedCrash(updates.Records) {
				fanout = urgentFanout
			}
			e.sendToRandomPeers(ctx, fanout, updates)
			if !e.clock.Sleep(ctx, minBroadcastInterval) {
				return
			}
			nextRound = e.clock.After(broadcastInterval - minBroadcastInterval)
		}
		select {
		case <-recordsChanged:
		case <-limitsChanged:
		case <-nextRound:
		case <-ctx.Done():
		}
	}
}

// hasRepeatedCrash reports whether one request crashed several upstreams.
func hasRepeatedCrash(records []mgquarantine.Record) bool {
	upstreams := map[string]string{} // by digest
	for _, record := range records {
		if record.Upstream == "" {
			continue
		}
		previous, seen := upstreams[record.Digest]
		if seen && previous != record.Upstream {
			return true
		}
		upstreams[record.Digest] = record.Upstream
	}
	return false
}

// runAntiEntropy compares this process's records and limits with those of a random peer at
// random intervals, until ctx ends. A process that has just started does so as soon as it
// knows a peer.
func (e *updateExchanger) runAntiEntropy(ctx context.Context) {
	for len(e.peers()) == 0 {
		if !e.clock.Sleep(ctx, broadcastInterval) {
			return
		}
	}
	e.fetching.Store(true)
	for start := e.clock.Now(); ctx.Err() == nil; {
		e.quarantine.Tick(e.clock.Now())
		if e.clock.Now() >= start+maxFetchTime {
			e.fetching.Store(false)
		}
		count, interval := 1, meanCompareInterval/2+mgclock.Millis(rand.Int64N(int64(meanCompareInterval)))
		if e.fetching.Load() {
			count, interval = firstCompareFanout, broadcastInterval
		}
		e.sendToRandomPeers(ctx, count, updateMessage{
			Sums:    e.quarantine.Checksums(),
			Compare: true,
			Memory:  e.quarantine.Memory(e.clock.Now()),
			Limits:  e.limits.Records(e.clock.Now()),
		})
		e.clock.Sleep(ctx, interval)
	}
}

const (
	// firstCompareFanout is the number of peers that a process which has just started compares its
	// records with, until one has answered.
	firstCompareFanout = 2
	// maxFetchTime limits how long it waits for an answer.
	maxFetchTime = mgclock.Second
)

// isFetching reports whether the process has just started and lacks the records of its peers. Requests
// that it would accept may be held everywhere else.
func (e *updateExchanger) isFetching() bool { return e.fetching.Load() }

// newExchanger returns the exchanger of this node.
func (n *Node) newExchanger() *updateExchanger {
	return &updateExchanger{
		clock:        n.clock,
		log:          n.log,
		onCallFailed: func() { n.metrics.Counter("quarantine.untold").Inc(1) },
		onRejected:   func(count int) { n.metrics.Counter("quarantine.refused").Inc(int64(count)) },
		quarantine:   n.quarantine,
		limits:       &n.limits,
		mergeLimits:  n.mergeLimits,
		peers:        n.otherEntries,
		call:         n.sendUpdates,
	}
}

// serveUpdates merges a peer's message, and responds with what the peer lacks.
func (n *Node) serveUpdates(w http.ResponseWriter, r *http.Request) {
	var message updateMessage
	updateCall.serve(w, r, &message, func() any { return n.exchanger.handle(message) })
}

// sendUpdates sends a message to a peer, and returns its response.
func (n *Node) sendUpdates(ctx context.Context, to *mgmember.Member, message updateMessage) (updateMessage, error) {
	var reply updateMessage
	err := n.post(ctx, to.PeerAddr(), updateCall, message, &reply)
	return reply, err
}
