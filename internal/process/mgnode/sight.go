package mgnode

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
)

// sightPath is the path at which a process is told of others, and tells of those that
// it knows: mgmember.Sighting rows as JSON, compressed by gzip, both ways.
const sightPath = "/sightings"

// maxSightings bounds them in bytes once decompressed: some 8,000 rows.
const maxSightings = 1 << 20

// serveSightings answers a process that tells of others.
func (n *Node) serveSightings(w http.ResponseWriter, r *http.Request) {
	all, err := readSightings(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	body, err := packSightings(n.loop.Sighted(all))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/gzip")
	_, _ = w.Write(body) // one that left asks again
}

// sight tells the process at an address of others, and returns what it knows.
func (n *Node) sight(ctx context.Context, addr string, all []mgmember.Sighting) ([]mgmember.Sighting, error) {
	body, err := packSightings(all)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, n.guard.Base(addr)+sightPath, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("peer %s: its address is odd: %w", addr, err)
	}
	response, err := n.calls.RoundTrip(request)
	if err != nil {
		return nil, fmt.Errorf("peer %s: no sightings: %w", addr, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("peer %s: no sightings: status %d", addr, response.StatusCode)
	}
	known, err := readSightings(response.Body)
	if err != nil {
		return nil, fmt.Errorf("peer %s: %w", addr, err)
	}
	return known, nil
}

func packSightings(all []mgmember.Sighting) ([]byte, error) {
	var body bytes.Buffer
	packer := gzip.NewWriter(&body)
	if err := json.NewEncoder(packer).Encode(all); err != nil {
		return nil, fmt.Errorf("sightings can't be written: %w", err)
	}
	if err := packer.Close(); err != nil {
		return nil, fmt.Errorf("sightings can't be packed: %w", err)
	}
	return body.Bytes(), nil
}

func readSightings(from io.Reader) ([]mgmember.Sighting, error) {
	unpacker, err := gzip.NewReader(from)
	if err != nil {
		return nil, fmt.Errorf("sightings can't be unpacked: tell them again: %w", err)
	}
	var all []mgmember.Sighting
	if err := json.NewDecoder(io.LimitReader(unpacker, maxSightings)).Decode(&all); err != nil {
		return nil, fmt.Errorf("sightings are not JSON rows: tell them again: %w", err)
	}
	return all, nil
}
