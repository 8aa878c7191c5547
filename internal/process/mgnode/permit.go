package mgnode

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgrelay"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mglimit"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgroom"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// permitPath is where a process asks the granter of its cell for a permit, as JSON. Each is
// a few hundred bytes, which aren't worth compressing.
const permitPath = "/permit"

const (
	// permitWait bounds the granter's answer.
	permitTimeout = 100 * mgclock.Millis(1)
	// permitRetry is when a permit is asked for again after a question without an answer:
	// by then the granter is suspected, and another grants.
	permitRetryDelay = 200 * mgclock.Millis(1)
	// maxPermit bounds a question and an answer in bytes.
	maxPermitBytes = 64 << 10
)

// permitAsk is a question for a permit, with what the asker knows of the upstream's limit.
type permitRequest struct {
	Entry        string       `json:"entry"`
	Limit        mglimit.Word `json:"word"`
	Request      string       `json:"request"`
	Forced       bool         `json:"forced,omitempty"`
	GranterCount int          `json:"givers"`
}

// permitReply gives the permit, or tells the ms until there may be one.
type permitReply struct {
	Granted    bool           `json:"given"`
	RetryAfter mgclock.Millis `json:"wait,omitempty"`
	Limit      *mglimit.Word  `json:"word,omitempty"` // what the granter knows of the limit
}

// permit takes leave to send a request to a limited upstream.
func (n *Node) acquirePermit(ctx context.Context, permit mgrelay.Permit) (mgclock.Millis, bool) {
	hub := n.hubPeer()
	if hub == nil {
		return n.grantPermit(n.settings.Name, permit)
	}
	if n.clock.Now() < mgclock.Millis(n.permitRetryAt.Load()) {
		return permitRetryDelay, false
	}
	limit, _ := n.limits.Word(n.clock.Now(), permit.Ask.Upstream)
	reply, err := n.requestPermit(ctx, hub, permitRequest{
		Entry:        n.settings.Name,
		Limit:        limit,
		Request:      permit.Ask.Request,
		Forced:       permit.Ask.Forced,
		GranterCount: permit.Givers,
	})
	if err != nil {
		if ctx.Err() == nil {
			// The next upstream of the request must not cost as much time again.
			n.permitRetryAt.Store(int64(n.clock.Now() + permitRetryDelay))
			n.peerFailed(hub.Name())
			n.metrics.Counter("permits.unanswered").Inc(1)
			n.log.Info("no permit could be asked for, the request goes elsewhere", "hub", hub.Name(),
				mglog.Request, permit.Ask.Request, mglog.Upstream, permit.Ask.Upstream, "why", err.Error())
		}
		return permitRetryDelay, false
	}
	if reply.Limit != nil {
		n.mergeLimits([]mglimit.Word{*reply.Limit})
	}
	return reply.RetryAfter, reply.Granted
}

// errNoPermit is the error of a process that answers no question for a permit.
var errNoPermitAnswer = errors.New("mgnode: no answer about a permit: do all processes have one release?")

func (n *Node) requestPermit(ctx context.Context, hub *mgmember.Member, request permitRequest) (permitReply, error) {
	var reply permitReply
	ctx, cancel := context.WithTimeout(ctx, permitTimeout.Duration())
	defer cancel()
	body, err := json.Marshal(request)
	if err != nil {
		return reply, fmt.Errorf("peer %s: the question for a permit can't be written: %w", hub.PeerAddr(), err)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, n.guard.Base(hub.PeerAddr())+permitPath, bytes.NewReader(body))
	if err != nil {
		return reply, fmt.Errorf("peer %s: its address is odd: %w", hub.PeerAddr(), err)
	}
	response, err := n.calls.RoundTrip(httpRequest)
	if err != nil {
		return reply, fmt.Errorf("peer %s: no permit: %w", hub.PeerAddr(), err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return reply, fmt.Errorf("peer %s: status %d: %w", hub.PeerAddr(), response.StatusCode, errNoPermitAnswer)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxPermitBytes)).Decode(&reply); err != nil {
		return reply, fmt.Errorf("peer %s: its answer about a permit can't be read: %w", hub.PeerAddr(), err)
	}
	return reply, nil
}

