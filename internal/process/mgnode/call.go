package mgnode

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// A peerCall is a kind of call between processes whose request and response are JSON.
type peerCall struct {
	path     string
	purpose  string // for errors, such as "sending origins of streams"
	maxBytes int64  // of a response, and of a request
	isPlain  bool   // JSON isn't compressed
	isBrief  bool   // without headers that nothing needs, for calls that are frequent
}

// statusError is the error for a response whose status isn't 200.
type statusError int

func (s statusError) Error() string {
	return fmt.Sprintf("status %d: do all processes run the same release?", int(s))
}

// isUnsupported reports whether a process doesn't serve a call: one that has it switched off answers 404, an
// entry whose release lacks it 503.
func isUnsupported(err error) bool {
	var status statusError
	return errors.As(err, &status) && (status == http.StatusNotFound || status == http.StatusServiceUnavailable)
}

// post sends a message to the process at an address, and decodes the response into reply.
func (n *Node) post(ctx context.Context, addr string, call peerCall, message, reply any) error {
	body, err := call.encode(message)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, n.guard.BaseURL(addr)+call.path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("peer %s: invalid address: %w", addr, err)
	}
	if call.isBrief {
		request.Header["User-Agent"] = nil
	}
	response, err := n.calls.RoundTrip(request)
	if err != nil {
		return fmt.Errorf("peer %s: %s: %w", addr, call.purpose, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("peer %s: %s: %w", addr, call.purpose, statusError(response.StatusCode))
	}
	if err := call.decode(response.Body, reply); err != nil {
		return fmt.Errorf("peer %s: %s: %w", addr, call.purpose, err)
	}
	return nil
}

// serve decodes a request into message and responds with what handle returns.
func (c peerCall) serve(w http.ResponseWriter, r *http.Request, message any, handle func() any) {
	if err := c.decode(r.Body, message); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	body, err := c.encode(handle())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if c.isBrief {
		w.Header()["Date"] = nil
	}
	contentType := "application/gzip"
	if c.isPlain {
		contentType = "application/json"
	}
	w.Header().Set("Content-Type", contentType)
	_, _ = w.Write(body) // a peer that closed the connection asks again
}

func (c peerCall) encode(value any) ([]byte, error) {
	if !c.isPlain {
		return compressJSON(value)
	}
	body, err := json.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("%T can't be encoded: %w", value, err)
	}
	return body, nil
}

func (c peerCall) decode(from io.Reader, value any) error {
	if !c.isPlain {
		return decompressJSON(from, c.maxBytes, value)
	}
	if err := json.NewDecoder(io.LimitReader(from, c.maxBytes)).Decode(value); err != nil {
		return fmt.Errorf("%T is not JSON: send it again: %w", value, err)
	}
	return nil
}
