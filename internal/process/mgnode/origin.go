package mgnode

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgorigin"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// originPath is where entries replicate the origins of their streams, and ask for them. Request
// and response are JSON of mostly one record, which isn't worth compressing.
const originPath = "/origins"

const (
	// originTimeout limits the wait for an entry's response.
	originTimeout = 300 * mgclock.Millis(1)
	// maxOriginBytes limits the size of a request and of a response, of 1,000 records of some
	// 80 bytes, most of them in a service's name and a version.
	maxOriginBytes = 1 << 20
)

// newOrigins returns the replicator of the origins of this entry's streams.
func (n *Node) newOrigins() *mgorigin.Replicator {
	return mgorigin.NewReplicator(mgorigin.ReplicatorSpec{
		Name:    n.settings.Name,
		Zone:    n.settings.Zone,
		Clock:   n.clock,
		Peers:   n.originPeers,
		Changed: n.members.Changed,
		Call:    n.sendOrigins,
		Count:   func(event string) { n.metrics.Counter("origins." + event).Inc(1) },
	})
}

// originPeers returns the region's other entries.
func (n *Node) originPeers() []mgorigin.Peer {
	var peers []mgorigin.Peer
	for _, entry := range n.members.View().Entries(n.settings.Region) {
		if entry.Name() == n.settings.Name {
			continue
		}
		peers = append(peers, mgorigin.Peer{
			Name:      entry.Name(),
			Zone:      entry.Zone(),
			Departing: entry.Leaving() || entry.Suspect(),
		})
	}
	return peers
}

// sendOrigins sends a message to another entry, and returns its response.
func (n *Node) sendOrigins(ctx context.Context, name string, message mgorigin.Message) (mgorigin.Reply, error) {
	var reply mgorigin.Reply
	peer, ok := n.members.View().Member(name)
	if !ok {
		return reply, fmt.Errorf("peer %s: is no longer known: another entry will be asked", name)
	}
	ctx, cancel := context.WithTimeout(ctx, originTimeout.Duration())
	defer cancel()
	body, err := json.Marshal(message)
	if err != nil {
		return reply, fmt.Errorf("peer %s: encoding origins of streams: %w", name, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, n.guard.BaseURL(peer.PeerAddr())+originPath, bytes.NewReader(body))
	if err != nil {
		return reply, fmt.Errorf("peer %s: invalid address: %w", name, err)
	}
	request.Header["User-Agent"] = nil // fewer bytes
	response, err := n.calls.RoundTrip(request)
	if err != nil {
		return reply, fmt.Errorf("peer %s: sending origins of streams: %w", name, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return reply, fmt.Errorf("peer %s: sending origins of streams: status %d: do all processes run the same release?", name, response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxOriginBytes)).Decode(&reply); err != nil {
		return reply, fmt.Errorf("peer %s: decoding origins of streams: %w", name, err)
	}
	return reply, nil
}

// serveOrigins stores what another entry sends of its streams, and responds with the records
// that it asks for.
func (n *Node) serveOrigins(w http.ResponseWriter, r *http.Request) {
	var message mgorigin.Message
	if err := json.NewDecoder(io.LimitReader(r.Body, maxOriginBytes)).Decode(&message); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header()["Date"] = nil // fewer bytes
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(n.origins.Handle(n.incarnation, message)) // a peer that closed the connection asks again
}
