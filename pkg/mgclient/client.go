package mgclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgdial"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// The defaults of a Spec.
const (
	defaultSilenceTimeout = 5 * mgclock.Second // five heartbeat intervals
	defaultBeginTimeout   = mgclock.Minute
	defaultMaxTries       = 8
)

// maxReplyBytes limits a reply that is read as a whole.
const maxReplyBytes = 8 << 20

// problemTypePrefix is the prefix of the type of the system's own problems, as
// opposed to those of a plain service.
const problemTypePrefix = "urn:marjoramgauge:"

// A Client makes requests through a list of entries and switches to the next one
// when an entry fails. It is safe for concurrent use. The zero Client has no
// entry: its calls fail as Invalid.
type Client struct {
	spec        Spec
	http        *http.Client
	entryNumber atomic.Uint64 // of the entry in use, modulo the number of entries
}

// New returns a client.
func New(spec Spec) *Client {
	client := mgdial.NewClient()
	if spec.Dial != nil {
		client = mgdial.NewClientWith(spec.Dial)
	}
	return &Client{
		spec: spec,
		http: client,
	}
}

func (c *Client) silenceTimeout() mgclock.Millis {
	if c.spec.SilenceTimeout > 0 {
		return c.spec.SilenceTimeout
	}
	return defaultSilenceTimeout
}

func (c *Client) beginTimeout() mgclock.Millis {
	if c.spec.BeginTimeout > 0 {
		return c.spec.BeginTimeout
	}
	return defaultBeginTimeout
}

func (c *Client) maxTries() int {
	if c.spec.MaxTries > 0 {
		return c.spec.MaxTries
	}
	return defaultMaxTries
}

func (c *Client) jitter() float64 {
	if c.spec.Jitter != nil {
		return c.spec.Jitter()
	}
	return rand.Float64()
}

// currentEntry returns the base URL and the number of the entry in use.
func (c *Client) currentEntry() (string, uint64) {
	n := c.entryNumber.Load()
	return strings.TrimSuffix(c.spec.Bases[n%uint64(len(c.spec.Bases))], "/"), n
}

// switchEntry selects the next entry, unless another goroutine already did.
func (c *Client) switchEntry(entry uint64) { c.entryNumber.CompareAndSwap(entry, entry+1) }

// transportError is a failed attempt without a reply from the system.
type transportError struct {
	sent  bool // the system may have received the request
	cause error
}

// Error returns the cause.
func (e *transportError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *transportError) Unwrap() error { return e.cause }

// send sends one request to the entry in use and returns the response, whose
// status is a success or a plain service's, or a *transportError or a
// *mgproblem.Problem. The caller closes the body.
func (c *Client) send(r *http.Request) (*http.Response, error) {
	r.Header.Set("Authorization", "Bearer "+c.spec.Key)
	response, err := mgdial.Do(c.http, r)
	if err != nil {
		var failure *mgdial.Failure
		return nil, &transportError{
			sent:  !errors.As(err, &failure) || failure.Sent(),
			cause: err,
		}
	}
	if problem := problemOf(response); problem != nil {
		_ = response.Body.Close()
		return nil, problem
	}
	return response, nil
}

// cancelAfter calls cancel after timeout unless stop is called before.
func (c *Client) cancelAfter(timeout mgclock.Millis, cancel func()) (stop func()) {
	stopped := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		select {
		case <-stopped:
		case <-c.spec.Clock.After(timeout):
			cancel()
		}
	}()
	return func() {
		close(stopped)
		<-done
	}
}

// problemOf returns the system's own problem in a response, or nil.
func problemOf(response *http.Response) *mgproblem.Problem {
	if !strings.HasPrefix(response.Header.Get("Content-Type"), mgproblem.MediaType) {
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	_ = response.Body.Close()
	response.Body = io.NopCloser(bytes.NewReader(data))
	if err != nil {
		return nil
	}
	problem := parseProblem(data)
	if problem == nil || problem.RetryAfter() > 0 {
		return problem
	}
	seconds, err := strconv.ParseInt(response.Header.Get("Retry-After"), 10, 64)
	if err != nil || seconds <= 0 {
		return problem
	}
	return problem.WithRetryAfter(mgclock.Millis(seconds) * mgclock.Second)
}

// parseProblem returns the system's own problem in data, or nil.
func parseProblem(data []byte) *mgproblem.Problem {
	var typed struct {
		Type string `json:"type"`
	}
	problem := &mgproblem.Problem{}
	if json.Unmarshal(data, &typed) != nil || !strings.HasPrefix(typed.Type, problemTypePrefix) {
		return nil
	}
	if json.Unmarshal(data, problem) != nil {
		return nil
	}
	return problem
}

// checkReady returns a problem when the client has no entries, or nil.
func (c *Client) checkReady() *mgproblem.Problem {
	if len(c.spec.Bases) == 0 || c.http == nil {
		return mgproblem.New(mgproblem.Invalid, mgproblem.NotRun,
			"the client knows no entry", "create it by New with the entries' base URLs")
	}
	return nil
}

// request returns a request to the entry in use and the entry's number.
func (c *Client) request(ctx context.Context, method, path string, data []byte) (*http.Request, uint64, error) {
	base, entry := c.currentEntry()
	r, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(data))
	if err != nil {
		return nil, entry, mgproblem.New(mgproblem.Invalid, mgproblem.NotRun,
			"the request can't be formed", "check the base URL, method and path").WithCause(err)
	}
	return r, entry, nil
}

// Cancel ends an answer. A cancelled answer can't be resumed.
func (c *Client) Cancel(ctx context.Context, answer string) error {
	_, err := c.callWithRetries(ctx, "/v1/answers/"+url.PathEscape(answer), CallSpec{
		Method: http.MethodDelete,
	})
	return err
}

// unconfirmedProblem returns the problem of a request that may or may not have
// run.
func unconfirmedProblem(err error) *mgproblem.Problem {
	return mgproblem.New(mgproblem.Unconfirmed, mgproblem.Unknown,
		"the request was sent and nothing came back",
		"find out whether it ran before asking again").WithCause(err)
}

// unreachableProblem returns the problem of a request that reached no entry.
func unreachableProblem(err error) *mgproblem.Problem {
	return mgproblem.New(mgproblem.NotReady, mgproblem.NotRun,
		"no entry can be reached", "check the base URLs and try again later").WithCause(err)
}

// cancelledProblem returns the problem of a request whose context ended.
func cancelledProblem(ctx context.Context, outcome mgproblem.Outcome) *mgproblem.Problem {
	return mgproblem.New(mgproblem.Cancelled, outcome,
		fmt.Sprintf("the caller gave up: %v", context.Cause(ctx)),
		"resume by the answer's name, or ask again").WithCause(context.Cause(ctx))
}
