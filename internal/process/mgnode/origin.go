package mgnode

import (
	"context"
	"fmt"
	"net/http"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgorigin"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// originPath is where entries replicate the origins of their streams, and ask for them. Request
// and response are JSON of mostly one record, which isn't worth compressing.
const originPath = "/origins"

// originTimeout limits the wait for an entry's response.
const originTimeout = 300 * mgclock.Millis(1)

// originCall is the call for origins. A message has up to 1,000 records of some 80 bytes, most of them in a
// service's name and a version.
var originCall = peerCall{
	path:     originPath,
	purpose:  "sending origins of streams",
	maxBytes: 1 << 20,
	isPlain:  true,
	isBrief:  true,
}

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
	err := n.post(ctx, peer.PeerAddr(), originCall, message, &reply)
	return reply, err
}

// serveOrigins stores what another entry sends of its streams, and responds with the records
// that it asks for.
func (n *Node) serveOrigins(w http.ResponseWriter, r *http.Request) {
	var message mgorigin.Message
	originCall.serve(w, r, &message, func() any { return n.origins.Handle(n.incarnation, message) })
}
