package mgengine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgdial"
)

// maxAnswerBytes limits the body of a response other than a stream.
const maxAnswerBytes = 8 << 20

// NewHTTP returns a client of the HTTP protocol at the URL base, such as
// "http://127.0.0.1:7301". A nil client means mgdial.NewClient(). With a client
// that pools connections, the kinds of failures would not be reliable.
func NewHTTP(base string, client *http.Client) Client {
	if client == nil {
		client = mgdial.NewClient()
	}
	p := httpProtocol{
		base:   base,
		client: client,
	}
	return NewClient(Calls{
		Start:  p.start,
		Stream: p.stream,
		Cancel: p.cancel,
		Load:   p.load,
		Events: p.events,
		List:   p.list,
		Order:  p.order,
		Move:   p.move,
	})
}

// httpProtocol implements the HTTP protocol: JSON bodies, and streams with one
// JSON object per line.
type httpProtocol struct {
	base   string
	client *http.Client
}

func (p httpProtocol) start(ctx context.Context, spec StartSpec) error {
	return p.exchange(ctx, "start", http.MethodPost, "/v1/generations", spec, nil)
}

func (p httpProtocol) cancel(ctx context.Context, id string) error {
	err := p.exchange(ctx, "cancel", http.MethodDelete, "/v1/generations/"+url.PathEscape(id), nil, nil)
	if KindOf(err) == Missing {
		return nil
	}
	return err
}

func (p httpProtocol) load(ctx context.Context) (Load, error) {
	var load Load
	err := p.exchange(ctx, "load", http.MethodGet, "/v1/load", nil, &load)
	return load, err
}

func (p httpProtocol) events(ctx context.Context, after uint64) ([]Event, error) {
	var events []Event
	err := p.exchange(ctx, "events", http.MethodGet, fmt.Sprintf("/v1/events?after=%d", after), nil, &events)
	return events, err
}

func (p httpProtocol) list(ctx context.Context) ([]Generation, error) {
	var generations []Generation
	err := p.exchange(ctx, "list", http.MethodGet, "/v1/generations", nil, &generations)
	return generations, err
}

func (p httpProtocol) order(ctx context.Context, spec OrderSpec) error {
	err := p.exchange(ctx, "order", http.MethodPost, "/v1/orders", spec, nil)
	var refused *refusedError
	if errors.As(err, &refused) && refused.refusal.Kind == FenceRefusal {
		return NewFenceError(spec.Fence, refused.refusal.Fence)
	}
	return err
}

func (p httpProtocol) move(ctx context.Context, spec MoveSpec) (Copy, error) {
	var copied Copy
	err := p.exchange(ctx, "move", http.MethodPost, "/v1/generations/"+url.PathEscape(spec.ID)+"/move", spec, &copied)
	return copied, err
}

func (p httpProtocol) stream(ctx context.Context, id string, from uint64) (*TokenStream, error) {
	path := fmt.Sprintf("/v1/generations/%s/stream?from=%d", url.PathEscape(id), from)
	response, err := p.send(ctx, "stream", http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return nil, failureOfResponse("stream", response)
	}
	l := newLineReader(response.Body)
	return NewTokenStream(l.next, func() { _ = l.body.Close() }), nil
}

// exchange makes one call and decodes its response into out, unless out is nil.
func (p httpProtocol) exchange(ctx context.Context, call, method, path string, in, out any) error {
	response, err := p.send(ctx, call, method, path, in)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest || response.StatusCode < http.StatusOK {
		return failureOfResponse(call, response)
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(out); err != nil {
		return NewFailure(Unknown, call, "the response can't be decoded", err)
	}
	return nil
}

// send returns the response to one call.
func (p httpProtocol) send(ctx context.Context, call, method, path string, in any) (*http.Response, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, NewFailure(NotStarted, call, "the request can't be encoded", err)
		}
		body = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, p.base+path, body)
	if err != nil {
		return nil, NewFailure(NotStarted, call, "the engine's address is not a valid URL", err)
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := mgdial.Do(p.client, r)
	if err != nil {
		kind := Unknown
		var failure *mgdial.Failure
		if errors.As(err, &failure) && !failure.Sent() {
			kind = NotStarted
		}
		return nil, NewFailure(kind, call, "", err)
	}
	return response, nil
}

// failureOfResponse returns the failure for a response with an error status.
// Only a 4xx status attests that the engine did nothing; a 5xx status may come
// after the engine acted, or from a proxy.
func failureOfResponse(call string, response *http.Response) error {
	refused := &refusedError{
		status: response.StatusCode,
	}
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxLineBytes))
	if json.Unmarshal(body, &refused.refusal) != nil {
		refused.refusal.Detail = string(body)
	}
	kind := Unknown
	switch {
	case response.StatusCode == http.StatusNotFound:
		kind = Missing
	case response.StatusCode == http.StatusRequestTimeout:
		kind = Unknown
	case response.StatusCode >= 400 && response.StatusCode < 500:
		return NewRefusal(call, refused)
	}
	return NewFailure(kind, call, "", refused)
}

// refusedError carries an engine's refusal.
type refusedError struct {
	status  int
	refusal Refusal
}

// Error returns the status, kind and detail of the refusal.
func (e *refusedError) Error() string {
	return fmt.Sprintf("status %d: %s: %s", e.status, e.refusal.Kind, e.refusal.Detail)
}
