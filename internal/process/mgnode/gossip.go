package mgnode

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
)

// gossipPath is where processes exchange which other processes they know: request and
// response are mgmember.Gossip rows as JSON, compressed by gzip.
const gossipPath = "/gossip"

// maxGossipBytes limits a decompressed message: some 8,000 rows.
const maxGossipBytes = 1 << 20

// serveGossip merges the rows that a peer sends, and responds with those known here.
func (n *Node) serveGossip(w http.ResponseWriter, r *http.Request) {
	rows, err := decodeGossip(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	body, err := compressJSON(n.configLoop.HandleGossip(rows))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/gzip")
	_, _ = w.Write(body) // a peer that closed the connection asks again
}

// exchangeGossip sends rows to the process at an address, and returns the rows that are
// known there.
func (n *Node) exchangeGossip(ctx context.Context, addr string, rows []mgmember.Gossip) ([]mgmember.Gossip, error) {
	body, err := compressJSON(rows)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, n.guard.BaseURL(addr)+gossipPath, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("peer %s: invalid address: %w", addr, err)
	}
	response, err := n.calls.RoundTrip(request)
	if err != nil {
		return nil, fmt.Errorf("peer %s: exchanging gossip: %w", addr, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("peer %s: exchanging gossip: status %d", addr, response.StatusCode)
	}
	reply, err := decodeGossip(response.Body)
	if err != nil {
		return nil, fmt.Errorf("peer %s: %w", addr, err)
	}
	return reply, nil
}

// decodeGossip reads a gossip message.
func decodeGossip(from io.Reader) ([]mgmember.Gossip, error) {
	var rows []mgmember.Gossip
	if err := decompressJSON(from, maxGossipBytes, &rows); err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	return rows, nil
}
