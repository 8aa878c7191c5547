package mgnode

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgrelay"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mglimit"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgwaitlist"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// permitPath is where a process requests a permit from the granter of its cell. Request and
// response are JSON of a few hundred bytes, which isn't worth compressing.
const permitPath = "/permit"

const (
	// permitTimeout limits the wait for the granter's response.
	permitTimeout = 100 * mgclock.Millis(1)
	// permitRetryDelay is the delay before the next request for a permit after one without
	// a response. By then the granter is suspected, and another process grants.
	permitRetryDelay = 200 * mgclock.Millis(1)
)

// permitCall is the call for a permit.
var permitCall = peerCall{
	path:     permitPath,
	purpose:  "requesting a permit",
	maxBytes: 64 << 10,
	isPlain:  true,
}

// permitRequest requests a permit, and reports what the sender knows of the upstream's limit.
type permitRequest struct {
	Entry        string         `json:"entry"`
	Limit        mglimit.Record `json:"word"`
	Request      string         `json:"request"`
	Forced       bool           `json:"forced,omitempty"` // see mglimit.PermitRequest
	GranterCount int            `json:"givers"`           // see mgrelay.Host.Granters
}

// permitReply grants the permit, or returns the time in ms until there may be one.
type permitReply struct {
	Granted    bool            `json:"given"`
	RetryAfter mgclock.Millis  `json:"wait,omitempty"`
	Limit      *mglimit.Record `json:"word,omitempty"` // what the granter knows of the limit
}

// acquirePermit acquires the permit to send a request to a rate-limited upstream. If it is
// not granted, it returns the time after which to try again. A forced request doesn't wait for
// another process's response.
func (n *Node) acquirePermit(ctx context.Context, request mgrelay.PermitRequest) (mgclock.Millis, bool) {
	hub := n.hubPeer()
	if hub == nil {
		return n.grantPermit(n.settings.Name, request)
	}
	if request.Ask.Forced {
		go n.acquirePermitFrom(ctx, hub, request)
		return 0, true
	}
	return n.acquirePermitFrom(ctx, hub, request)
}

// acquirePermitFrom acquires a permit from the hub.
func (n *Node) acquirePermitFrom(ctx context.Context, hub *mgmember.Member, request mgrelay.PermitRequest) (mgclock.Millis, bool) {
	if n.clock.Now() < mgclock.Millis(n.permitRetryAt.Load()) {
		return permitRetryDelay, false
	}
	limit, _ := n.limits.Record(n.clock.Now(), request.Ask.Upstream)
	reply, err := n.requestPermit(ctx, hub, permitRequest{
		Entry:        n.settings.Name,
		Limit:        limit,
		Request:      request.Ask.Request,
		Forced:       request.Ask.Forced,
		GranterCount: request.Granters,
	})
	if err != nil {
		if ctx.Err() == nil {
			// Without this delay the request would wait for the same timeout again at
			// the next upstream that it tries.
			n.permitRetryAt.Store(int64(n.clock.Now() + permitRetryDelay))
			n.peerFailed(hub.Name())
			n.metrics.Counter("permits.unanswered").Inc(1)
			n.log.Info("a request for a permit failed, another upstream is tried", "hub", hub.Name(),
				mglog.Request, request.Ask.Request, mglog.Upstream, request.Ask.Upstream, "why", err.Error())
		}
		return permitRetryDelay, false
	}
	if reply.Limit != nil {
		n.mergeLimits([]mglimit.Record{*reply.Limit})
	}
	return reply.RetryAfter, reply.Granted
}

// errNoPermitAnswer is the error for a process that doesn't serve permits.
var errNoPermitAnswer = errors.New("mgnode: the process serves no permits: do all processes run the same release?")

func (n *Node) requestPermit(ctx context.Context, hub *mgmember.Member, request permitRequest) (permitReply, error) {
	var reply permitReply
	ctx, cancel := context.WithTimeout(ctx, permitTimeout.Duration())
	defer cancel()
	err := n.post(ctx, hub.PeerAddr(), permitCall, request, &reply)
	var status statusError
	if errors.As(err, &status) {
		err = fmt.Errorf("%w: %w", errNoPermitAnswer, err)
	}
	return reply, err
}

// servePermit serves a process that regards this one as its granter. IncarnationStart is that of the
// upstream.
func (n *Node) servePermit(w http.ResponseWriter, r *http.Request) {
	var request permitRequest
	permitCall.serve(w, r, &request, func() any { return n.handlePermit(request) })
}