// servePermit answers a process that takes this one for its granter.
func (n *Node) servePermit(w http.ResponseWriter, r *http.Request) {
	var request permitRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxPermitBytes)).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n.mergeLimits([]mglimit.Word{request.Limit})
	wait, granted := n.grantPermit(request.Entry, mgrelay.Permit{
		Ask: mglimit.Ask{
			Upstream: request.Limit.Upstream,
			Request:  request.Request,
			Forced:   request.Forced,
		},
		Born:   request.Limit.Born,
		Givers: request.GranterCount,
	})
	reply := permitReply{
		Granted:    granted,
		RetryAfter: wait,
	}
	if limit, known := n.limits.Word(n.clock.Now(), request.Limit.Upstream); known {
		reply.Limit = &limit
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply) // one that left asks again
}

// givePermit gives a process a permit out of this one's part of the upstream's limit.
func (n *Node) grantPermit(entry string, permit mgrelay.Permit) (mgclock.Millis, bool) {
	rate, limited := n.limits.Rate(permit.Ask.Upstream, permit.Born)
	if !limited {
		return 0, true
	}
	now := n.clock.Now()
	n.hub.Heard(now, entry)
	wait, granted := n.permits.Take(now, permit.Ask, n.limitShare(now, rate, permit.Givers))
	if granted {
		n.metrics.Counter("permits.given").Inc(1)
	} else {
		n.metrics.Counter("permits.denied").Inc(1)
	}
	return wait, granted
}

// part returns this process's part of an upstream's limit: as many of the entries that may
// send there as turn to this one.
func (n *Node) limitShare(now mgclock.Millis, rate float64, granterCount int) mglimit.Part {
	view := n.members.View()
	entryCount := 1 + view.Others()
	if cells := view.Cell(n.settings.Name, n.settings.Region).Of; granterCount == 1 && cells > 1 {
		entryCount = (entryCount + cells - 1) / cells // the upstream is one cell's
	}
	return mglimit.PartOf(rate, n.hub.Entries(now), entryCount)
}

// boundPlaces counts how many requests each limited place takes now, and returns this
// process's parts of their limits.
func (n *Node) applyLimits(now mgclock.Millis, upstreams []mgroom.Place) map[string]mglimit.Part {
	var parts map[string]mglimit.Part
	for i := range upstreams {
		p := &upstreams[i]
		if !p.Limited {
			continue
		}
		if parts == nil {
			parts = map[string]mglimit.Part{}
		}
		part := n.limitShare(now, p.Rate, p.Givers)
		parts[p.Name] = part
		p.Rate = part.Rate()
		p.Permits = n.permits.Left(now, p.Name, part)
	}
	return parts
}

// reservePermits keeps permits for requests that were given limited places, and will ask for
// them.
func (n *Node) reservePermits(now mgclock.Millis, grants []mgroom.Grant, parts map[string]mglimit.Part) {
	for _, grant := range grants {
		if part, limited := parts[grant.Place]; limited {
			n.permits.Reserve(now, grant.Place, grant.Name, part)
		}
	}
}

// takeLimits takes what another process knows of upstreams' limits.
func (n *Node) mergeLimits(limits []mglimit.Word) {
	updates, unusable := n.limits.Take(n.clock.Now(), limits)
	for _, limit := range updates {
		n.log.Info("another process knows of an upstream's limit", mglog.Upstream, limit.Upstream, "rate", limit.Rate,
			"ended", limit.Ended, "age", int64(limit.Named))
	}
	if unusable > 0 {
		n.metrics.Counter("limits.unusable").Inc(int64(unusable))
		n.log.Info("words of upstreams' limits have no upstream, or a rate or age below 0", "count", unusable)
	}
}

// forgetLimits drops what is known of upstreams that are gone.
func (n *Node) forgetGoneUpstreams() {
	view := n.members.View()
	listed := func(upstream string) bool {
		_, ok := view.Agent(upstream)
		return ok
	}
	n.limits.Forget(n.clock.Now(), listed)
	n.permits.Forget(listed)
}
