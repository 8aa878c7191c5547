package mgproblem

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Kind is the type of a problem.
type Kind string

// The kinds of problems.
const (
	Invalid              Kind = "invalid"      // the request can't be understood
	Unauthenticated      Kind = "stranger"     // no client account has this key
	Forbidden            Kind = "forbidden"    // the account isn't allowed to do this
	NotFound             Kind = "missing"      // no such answer, service or model
	TooLarge             Kind = "large"        // a size limit is exceeded
	LimitReached         Kind = "capped"       // the account's limit is reached
	Overloaded           Kind = "crowded"      // no upstream has capacity in time
	DeadlineExceeded     Kind = "late"         // the deadline passed while the request waited
	Leaving              Kind = "leaving"      // the process or upstream is shutting down
	NotReady             Kind = "unready"      // the process has no configuration yet
	OutdatedVersion      Kind = "behind"       // the process has an older version
	Incarnation          Kind = "incarnation"  // the process was replaced by a new incarnation
	Tombstone            Kind = "tombstone"    // the attempt was cancelled before it arrived
	Interrupted          Kind = "interrupted"  // the generation stopped before it was complete
	Crashed              Kind = "crashed"      // the upstream ended under the request
	Unconfirmed          Kind = "unconfirmed"  // it is unknown whether the request ran
	GuaranteeUnavailable Kind = "unpromisable" // the requested guarantee can't be given
	Cancelled            Kind = "cancelled"    // the caller cancelled the request
	Quarantined          Kind = "quarantined"  // the request crashes upstreams and is quarantined
	Unresumable          Kind = "unresumable"  // no upstream is known to fit the stream that the caller resumes
	Internal             Kind = "internal"     // a fault of the system
)

// Outcome specifies whether a request ran.
type Outcome string

// The outcomes. NotRun is used only where it is attested.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "notrun"
	Unknown Outcome = "unknown"
)

// MediaType is the media type of a Problem over HTTP.
const MediaType = "application/problem+json"

// A Problem is a typed error with its remedy. The zero Problem is Internal
// with the outcome Unknown.
type Problem struct {
	kind    Kind
	detail  string
	remedy  string
	outcome Outcome
	retry   mgclock.Millis
	cause   error
}

// New returns a problem of a kind. detail describes what went wrong, remedy what
// to do about it; outcome specifies whether the request ran.
func New(kind Kind, outcome Outcome, detail, remedy string) *Problem {
	return &Problem{
		kind:    kind,
		detail:  detail,
		remedy:  remedy,
		outcome: outcome,
	}
}

// WithRetryAfter returns a copy that asks the caller to retry after delay.
func (p Problem) WithRetryAfter(delay mgclock.Millis) *Problem {
	p.retry = delay
	return &p
}

// WithCause returns a copy that wraps err.
func (p Problem) WithCause(err error) *Problem {
	p.cause = err
	return &p
}

// Kind returns the type of the problem.
func (p *Problem) Kind() Kind {
	if p.kind == "" {
		return Internal
	}
	return p.kind
}

// Outcome returns whether the request ran.
func (p *Problem) Outcome() Outcome {
	if p.outcome == "" {
		return Unknown
	}
	return p.outcome
}

// Detail returns what went wrong.
func (p *Problem) Detail() string { return p.detail }

// Remedy returns what to do about it.
func (p *Problem) Remedy() string { return p.remedy }

// RetryAfter returns the delay after which to retry, or 0.
func (p *Problem) RetryAfter() mgclock.Millis { return p.retry }

// Unwrap returns the cause, or nil.
func (p *Problem) Unwrap() error { return p.cause }

// Error returns the kind, the detail and the remedy.
func (p *Problem) Error() string {
	text := fmt.Sprintf("%s: %s: %s", p.Kind(), p.detail, p.remedy)
	if p.cause != nil {
		text += ": " + p.cause.Error()
	}
	return text
}

// From returns the Problem in err's chain, or wraps err as Internal with the
// outcome Unknown.
func From(err error) *Problem {
	var problem *Problem
	if errors.As(err, &problem) {
		return problem
	}
	return New(Internal, Unknown, "an unexpected fault", "report it with the time and the answer's name").WithCause(err)
}

// Status returns the HTTP status for the problem's kind.
func (p *Problem) Status() int {
	switch p.Kind() {
	case Invalid, GuaranteeUnavailable:
		return http.StatusBadRequest
	case Unauthenticated:
		return http.StatusUnauthorized
	case Forbidden:
		return http.StatusForbidden
	case NotFound:
		return http.StatusNotFound
	case TooLarge:
		return http.StatusRequestEntityTooLarge
	case LimitReached:
		return http.StatusTooManyRequests
	case Incarnation, Tombstone, Unconfirmed:
		return http.StatusConflict
	case Interrupted, Crashed:
		return http.StatusBadGateway
	case DeadlineExceeded:
		return http.StatusGatewayTimeout
	case Cancelled:
		return http.StatusGone
	case Overloaded, Leaving, NotReady, OutdatedVersion, Unresumable:
		return http.StatusServiceUnavailable
	case Quarantined:
		// Callers interpret 503 as an attestation that the request did not run.
		if p.Outcome() == NotRun {
			return http.StatusServiceUnavailable
		}
		return http.StatusBadGateway
	default:
		return http.StatusInternalServerError
	}
}

// wire is the JSON form of a Problem.
type problemJSON struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail,omitempty"`
	Kind    string `json:"kind"`
	Remedy  string `json:"remedy"`
	Outcome string `json:"outcome"`
	Retry   int64  `json:"retry,omitempty"`
	// Error repeats the text as the error object of OpenAI's API: without it,
	// clients of that API show only the status.
	Error errorJSON `json:"error"`
}

// wireError is the error object of OpenAI's API.
type errorJSON struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// MarshalJSON returns the application/problem+json form. It omits the cause,
// which may contain internal addresses.
func (p *Problem) MarshalJSON() ([]byte, error) {
	return json.Marshal(problemJSON{
		Type:    "urn:marjoramgauge:" + string(p.Kind()),
		Title:   string(p.Kind()),
		Status:  p.Status(),
		Detail:  p.detail,
		Kind:    string(p.Kind()),
		Remedy:  p.remedy,
		Outcome: string(p.Outcome()),
		Retry:   int64(p.retry),
		Error: errorJSON{
			Message: p.detail + ": " + p.remedy,
			Type:    string(p.Kind()),
			Code:    string(p.Outcome()),
		},
	})
}

// UnmarshalJSON parses the application/problem+json form.
func (p *Problem) UnmarshalJSON(data []byte) error {
	var w problemJSON
	if err := json.Unmarshal(data, &w); err != nil {
		return fmt.Errorf("problem: not the JSON of a problem: check the sender: %w", err)
	}
	*p = Problem{
		kind:    Kind(w.Kind),
		detail:  w.Detail,
		remedy:  w.Remedy,
		outcome: Outcome(w.Outcome),
		retry:   mgclock.Millis(w.Retry),
	}
	return nil
}

// Write responds to an HTTP request with the problem. Retry-After is in whole
// seconds, rounded up, so that callers don't retry too early.
func Write(w http.ResponseWriter, p *Problem) {
	body, err := json.Marshal(p)
	if err != nil {
		http.Error(w, "internal", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", MediaType)
	if p.retry > 0 {
		seconds := (p.retry + mgclock.Second - 1) / mgclock.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	w.WriteHeader(p.Status())
	_, _ = w.Write(body)
}
