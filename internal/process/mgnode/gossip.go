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
const maxGossipBytes = 1 << 20

// serveGossip answers a process that tells of others.
func (n *Node) serveGossip(w http.ResponseWriter, r *http.Request) {
	rows, err := decodeGossip(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	body, err := compressJSON(n.loop.Gossiped(rows))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/gzip")
	_, _ = w.Write(body) // one that left asks again
}

// gossip tells the process at an address of others, and returns what it knows.
func (n *Node) exchangeGossip(ctx context.Context, addr string, rows []mgmember.Gossip) ([]mgmember.Gossip, error) {
	body, err := compressJSON(rows)
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
	reply, err := decodeGossip(response.Body)
	if err != nil {
		return nil, fmt.Errorf("peer %s: %w", addr, err)
	}
	return reply, nil
}

// readGossip reads what is told of processes.
func decodeGossip(from io.Reader) ([]mgmember.Gossip, error) {
	var rows []mgmember.Gossip
	if err := decompressJSON(from, maxGossipBytes, &rows); err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	return rows, nil
}
