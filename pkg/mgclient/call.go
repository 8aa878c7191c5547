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

// Mint returns the id of a new operation of a service. An id that is never
// used costs nothing, so Mint tries again whatever failed.
func (c *Client) Mint(ctx context.Context, service string) (string, error) {
	reply, err := c.repeat(ctx, servicePath(service, "operations"), CallSpec{
		Method: http.MethodPost,
	})
	if err != nil {
		return "", err
	}
	var m minted
	if json.Unmarshal(reply.Body, &m) != nil || m.Operation == "" {
		return "", mgproblem.New(mgproblem.Internal, mgproblem.NotRun,
			fmt.Sprintf("status %d without an operation", reply.Status), "check the service's name and the base URLs")
	}
	return m.Operation, nil
}

// Call makes one call of a plain service. Any status of the service's own is a
// reply. A call under an operation id, and one whose method is safe, is tried
// again when nothing came back; any other ends as Unconfirmed.
func (c *Client) Call(ctx context.Context, spec CallSpec) (Reply, error) {
	return c.repeat(ctx, servicePath(spec.Service, spec.Path), spec)
}

func servicePath(service, path string) string {
	return "/v1/services/" + url.PathEscape(service) + "/" + strings.TrimPrefix(path, "/")
}

// repeat makes a call until a reply or a final problem comes.
func (c *Client) repeat(ctx context.Context, path string, spec CallSpec) (Reply, error) {
	if problem := c.ready(); problem != nil {
		return Reply{}, problem
	}
	doubt := false // an earlier try may have run
	for try := 1; ; try++ {
		reply, err := c.once(ctx, path, spec)
		if err == nil {
			return reply, nil
		}
		doubt = doubt || mayHaveRun(err)
		if ctx.Err() != nil {
			return Reply{}, ended(ctx, outcomeOf(doubt))
		}
		if problem := c.judgeCall(err, try, doubt, repeatable(spec)); problem != nil {
			return Reply{}, problem
		}
		if !c.spec.Clock.Sleep(ctx, backoff(try, retryOf(err), c.jitter())) {
			return Reply{}, ended(ctx, outcomeOf(doubt))
		}
	}
}

// repeatable reports whether a call that may have run may be sent again.
func repeatable(spec CallSpec) bool {
	switch spec.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	// Mint and Cancel name no service.
	return spec.Operation != "" || spec.Service == ""
}

// mayHaveRun reports whether a failed try leaves a doubt.
func mayHaveRun(err error) bool {
	var transport *transportError
	if errors.As(err, &transport) {
		return transport.sent
	}
	return mgproblem.From(err).Outcome() == mgproblem.Unknown
}

func outcomeOf(doubt bool) mgproblem.Outcome {
	if doubt {
		return mgproblem.Unknown
	}
	return mgproblem.NotRun
}

// judgeCall returns the final problem after a failed try, or nil when the next
// try may follow.
func (c *Client) judgeCall(err error, try int, doubt, repeatable bool) *mgproblem.Problem {
	last := try >= c.tries()
	var problem *mgproblem.Problem
	if errors.As(err, &problem) {
		again := passes(problem) || repeatable && problem.Retry() > 0
		if again && !last {
			return nil
		}
		return final(problem, doubt)
	}
	switch {
	case !doubt && last:
		return unreached(err)
	case doubt && (last || !repeatable):
		return unconfirmed(err)
	default:
		return nil
	}
}

// final returns the system's problem as the outcome of the whole call. It
// speaks for its own try only: after an earlier one that may have run, "not
// run" would be a claim too many.
func final(problem *mgproblem.Problem, doubt bool) *mgproblem.Problem {
	if doubt && problem.Outcome() == mgproblem.NotRun {
		return unconfirmed(problem)
	}
	return problem
}

// once makes one try.
func (c *Client) once(ctx context.Context, path string, spec CallSpec) (Reply, error) {
	r, n, err := c.request(ctx, spec.Method, path, spec.Body)
	if err != nil {
		return Reply{}, err
	}
	if spec.Mime != "" {
		r.Header.Set("Content-Type", spec.Mime)
	}
	if spec.Operation != "" {
		r.Header.Set("Idempotency-Key", spec.Operation)
	}
	reply, err := c.receive(ctx, r)
	if err != nil && elsewhere(err) {
		c.leave(n)
	}
	return reply, err
}

// receive sends r and reads the whole reply.
func (c *Client) receive(ctx context.Context, r *http.Request) (Reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer c.watch(c.begin(), cancel)()
	response, err := c.send(r.WithContext(ctx))
	if err != nil {
		return Reply{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, replyBytes+1))
	if err != nil {
		return Reply{}, &transportError{
			sent:  true,
			cause: err,
		}
	}
	if len(data) > replyBytes {
		return Reply{}, mgproblem.New(mgproblem.Large, mgproblem.Done,
			fmt.Sprintf("the reply has over %d bytes", replyBytes), "ask the service for less")
	}
	return Reply{
		Status: response.StatusCode,
		Mime:   response.Header.Get("Content-Type"),
		Body:   data,
	}, nil
}
