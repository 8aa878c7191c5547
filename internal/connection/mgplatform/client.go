package mgplatform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgdial"
)

// maxValueBytes is the platform's limit for one value.
const maxValueBytes = 1 << 20

// versionHeader carries a value's version.
const versionHeader = "Version"

// Errors of the client.
var (
	ErrMissing   = errors.New("platform: no value has this key: publish it")
	ErrUnchanged = errors.New("platform: the value has not changed: watch again")
	// ErrManyCalls ends a process's first read of a list of VMs that would take many calls:
	// a peer may already have the list.
	ErrManyCalls = errors.New("platform: the list of VMs takes many calls: ask a peer for it, then read it again")
	// ErrCordonsChanged ends a watch of the manifest when the cordons of zones have changed,
	// on platforms that publish them next to it: the list of VMs contains them.
	ErrCordonsChanged = errors.New("platform: cordons of availability zones have changed: read the list of VMs")
	ErrRateLimited    = errors.New("platform: too many reads a second: read less often")
	ErrUnavailable    = errors.New("platform: no response: keep the current configuration and try again later")
)

// A Value is the content of a key and its version.
type Value struct {
	version uint64
	data    []byte
}

// NewValue returns a value, for clients of other protocols.
func NewValue(version uint64, data []byte) Value {
	return Value{
		version: version,
		data:    data,
	}
}

// Version returns the version that the platform assigned to the value. It is not
// the version of a table.
func (v Value) Version() uint64 { return v.version }

// Bytes returns the content. Callers must not modify it.
func (v Value) Bytes() []byte { return v.data }

// A Client reads and watches values. The calls of the zero Client fail with
// ErrUnavailable.
type Client struct {
	read  func(ctx context.Context, key string) (Value, error)
	watch func(ctx context.Context, key string, after uint64, wait mgclock.Millis) (Value, error)
}

// NewClient returns a client that calls read and watch, for other protocols.
func NewClient(
	read func(ctx context.Context, key string) (Value, error),
	watch func(ctx context.Context, key string, after uint64, wait mgclock.Millis) (Value, error),
) Client {
	return Client{
		read:  read,
		watch: watch,
	}
}

// NewHTTP returns a client of the service at the URL base, such as
// "http://127.0.0.1:7401". A nil client means mgdial.NewClient().
func NewHTTP(base string, client *http.Client) Client {
	if client == nil {
		client = mgdial.NewClient()
	}
	h := httpReader{
		base:   base,
		client: client,
	}
	return NewClient(
		func(ctx context.Context, key string) (Value, error) {
			return h.get(ctx, key, nil)
		},
		func(ctx context.Context, key string, after uint64, wait mgclock.Millis) (Value, error) {
			return h.get(ctx, key, url.Values{
				"after": {strconv.FormatUint(after, 10)},
				"wait":  {strconv.FormatInt(int64(wait), 10)},
			})
		},
	)
}

// Read returns the value of a key.
func (c Client) Read(ctx context.Context, key string) (Value, error) {
	if c.read == nil {
		return Value{}, ErrUnavailable
	}
	return c.read(ctx, key)
}

// Watch is a long poll: it returns the value of a key when its version is above
// after, or ErrUnchanged when that doesn't happen within wait.
func (c Client) Watch(ctx context.Context, key string, after uint64, wait mgclock.Millis) (Value, error) {
	if c.watch == nil {
		return Value{}, ErrUnavailable
	}
	return c.watch(ctx, key, after, wait)
}

// httpReader reads values over HTTP.
type httpReader struct {
	base   string
	client *http.Client
}

func (h httpReader) get(ctx context.Context, key string, query url.Values) (Value, error) {
	address := h.base + "/v1/values/" + url.PathEscape(key)
	if len(query) > 0 {
		address += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return Value{}, fmt.Errorf("platform: check its address in the settings: %w", err)
	}
	response, err := h.client.Do(request)
	if err != nil {
		return Value{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer response.Body.Close()
	return readResponse(key, response)
}

func readResponse(key string, response *http.Response) (Value, error) {
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return Value{}, ErrUnchanged
	case http.StatusNotFound:
		return Value{}, fmt.Errorf("key %s: %w", key, ErrMissing)
	case http.StatusTooManyRequests:
		return Value{}, ErrRateLimited
	default:
		return Value{}, fmt.Errorf("%w: status %d", ErrUnavailable, response.StatusCode)
	}
	version, err := strconv.ParseUint(response.Header.Get(versionHeader), 10, 64)
	if err != nil {
		return Value{}, fmt.Errorf("%w: the response has no version", ErrUnavailable)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxValueBytes+1))
	if err != nil {
		return Value{}, fmt.Errorf("%w: the response was truncated: %w", ErrUnavailable, err)
	}
	if len(data) > maxValueBytes {
		return Value{}, fmt.Errorf("%w: the value of %s exceeds %d bytes", ErrUnavailable, key, maxValueBytes)
	}
	return NewValue(version, data), nil
}
