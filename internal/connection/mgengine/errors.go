package mgengine

import (
	"errors"
	"fmt"
)

// Kind specifies what is certain after a failed call.
type Kind string

// The kinds of failures.
const (
	NotStarted Kind = "notstarted" // the engine refused or never received the call
	Unknown    Kind = "unknown"    // the engine may have executed the call
	Missing    Kind = "missing"    // the engine holds no such generation
	Broken     Kind = "broken"     // a stream broke off; resume it from the last token
)

// Failure is a failed call to an engine.
type Failure struct {
	kind      Kind
	call      string
	detail    string
	cause     error
	isRefusal bool // the engine itself answered
}

// Kind returns what is certain.
func (f *Failure) Kind() Kind { return f.kind }

// Unwrap returns the cause, or nil.
func (f *Failure) Unwrap() error { return f.cause }

// Error returns the call, the kind, the detail, the remedy and the cause.
func (f *Failure) Error() string {
	text := fmt.Sprintf("engine: %s: %s", f.call, f.kind)
	if f.detail != "" {
		text += ": " + f.detail
	}
	text += ": " + remedies[f.kind]
	if f.cause != nil {
		text += ": " + f.cause.Error()
	}
	return text
}

// remedies are the remedies by kind of failure.
var remedies = map[Kind]string{
	NotStarted: "start it elsewhere",
	Unknown:    "send it again by the same id, or cancel it",
	Missing:    "the engine lost or forgot it; start a new one",
	Broken:     "stream again from the token after the last one",
}

// FenceError is the refusal of an order with an outdated fencing number.
type FenceError struct {
	sent   uint64
	newest uint64
}

// Newest returns the highest fencing number that the engine has accepted.
func (e *FenceError) Newest() uint64 { return e.newest }

// Error returns both numbers and the remedy.
func (e *FenceError) Error() string {
	return fmt.Sprintf("engine: order: fencing number %d is older than %d: a newer agent controls the engine; stop sending orders", e.sent, e.newest)
}

// KindOf returns the kind of the Failure in err's chain, or Unknown.
func KindOf(err error) Kind {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure.kind
	}
	return Unknown
}

// NewFailure returns the failure of a call, for clients of other protocols.
func NewFailure(kind Kind, call, detail string, cause error) *Failure {
	return &Failure{
		kind:   kind,
		call:   call,
		detail: detail,
		cause:  cause,
	}
}

// NewRefusal returns the failure of a call that the engine itself refused, for
// clients of other protocols.
func NewRefusal(call string, cause error) *Failure {
	failure := NewFailure(NotStarted, call, "", cause)
	failure.isRefusal = true
	return failure
}

// IsRefusal reports whether err is an engine's own refusal. Such an engine is
// reachable and other requests may succeed; NotStarted alone may mean that it
// can't be reached.
func IsRefusal(err error) bool {
	var failure *Failure
	return errors.As(err, &failure) && failure.isRefusal
}

// NewFenceError returns the refusal of an outdated fencing number, for clients of
// other protocols.
func NewFenceError(sent, newest uint64) *FenceError {
	return &FenceError{
		sent:   sent,
		newest: newest,
	}
}