// handlePermit returns the reply to a request for a permit.
func (n *Node) handlePermit(request permitRequest) permitReply {
	n.mergeLimits([]mglimit.Record{request.Limit})
	wait, granted := n.grantPermit(request.Entry, mgrelay.PermitRequest{
		Ask: mglimit.PermitRequest{
			Upstream: request.Limit.Upstream,
			Request:  request.Request,
			Forced:   request.Forced,
		},
		IncarnationStart: request.Limit.IncarnationStart,
		Granters:         request.GranterCount,
	})
	reply := permitReply{
		Granted:    granted,
		RetryAfter: wait,
	}
	if limit, known := n.limits.Record(n.clock.Now(), request.Limit.Upstream); known {
		reply.Limit = &limit
	}
	return reply
}

// grantPermit grants a permit out of this process's share of the upstream's limit, if one is
// left.
func (n *Node) grantPermit(entry string, request mgrelay.PermitRequest) (mgclock.Millis, bool) {
	rate, limited := n.limits.Rate(request.Ask.Upstream, request.IncarnationStart)
	if !limited {
		return 0, true
	}
	now := n.clock.Now()
	n.entryLoads.MarkSeen(now, entry)
	wait, granted := n.permits.Take(now, request.Ask, n.limitShare(now, rate, request.Granters))
	if granted {
		n.metrics.Counter("permits.given").Inc(1)
	} else {
		n.metrics.Counter("permits.denied").Inc(1)
	}
	return wait, granted
}

// limitShare returns this process's share of an upstream's limit. It is the limit times the number
// of entries that request permits here, divided by the number of all entries that may send to the
// upstream. With one granter these are the entries of one cell, for which the mean of the cells
// is taken, rounded up.
func (n *Node) limitShare(now mgclock.Millis, rate float64, granterCount int) mglimit.Share {
	view := n.members.View()
	entryCount := 1 + view.OtherEntryCount()
	if cells := view.Cell(n.settings.Name, n.settings.Region).Count; granterCount == 1 && cells > 1 {
		entryCount = (entryCount + cells - 1) / cells // only the entries of one cell send to the upstream
	}
	return mglimit.ShareOf(rate, n.entryLoads.Entries(now), entryCount)
}

// applyLimits sets how many requests each rate-limited upstream accepts now, and returns this
// process's shares of their limits.
func (n *Node) applyLimits(now mgclock.Millis, upstreams []mgwaitlist.Place) map[string]mglimit.Share {
	var limitShares map[string]mglimit.Share
	for i := range upstreams {
		p := &upstreams[i]
		if !p.Limited {
			continue
		}
		if limitShares == nil {
			limitShares = map[string]mglimit.Share{}
		}
		share := n.limitShare(now, p.Rate, p.Granters)
		limitShares[p.Name] = share
		p.Rate = share.Rate()
		p.Permits = n.permits.Available(now, p.Name, share)
	}
	return limitShares
}

// reservePermits reserves a permit for each request that has been granted a placement at a
// rate-limited upstream, since the request's entry will request that permit.
func (n *Node) reservePermits(now mgclock.Millis, grants []mgwaitlist.Grant, limitShares map[string]mglimit.Share) {
	for _, grant := range grants {
		if share, limited := limitShares[grant.Place]; limited {
			n.permits.Reserve(now, grant.Place, grant.Name, share)
		}
	}
}

// mergeLimits merges the upstreams' limits that another process reports. The logged age is the time
// since an upstream last named its limit.
func (n *Node) mergeLimits(limits []mglimit.Record) {
	updates, unusable := n.limits.Merge(n.clock.Now(), limits)
	for _, limit := range updates {
		n.log.Info("another process reported an upstream's limit", mglog.Upstream, limit.Upstream, "rate", limit.Rate,
			"ended", limit.Ended, "age", int64(limit.Named))
	}
	if unusable > 0 {
		n.metrics.Counter("limits.unusable").Inc(int64(unusable))
		n.log.Info("reports of upstreams' limits have no upstream, or a rate or age below 0", "count", unusable)
	}
}

// forgetGoneUpstreams drops the limits and permits of upstreams that are not listed any more.
func (n *Node) forgetGoneUpstreams() {
	view := n.members.View()
	listed := func(upstream string) bool {
		_, ok := view.Agent(upstream)
		return ok
	}
	n.limits.Prune(n.clock.Now(), listed)
	n.permits.Forget(listed)
}
