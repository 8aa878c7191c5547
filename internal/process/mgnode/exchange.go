package mgnode

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"

	"github.com/go-logr/logr"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mglimit"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgquarantine"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Processes tell one another what their requests show of upstreams: which requests crash
// them, in notes, and which limits they name, in words. Who learns something tells it to a
// few others, who tell it on (rumor mongering); and each compares what it knows with one
// other now and then, for those that were cut off or have just started (anti-entropy).

// quarantinePath is where a process is told notes, and answers with those that the
// other lacks, as JSON, compressed by gzip.
const quarantinePath = "/quarantine"

const (
	// newsFanout is how many others are told in a round, urgentFanout how many where one
	// request has ended several upstreams, and newsPause the time between two rounds. A
	// note is told for mgquarantine's newsSpan, four rounds.
	broadcastFanout   = 3
	urgentFanout      = 5
	broadcastInterval = 150 * mgclock.Millis(1)
	// newsGap is the least time between two rounds, when there are fresh notes.
	minBroadcastInterval = 20 * mgclock.Millis(1)
	// compareSpan is the mean interval at which a process compares what it knows.
	meanCompareInterval = 1500 * mgclock.Millis(1)
	// newsWait bounds the answer of a peer.
	exchangeTimeout = 500 * mgclock.Millis(1)
	// maxNews bounds what is told at once in bytes: four times mgquarantine's most
	// notes.
	maxUpdateBytes = 1 << 20
)

// newsWire is what processes tell one another.
type updateMessage struct {
	Records []mgquarantine.Note `json:"notes,omitempty"`
	// Sums are of all notes of the sender, where it compares them.
	Sums    mgquarantine.Sums `json:"sums,omitempty"`
	Compare bool              `json:"compare,omitempty"`
	// Limits are those that changed lately, and all that are known where they are compared.
	Limits []mglimit.Word `json:"limits,omitempty"`
}

// exchanger exchanges notes with other processes.
type exchanger struct {
	clock        mgclock.Clock
	log          logr.Logger
	onCallFailed func()          // is told of a process that couldn't be told
	onRejected   func(count int) // is told of notes that can't be used
	quarantine   *mgquarantine.Quarantine
	limits       *mglimit.Limits
	mergeLimits  func(words []mglimit.Word) // takes what others know of limits
	peers        func() []*mgmember.Member
	call         func(ctx context.Context, to *mgmember.Member, message updateMessage) (updateMessage, error)
}

// answer takes what another process tells, and returns what it lacks or knows less well.
func (e *exchanger) handle(message updateMessage) updateMessage {
	e.merge(message)
	reply := updateMessage{
		Records: e.quarantine.Refine(e.clock.Now(), message.Records),
	}
	if message.Compare {
		reply.Records = e.quarantine.Lacking(e.clock.Now(), message.Sums)
		reply.Sums = e.quarantine.Sums()
		reply.Limits = e.limits.Words(e.clock.Now())
	}
	return reply
}

func (e *exchanger) merge(message updateMessage) {
	if len(message.Limits) > 0 {
		e.mergeLimits(message.Limits)
	}
	if len(message.Records) == 0 {
		return
	}
	if rejected := e.quarantine.Take(e.clock.Now(), message.Records); len(rejected) > 0 {
		e.onRejected(len(rejected))
		e.log.Info("notes of crashes were refused", "count", len(rejected), "first", rejected[0].Error())
	}
}

// tell tells some others in the background, and takes what they answer. Who can't be told
// learns by others.
func (e *exchanger) broadcast(ctx context.Context, count int, message updateMessage) {
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
				e.sendMissing(ctx, peers[i], reply.Sums)
			}
		}()
	}
}

// giveBack tells a process what it lacks by its sums.
func (e *exchanger) sendMissing(ctx context.Context, to *mgmember.Member, peerSums mgquarantine.Sums) {
	records := e.quarantine.Lacking(e.clock.Now(), peerSums)
	if len(records) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout.Duration())
	defer cancel()
	if _, err := e.call(ctx, to, updateMessage{Records: records}); err != nil {
		e.onCallFailed()
	}
}

// spread tells others what is learned, until ctx ends.
func (e *exchanger) runBroadcast(ctx context.Context) {
	for ctx.Err() == nil {
		recordsChanged, limitsChanged := e.quarantine.Changed(), e.limits.Changed()
		var nextRound <-chan struct{} // none without news
		updates := updateMessage{
			Records: e.quarantine.News(e.clock.Now()),
			Limits:  e.limits.News(e.clock.Now()),
		}
		if len(updates.Records)+len(updates.Limits) > 0 {
			fanout := broadcastFanout
			if hasRepeatedCrash(updates.Records) {
				fanout = urgentFanout
			}
			e.broadcast(ctx, fanout, updates)
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

// isRepeated reports whether several upstreams ended under one request.
func hasRepeatedCrash(records []mgquarantine.Note) bool {
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

// compare compares what is known with one other process now and then, until ctx ends. A
// process that has just started does so as soon as it knows another.
func (e *exchanger) runAntiEntropy(ctx context.Context) {
	for len(e.peers()) == 0 {
		if !e.clock.Sleep(ctx, broadcastInterval) {
			return
		}
	}
	for ctx.Err() == nil {
		e.quarantine.Tick(e.clock.Now())
		e.broadcast(ctx, 1, updateMessage{
			Sums:    e.quarantine.Sums(),
			Compare: true,
			Limits:  e.limits.Words(e.clock.Now()),
		})
		e.clock.Sleep(ctx, meanCompareInterval/2+mgclock.Millis(rand.Int64N(int64(meanCompareInterval))))
	}
}

// exchanger returns what exchanges this node's notes.
func (n *Node) newExchanger() *exchanger {
	return &exchanger{
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

// serveNews takes what another process tells, and answers what it lacks.
func (n *Node) serveUpdates(w http.ResponseWriter, r *http.Request) {
	var message updateMessage
	if err := decompressJSON(r.Body, maxUpdateBytes, &message); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	body, err := compressJSON(n.exchanger.handle(message))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/gzip")
	_, _ = w.Write(body) // one that left asks again
}

// callNews tells a process, and returns what it answers.
func (n *Node) sendUpdates(ctx context.Context, to *mgmember.Member, message updateMessage) (updateMessage, error) {
	var reply updateMessage
	body, err := compressJSON(message)
	if err != nil {
		return reply, err
	}
	url := n.guard.Base(to.PeerAddr()) + quarantinePath
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return reply, fmt.Errorf("peer %s: its address is odd: %w", to.PeerAddr(), err)
	}
	response, err := n.calls.RoundTrip(request)
	if err != nil {
		return reply, fmt.Errorf("peer %s: it takes no notes of crashes: %w", to.PeerAddr(), err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return reply, fmt.Errorf("peer %s: it takes no notes of crashes: status %d", to.PeerAddr(), response.StatusCode)
	}
	if err := decompressJSON(response.Body, maxUpdateBytes, &reply); err != nil {
		return reply, fmt.Errorf("peer %s: %w", to.PeerAddr(), err)
	}
	return reply, nil
}
