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
	newsFanout   = 3
	urgentFanout = 5
	newsPause    = 150 * mgclock.Millis(1)
	// newsGap is the least time between two rounds, when there are fresh notes.
	newsGap = 20 * mgclock.Millis(1)
	// compareSpan is the mean interval at which a process compares what it knows.
	compareSpan = 1500 * mgclock.Millis(1)
	// newsWait bounds the answer of a peer.
	newsWait = 500 * mgclock.Millis(1)
	// maxNews bounds what is told at once in bytes: four times mgquarantine's most
	// notes.
	maxNews = 1 << 20
)

// newsWire is what processes tell one another.
type newsWire struct {
	Notes []mgquarantine.Note `json:"notes,omitempty"`
	// Sums are of all notes of the sender, where it compares them.
	Sums    mgquarantine.Sums `json:"sums,omitempty"`
	Compare bool              `json:"compare,omitempty"`
	// Limits are those that changed lately, and all that are known where they are compared.
	Limits []mglimit.Word `json:"limits,omitempty"`
}

// exchanger exchanges notes with other processes.
type exchanger struct {
	clock      mgclock.Clock
	log        logr.Logger
	untold     func()          // is told of a process that couldn't be told
	refused    func(count int) // is told of notes that can't be used
	quarantine *mgquarantine.Quarantine
	limits     *mglimit.Limits
	learn      func(words []mglimit.Word) // takes what others know of limits
	peers      func() []*mgmember.Member
	call       func(ctx context.Context, to *mgmember.Member, told newsWire) (newsWire, error)
}

// answer takes what another process tells, and returns what it lacks or knows less well.
func (e *exchanger) answer(told newsWire) newsWire {
	e.take(told)
	lacking := newsWire{
		Notes: e.quarantine.Refine(e.clock.Now(), told.Notes),
	}
	if told.Compare {
		lacking.Notes = e.quarantine.Lacking(e.clock.Now(), told.Sums)
		lacking.Sums = e.quarantine.Sums()
		lacking.Limits = e.limits.Words(e.clock.Now())
	}
	return lacking
}

func (e *exchanger) take(told newsWire) {
	if len(told.Limits) > 0 {
		e.learn(told.Limits)
	}
	if len(told.Notes) == 0 {
		return
	}
	if refused := e.quarantine.Take(e.clock.Now(), told.Notes); len(refused) > 0 {
		e.refused(len(refused))
		e.log.Info("notes of crashes were refused", "count", len(refused), "first", refused[0].Error())
	}
}

// tell tells some others in the background, and takes what they answer. Who can't be told
// learns by others.
func (e *exchanger) tell(ctx context.Context, count int, told newsWire) {
	peers := e.peers()
	for _, at := range rand.Perm(len(peers))[:min(count, len(peers))] {
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, newsWait.Duration())
			defer cancel()
			lacking, err := e.call(callCtx, peers[at], told)
			if err != nil {
				e.untold()
				return
			}
			e.take(lacking)
			if told.Compare {
				e.giveBack(ctx, peers[at], lacking.Sums)
			}
		}()
	}
}

// giveBack tells a process what it lacks by its sums.
func (e *exchanger) giveBack(ctx context.Context, to *mgmember.Member, theirs mgquarantine.Sums) {
	notes := e.quarantine.Lacking(e.clock.Now(), theirs)
	if len(notes) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, newsWait.Duration())
	defer cancel()
	if _, err := e.call(ctx, to, newsWire{Notes: notes}); err != nil {
		e.untold()
	}
}

// spread tells others what is learned, until ctx ends.
func (e *exchanger) spread(ctx context.Context) {
	for ctx.Err() == nil {
		changed, limited := e.quarantine.Changed(), e.limits.Changed()
		var pause <-chan struct{} // none without news
		news := newsWire{
			Notes:  e.quarantine.News(e.clock.Now()),
			Limits: e.limits.News(e.clock.Now()),
		}
		if len(news.Notes)+len(news.Limits) > 0 {
			fanout := newsFanout
			if isRepeated(news.Notes) {
				fanout = urgentFanout
			}
			e.tell(ctx, fanout, news)
			if !e.clock.Sleep(ctx, newsGap) {
				return
			}
			pause = e.clock.After(newsPause - newsGap)
		}
		select {
		case <-changed:
		case <-limited:
		case <-pause:
		case <-ctx.Done():
		}
	}
}

// isRepeated reports whether several upstreams ended under one request.
func isRepeated(notes []mgquarantine.Note) bool {
	upstreams := map[string]string{} // by digest
	for _, note := range notes {
		if note.Upstream == "" {
			continue
		}
		before, seen := upstreams[note.Digest]
		if seen && before != note.Upstream {
			return true
		}
		upstreams[note.Digest] = note.Upstream
	}
	return false
}

// compare compares what is known with one other process now and then, until ctx ends. A
// process that has just started does so as soon as it knows another.
func (e *exchanger) compare(ctx context.Context) {
	for len(e.peers()) == 0 {
		if !e.clock.Sleep(ctx, newsPause) {
			return
		}
	}
	for ctx.Err() == nil {
		e.quarantine.Tick(e.clock.Now())
		e.tell(ctx, 1, newsWire{
			Sums:    e.quarantine.Sums(),
			Compare: true,
			Limits:  e.limits.Words(e.clock.Now()),
		})
		e.clock.Sleep(ctx, compareSpan/2+mgclock.Millis(rand.Int64N(int64(compareSpan))))
	}
}

// exchanger returns what exchanges this node's notes.
func (n *Node) exchanger() *exchanger {
	return &exchanger{
		clock:      n.clock,
		log:        n.log,
		untold:     func() { n.metrics.Counter("quarantine.untold").Inc(1) },
		refused:    func(count int) { n.metrics.Counter("quarantine.refused").Inc(int64(count)) },
		quarantine: n.quarantine,
		limits:     &n.limits,
		learn:      n.takeLimits,
		peers:      n.entries,
		call:       n.callNews,
	}
}

// serveNews takes what another process tells, and answers what it lacks.
func (n *Node) serveNews(w http.ResponseWriter, r *http.Request) {
	var told newsWire
	if err := unpack(r.Body, maxNews, &told); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	body, err := pack(n.notes.answer(told))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/gzip")
	_, _ = w.Write(body) // one that left asks again
}

// callNews tells a process, and returns what it answers.
func (n *Node) callNews(ctx context.Context, to *mgmember.Member, told newsWire) (newsWire, error) {
	var lacking newsWire
	body, err := pack(told)
	if err != nil {
		return lacking, err
	}
	url := n.guard.Base(to.PeerAddr()) + quarantinePath
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return lacking, fmt.Errorf("peer %s: its address is odd: %w", to.PeerAddr(), err)
	}
	response, err := n.calls.RoundTrip(request)
	if err != nil {
		return lacking, fmt.Errorf("peer %s: it takes no notes of crashes: %w", to.PeerAddr(), err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return lacking, fmt.Errorf("peer %s: it takes no notes of crashes: status %d", to.PeerAddr(), response.StatusCode)
	}
	if err := unpack(response.Body, maxNews, &lacking); err != nil {
		return lacking, fmt.Errorf("peer %s: %w", to.PeerAddr(), err)
	}
	return lacking, nil
}
