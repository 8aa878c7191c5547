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
	permitWait = 100 * mgclock.Millis(1)
	// permitRetry is when a permit is asked for again after a question without an answer:
	// by then the granter is suspected, and another grants.
	permitRetry = 200 * mgclock.Millis(1)
	// maxPermit bounds a question and an answer in bytes.
	maxPermit = 64 << 10
)

// permitAsk is a question for a permit, with what the asker knows of the upstream's limit.
type permitAsk struct {
	Entry   string       `json:"entry"`
	Word    mglimit.Word `json:"word"`
	Request string       `json:"request"`
	Forced  bool         `json:"forced,omitempty"`
	Givers  int          `json:"givers"`
}

// permitReply gives the permit, or tells the ms until there may be one.
type permitReply struct {
	Given bool           `json:"given"`
	Wait  mgclock.Millis `json:"wait,omitempty"`
	Word  *mglimit.Word  `json:"word,omitempty"` // what the granter knows of the limit
}

// permit takes leave to send a request to a limited upstream.
func (n *Node) permit(ctx context.Context, permit mgrelay.Permit) (mgclock.Millis, bool) {
	hub := n.hubPeer()
	if hub == nil {
		return n.givePermit(n.settings.Name, permit)
	}
	if n.clock.Now() < mgclock.Millis(n.unpermitted.Load()) {
		return permitRetry, false
	}
	word, _ := n.limits.Word(n.clock.Now(), permit.Ask.Upstream)
	reply, err := n.askPermit(ctx, hub, permitAsk{
		Entry:   n.settings.Name,
		Word:    word,
		Request: permit.Ask.Request,
		Forced:  permit.Ask.Forced,
		Givers:  permit.Givers,
	})
	if err != nil {
		if ctx.Err() == nil {
			// The next upstream of the request must not cost as much time again.
			n.unpermitted.Store(int64(n.clock.Now() + permitRetry))
			n.failed(hub.Name())
			n.metrics.Counter("permits.unanswered").Inc(1)
			n.log.Info("no permit could be asked for, the request goes elsewhere", "hub", hub.Name(),
				mglog.Request, permit.Ask.Request, mglog.Upstream, permit.Ask.Upstream, "why", err.Error())
		}
		return permitRetry, false
	}
	if reply.Word != nil {
		n.takeLimits([]mglimit.Word{*reply.Word})
	}
	return reply.Wait, reply.Given
}

// errNoPermit is the error of a process that answers no question for a permit.
var errNoPermit = errors.New("mgnode: no answer about a permit: do all processes have one release?")

func (n *Node) askPermit(ctx context.Context, hub *mgmember.Member, ask permitAsk) (permitReply, error) {
	var reply permitReply
	ctx, cancel := context.WithTimeout(ctx, permitWait.Duration())
	defer cancel()
	body, err := json.Marshal(ask)
	if err != nil {
		return reply, fmt.Errorf("peer %s: the question for a permit can't be written: %w", hub.PeerAddr(), err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, n.guard.Base(hub.PeerAddr())+permitPath, bytes.NewReader(body))
	if err != nil {
		return reply, fmt.Errorf("peer %s: its address is odd: %w", hub.PeerAddr(), err)
	}
	response, err := n.calls.RoundTrip(request)
	if err != nil {
		return reply, fmt.Errorf("peer %s: no permit: %w", hub.PeerAddr(), err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return reply, fmt.Errorf("peer %s: status %d: %w", hub.PeerAddr(), response.StatusCode, errNoPermit)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxPermit)).Decode(&reply); err != nil {
		return reply, fmt.Errorf("peer %s: its answer about a permit can't be read: %w", hub.PeerAddr(), err)
	}
	return reply, nil
}

// servePermit answers a process that takes this one for its granter.
func (n *Node) servePermit(w http.ResponseWriter, r *http.Request) {
	var ask permitAsk
	if err := json.NewDecoder(io.LimitReader(r.Body, maxPermit)).Decode(&ask); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n.takeLimits([]mglimit.Word{ask.Word})
	wait, given := n.givePermit(ask.Entry, mgrelay.Permit{
		Ask: mglimit.Ask{
			Upstream: ask.Word.Upstream,
			Request:  ask.Request,
			Forced:   ask.Forced,
		},
		Born:   ask.Word.Born,
		Givers: ask.Givers,
	})
	reply := permitReply{
		Given: given,
		Wait:  wait,
	}
	if word, known := n.limits.Word(n.clock.Now(), ask.Word.Upstream); known {
		reply.Word = &word
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply) // one that left asks again
}

// givePermit gives a process a permit out of this one's part of the upstream's limit.
func (n *Node) givePermit(entry string, permit mgrelay.Permit) (mgclock.Millis, bool) {
	rate, limited := n.limits.Rate(permit.Ask.Upstream, permit.Born)
	if !limited {
		return 0, true
	}
	now := n.clock.Now()
	n.hub.Heard(now, entry)
	wait, given := n.permits.Take(now, permit.Ask, n.part(now, rate, permit.Givers))
	if given {
		n.metrics.Counter("permits.given").Inc(1)
	} else {
		n.metrics.Counter("permits.denied").Inc(1)
	}
	return wait, given
}

// part returns this process's part of an upstream's limit: as many of the entries that may
// send there as turn to this one.
func (n *Node) part(now mgclock.Millis, rate float64, givers int) mglimit.Part {
	view := n.members.View()
	all := 1 + view.Others()
	if cells := view.Cell(n.settings.Name, n.settings.Region).Of; givers == 1 && cells > 1 {
		all = (all + cells - 1) / cells // the upstream is one cell's
	}
	return mglimit.PartOf(rate, n.hub.Entries(now), all)
}

// boundPlaces counts how many requests each limited place takes now, and returns this
// process's parts of their limits.
func (n *Node) boundPlaces(now mgclock.Millis, places []mgroom.Place) map[string]mglimit.Part {
	var parts map[string]mglimit.Part
	for i := range places {
		p := &places[i]
		if !p.Limited {
			continue
		}
		if parts == nil {
			parts = map[string]mglimit.Part{}
		}
		part := n.part(now, p.Rate, p.Givers)
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
func (n *Node) takeLimits(words []mglimit.Word) {
	news, unusable := n.limits.Take(n.clock.Now(), words)
	for _, word := range news {
		n.log.Info("another process knows of an upstream's limit", mglog.Upstream, word.Upstream, "rate", word.Rate,
			"ended", word.Ended, "age", int64(word.Named))
	}
	if unusable > 0 {
		n.metrics.Counter("limits.unusable").Inc(int64(unusable))
		n.log.Info("words of upstreams' limits have no upstream, or a rate or age below 0", "count", unusable)
	}
}

// forgetLimits drops what is known of upstreams that are gone.
func (n *Node) forgetLimits() {
	view := n.members.View()
	listed := func(upstream string) bool {
		_, ok := view.Agent(upstream)
		return ok
	}
	n.limits.Forget(n.clock.Now(), listed)
	n.permits.Forget(listed)
}
