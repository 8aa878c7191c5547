package mgnode

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"

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
	body, err := packGossip(n.loop.Gossiped(all))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/gzip")
	_, _ = w.Write(body) // one that left asks again
}

// gossip tells the process at an address of others, and returns what it knows.
func (n *Node) gossip(ctx context.Context, addr string, all []mgmember.Gossip) ([]mgmember.Gossip, error) {
	body, err := packGossip(all)
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

// packers keeps the state of compressions, which takes most of a megabyte each: a hub
// packs for each process of its cell every three seconds.
var packers = sync.Pool{
	New: func() any { return gzip.NewWriter(nil) },
}

func packGossip(all []mgmember.Gossip) ([]byte, error) {
	var body bytes.Buffer
	packer := packers.Get().(*gzip.Writer)
	defer packers.Put(packer)
	packer.Reset(&body)
	if err := json.NewEncoder(packer).Encode(all); err != nil {
		return nil, fmt.Errorf("gossip can't be written: %w", err)
	}
	if err := packer.Close(); err != nil {
		return nil, fmt.Errorf("gossip can't be packed: %w", err)
	}
	return body.Bytes(), nil
}

func readGossip(from io.Reader) ([]mgmember.Gossip, error) {
	unpacker, err := gzip.NewReader(from)
	if err != nil {
		return nil, fmt.Errorf("gossip can't be unpacked: tell it again: %w", err)
	}
	var all []mgmember.Gossip
	if err := json.NewDecoder(io.LimitReader(unpacker, maxGossip)).Decode(&all); err != nil {
		return nil, fmt.Errorf("gossip is not rows of JSON: tell it again: %w", err)
	}
	return all, nil
}
