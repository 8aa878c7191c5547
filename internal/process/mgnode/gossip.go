package mgnode

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
)

// gossipPath is the path at which a process is told of others, and tells of those that
// it knows: mgmember.Gossip rows as JSON, compressed by gzip, both ways.
const gossipPath = "/gossip"

// maxGossip bounds it in bytes once decompressed: some 8,000 rows.
const maxGossip = 1 << 20

// serveGossip answers a process that tells of others.
func (n *Node) serveGossip(w http.ResponseWriter, r *http.Request) {
	all, err := readGossip(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	body, err := pack(n.loop.Gossiped(all))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/gzip")
	_, _ = w.Write(body) // one that left asks again
}

// gossip tells the process at an address of others, and returns what it knows.
func (n *Node) gossip(ctx context.Context, addr string, all []mgmember.Gossip) ([]mgmember.Gossip, error) {
	body, err := pack(all)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, n.guard.Base(addr)+gossipPath, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("peer %s: its address is odd: %w", addr, err)
	}
	response, err := n.calls.RoundTrip(request)
	if err != nil {
		return nil, fmt.Errorf("peer %s: no gossip: %w", addr, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("peer %s: no gossip: status %d", addr, response.StatusCode)
	}
	known, err := readGossip(response.Body)
	if err != nil {
		return nil, fmt.Errorf("peer %s: %w", addr, err)
	}
	return known, nil
}

// readGossip reads what is told of processes.
func readGossip(from io.Reader) ([]mgmember.Gossip, error) {
	var all []mgmember.Gossip
	if err := unpack(from, maxGossip, &all); err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	return all, nil
}
