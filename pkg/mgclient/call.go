package mgclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// NewOperationID returns the id of a new operation of a service. An id that is never
// used costs nothing, so NewOperationID may be retried after any transport failure.
func (c *Client) NewOperationID(ctx context.Context, service string) (string, error) {
	reply, err := c.callWithRetries(ctx, servicePath(service, "operations"), CallSpec{
		Method: http.MethodPost,
	})
	if err != nil {
		return "", err
	}
	var m mintReply
	if json.Unmarshal(reply.Body, &m) != nil || m.Operation == "" {
		return "", mgproblem.New(mgproblem.Internal, mgproblem.NotRun,
			fmt.Sprintf("status %d without an operation", reply.Status), "check the service's name and the base URLs")
	}
	return m.Operation, nil
}

// Call makes one call of a plain service. Any status of the service's own is a
// reply. A call with an operation id or a safe method is retried when no reply
// arrives; any other call fails as Unconfirmed then.
func (c *Client) Call(ctx context.Context, spec CallSpec) (Reply, error) {
	return c.callWithRetries(ctx, servicePath(spec.Service, spec.Path), spec)
}

func servicePath(service, path string) string {
	return "/v1/services/" + url.PathEscape(service) + "/" + strings.TrimPrefix(path, "/")
}

// callWithRetries makes a call and retries it until there is a reply or a final
// problem.
func (c *Client) callWithRetries(ctx context.Context, path string, spec CallSpec) (Reply, error) {
	if problem := c.checkReady(); problem != nil {
		return Reply{}, problem
	}
	inDoubt := false // an earlier attempt may have run
	for attempt := 1; ; attempt++ {
		reply, err := c.attemptCall(ctx, path, spec)
		if err == nil {
			return reply, nil
		}
		inDoubt = inDoubt || mayHaveRun(err)
		if ctx.Err() != nil {
			return Reply{}, cancelledProblem(ctx, outcomeOf(inDoubt))
		}
		if problem := c.finalCallProblem(err, attempt, inDoubt, isRepeatable(spec)); problem != nil {
			return Reply{}, problem
		}
		if !c.spec.Clock.Sleep(ctx, backoff(attempt, retryAfter(err), c.jitter())) {
			return Reply{}, cancelledProblem(ctx, outcomeOf(inDoubt))
		}
	}
}

// isRepeatable reports whether a call that may have run may be sent again.
func isRepeatable(spec CallSpec) bool {
	switch spec.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	// NewOperationID and Cancel name no service.
	return spec.Operation != "" || spec.Service == ""
}

// mayHaveRun reports whether the call of a failed attempt may have run.
func mayHaveRun(err error) bool {
	var transport *transportError
	if errors.As(err, &transport) {
		return transport.sent
	}
	return mgproblem.From(err).Outcome() == mgproblem.Unknown
}

func outcomeOf(inDoubt bool) mgproblem.Outcome {
	if inDoubt {
		return mgproblem.Unknown
	}
	return mgproblem.NotRun
}

// finalCallProblem returns the final problem after a failed attempt, or nil when
// the call is to be retried.
func (c *Client) finalCallProblem(err error, attempt int, inDoubt, isRepeatable bool) *mgproblem.Problem {
	isLast := attempt >= c.maxTries()
	var problem *mgproblem.Problem
	if errors.As(err, &problem) {
		canRetry := isTransient(problem) || isRepeatable && problem.RetryAfter() > 0
		if canRetry && !isLast {
			return nil
		}
		return problemOfCall(problem, inDoubt)
	}
	switch {
	case !inDoubt && isLast:
		return unreachableProblem(err)
	case inDoubt && (isLast || !isRepeatable):
		return unconfirmedProblem(err)
	default:
		return nil
	}
}

// problemOfCall converts the problem of the last attempt to that of the whole
// call. The outcome "not run" covers only that attempt: after an earlier one that
// may have run, it would be wrong for the call.
func problemOfCall(problem *mgproblem.Problem, inDoubt bool) *mgproblem.Problem {
	if inDoubt && problem.Outcome() == mgproblem.NotRun {
		return unconfirmedProblem(problem)
	}
	return problem
}

// attemptCall makes one attempt.
func (c *Client) attemptCall(ctx context.Context, path string, spec CallSpec) (Reply, error) {
	r, entry, err := c.request(ctx, spec.Method, path, spec.Body)
	if err != nil {
		return Reply{}, err
	}
	if spec.Mime != "" {
		r.Header.Set("Content-Type", spec.Mime)
	}
	if spec.Operation != "" {
		r.Header.Set("Idempotency-Key", spec.Operation)
	}
	reply, err := c.readReply(ctx, r)
	if err != nil && shouldSwitchEntry(err) {
		c.switchEntry(entry)
	}
	return reply, err
}

// readReply sends r and reads the whole reply.
func (c *Client) readReply(ctx context.Context, r *http.Request) (Reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer c.cancelAfter(c.beginTimeout(), cancel)()
	response, err := c.send(r.WithContext(ctx))
	if err != nil {
		return Reply{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil {
		return Reply{}, &transportError{
			sent:  true,
			cause: err,
		}
	}
	if len(data) > maxReplyBytes {
		return Reply{}, mgproblem.New(mgproblem.TooLarge, mgproblem.Done,
			fmt.Sprintf("the reply has over %d bytes", maxReplyBytes), "ask the service for less")
	}
	return Reply{
		Status: response.StatusCode,
		Mime:   response.Header.Get("Content-Type"),
		Body:   data,
	}, nil
}
