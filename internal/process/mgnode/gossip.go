package mgnode

import (
	"context"
	"net/http"

	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
)

// gossipPath is where processes exchange which other processes they know: request and
// response are mgmember.Gossip rows as JSON, compressed by gzip.
const gossipPath = "/gossip"

// gossipCall is the call for gossip. A message has up to some 8,000 rows.
var gossipCall = peerCall{
	path:     gossipPath,
	purpose:  "exchanging gossip",
	maxBytes: 1 << 20,
}

// serveGossip merges the rows that a peer sends, and responds with those known here.
func (n *Node) serveGossip(w http.ResponseWriter, r *http.Request) {
	var rows []mgmember.Gossip
	gossipCall.serve(w, r, &rows, func() any { return n.configLoop.HandleGossip(rows) })
}

// exchangeGossip sends rows to the process at an address, and returns the rows that are
// known there.
func (n *Node) exchangeGossip(ctx context.Context, addr string, rows []mgmember.Gossip) ([]mgmember.Gossip, error) {
	var reply []mgmember.Gossip
	if err := n.post(ctx, addr, gossipCall, rows, &reply); err != nil {
		return nil, err
	}
	return reply, nil
}
