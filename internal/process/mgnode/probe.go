package mgnode

import (
	"context"
	"fmt"
	"net/http"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgprobe"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// probePath is where an entry receives the answers of engines that another one has probed: request and
// response are a mgprobe.Message as JSON, compressed by gzip.
const probePath = "/probes"

// answersTimeout limits the wait for the response to a message. An entry that doesn't respond by
// then isn't ranked for a second, so that others take its engines over.
const answersTimeout = 200 * mgclock.Millis(1)

// probeCall is the call for answers of engines. A message has up to 20,000.
var probeCall = peerCall{
	path:     probePath,
	purpose:  "sending answers of engines",
	maxBytes: 1 << 20,
	isBrief:  true,
}

// startProber makes this entry probe engines on behalf of all entries.
func (n *Node) startProber() {
	prober := mgprobe.New(mgprobe.Spec{
		Name:    n.settings.Name,
		Clock:   n.clock,
		Entries: n.probingEntries,
		Send:    n.sendAnswers,
		OnExcluded: func(entry string, why error) {
			n.log.Info("an entry doesn't probe engines for others, the next one in rank does", "entry", entry, "why", why.Error())
		},
		Count: func(event string, count int) { n.metrics.Counter("probes." + event).Inc(int64(count)) },
	})
	n.prober.Store(prober)
	n.admin.AddSection("probes", func() any { return prober.State() })
}

// probingEntries returns the entries to which probes may be assigned: those of the region or of this
// entry's cell that are neither suspected nor leaving, and this one unless it is leaving.
func (n *Node) probingEntries(region bool) []string {
	view := n.members.View()
	var peers []*mgmember.Member
	if region {
		peers = view.HealthyPeers(n.settings.Region)
	} else {
		peers = view.Cell(n.settings.Name, n.settings.Region).Peers
	}
	var names []string
	for _, peer := range peers {
		if peer.Kind() == mgplatform.EntryKind {
			names = append(names, peer.Name())
		}
	}
	if !n.leaving.Load() || len(names) == 0 {
		names = append(names, n.settings.Name)
	}
	return names
}

// sendAnswers sends a message to another entry, and returns its response.
func (n *Node) sendAnswers(ctx context.Context, entry string, message mgprobe.Message) (mgprobe.Message, error) {
	var reply mgprobe.Message
	peer, ok := n.members.View().Member(entry)
	if !ok {
		return reply, fmt.Errorf("peer %s: is no longer known: another entry takes its probes over", entry)
	}
	ctx, cancel := context.WithTimeout(ctx, (answersTimeout + confirmationWaits*n.recentWait()).Duration())
	defer cancel()
	err := n.post(ctx, peer.PeerAddr(), probeCall, message, &reply)
	if isUnsupported(err) {
		err = fmt.Errorf("%w: %w", mgprobe.ErrUnsupported, err)
	}
	return reply, err
}

// serveAnswers records the answers that another entry received, and responds with those known here. An entry
// that probes for itself only responds as one of a release without probes on behalf of others.
func (n *Node) serveAnswers(w http.ResponseWriter, r *http.Request) {
	prober := n.prober.Load()
	if prober == nil {
		http.NotFound(w, r)
		return
	}
	var message mgprobe.Message
	probeCall.serve(w, r, &message, func() any { return prober.Handle(message) })
}
