package mgservice

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgdial"
)

// maxBodyBytes limits the bodies of calls and replies.
const maxBodyBytes = 1 << 20

// Kind specifies what is certain after a failed call.
type Kind string

// The kinds of failures.
const (
	NotSent Kind = "notsent" // the service can't have received the call
	Unknown Kind = "unknown" // the service may have run the call
)

// Failure is the error of a call without a reply.
type Failure struct {
	kind   Kind
	detail string
	cause  error
}

// Kind returns what is certain.
func (f *Failure) Kind() Kind { return f.kind }

// Unwrap returns the cause, or nil.
func (f *Failure) Unwrap() error { return f.cause }

// Error returns the kind, the detail, a remedy and the cause.
func (f *Failure) Error() string {
	remedy := "send it again or elsewhere"
	if f.kind == Unknown {
		remedy = "ask the service whether it ran; repeat it only if it is idempotent"
	}
	text := fmt.Sprintf("service: %s: %s: %s", f.kind, f.detail, remedy)
	if f.cause != nil {
		text += ": " + f.cause.Error()
	}
	return text
}

// NewFailure returns a failure, for clients of other protocols.
func NewFailure(kind Kind, detail string, cause error) *Failure {
	return &Failure{
		kind:   kind,
		detail: detail,
		cause:  cause,
	}
}

// KindOf returns the kind of the Failure in err's chain, or Unknown.
func KindOf(err error) Kind {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure.kind
	}
	return Unknown
}

// A Client makes calls to one service. The zero Client has no service: each
// call fails as NotSent.
type Client struct {
	call func(ctx context.Context, spec CallSpec) (Reply, error)
}

// NewClient returns a client that makes its calls through call.
func NewClient(call func(ctx context.Context, spec CallSpec) (Reply, error)) Client {
	return Client{
		call: call,
	}
}

// NewHTTP returns a client of the service at the URL base, such as
// "http://127.0.0.1:7401". A nil client means mgdial.NewClient(). With a client
// that pools connections, the kinds of failures would not be reliable.
func NewHTTP(base string, client *http.Client) Client {
	if client == nil {
		client = mgdial.NewClient()
	}
	return NewClient(func(ctx context.Context, spec CallSpec) (Reply, error) {
		return exchange(ctx, base, client, spec)
	})
}

// Call makes one call. A response with any status is a reply; the service's own
// errors are not failures.
func (c Client) Call(ctx context.Context, spec CallSpec) (Reply, error) {
	if c.call == nil {
		return Reply{}, NewFailure(NotSent, "the client has no service", nil)
	}
	return c.call(ctx, spec)
}

func exchange(ctx context.Context, base string, client *http.Client, spec CallSpec) (Reply, error) {
	if len(spec.Body) > maxBodyBytes {
		return Reply{}, NewFailure(NotSent, fmt.Sprintf("the body has over %d bytes", maxBodyBytes), nil)
	}
	r, err := http.NewRequestWithContext(ctx, spec.Method, base+spec.Path, bytes.NewReader(spec.Body))
	if err != nil {
		return Reply{}, NewFailure(NotSent, "the method or path is not valid", err)
	}
	if spec.Mime != "" {
		r.Header.Set("Content-Type", spec.Mime)
	}
	if spec.Operation != "" {
		r.Header.Set("Idempotency-Key", spec.Operation)
	}
	response, err := mgdial.Do(client, r)
	if err != nil {
		kind := Unknown
		var failure *mgdial.Failure
		if errors.As(err, &failure) && !failure.Sent() {
			kind = NotSent
		}
		return Reply{}, NewFailure(kind, "no reply", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes+1))
	if err != nil {
		return Reply{}, NewFailure(Unknown, "the reply was truncated", err)
	}
	if len(body) > maxBodyBytes {
		return Reply{}, NewFailure(Unknown, fmt.Sprintf("the reply has over %d bytes", maxBodyBytes), nil)
	}
	if mgdial.EndsWithConnection(response) {
		// A service that ends closes its connections as if their replies were complete.
		if ended, err := mgdial.RefusesConnections(ctx, r.URL.Host); err == nil && ended {
			return Reply{}, NewFailure(Unknown, "the reply ended with its connection and the service has ended", nil)
		}
	}
	return Reply{
		Status: response.StatusCode,
		Mime:   response.Header.Get("Content-Type"),
		Body:   body,
	}, nil
}
