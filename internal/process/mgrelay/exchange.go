package mgrelay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglistener"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgbody"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgbudget"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgorigin"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgquarantine"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgspeed"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// exchange is a caller's request and the state of its processing.
type exchange struct {
	call       Call
	id         string
	service    string
	homes      homes
	method     string
	target     string // path and query as the caller sent them
	hostHeader string
	header     http.Header
	size       generationSize
	body       []byte
	claim      *mgbudget.Claim // of the caller's connection, nil without a budget
	startedAt  mgclock.Millis
	firstTryAt mgclock.Millis // when the caller sent the request first, startedAt unless it has come back
	timeout    mgclock.Millis // from startedAt, the shorter of deadline and timeout of the route
	control    *http.ResponseController
	conn       net.Conn // the caller's, nil if unknown
	cancel     context.CancelCauseFunc
	canChunk   bool // the caller understands chunks

	sentAt           mgclock.Millis // when the last attempt was sent
	nextCrashNumber  uint64         // of the quarantine, when the last attempt was sent
	pendingTokens    int            // prompt tokens that are counted as not yet read
	engineState      mgspeed.State  // of the last attempt's upstream, before the attempt was sent
	learnsSpeed      bool           // the last attempt is measured; see Relay.beginMeasuring
	tried            map[string]bool
	attempts         int                        // sends that may have reached an upstream
	skippedCold      bool                       // an upstream was skipped because it is cold
	failedDials      int                        // upstreams that could not be reached
	lastUpstream     string                     // of the last attempt
	refusal          *answer                    // the last upstream's statement that it did not run
	failure          *answer                    // the last upstream's answer that it failed
	mayHaveRun       bool                       // at an upstream
	attemptBroken    bool                       // an upstream closed the connection of an attempt
	admitted         bool                       // by the quarantine; see quarantineProblem
	headerSent       bool                       // of a stream, to the caller
	watch            *processWatch              // of the last attempt's upstream
	endUnknown       bool                       // the last attempt's answer ended, and may have broken off
	endsWithConn     bool                       // the end of the caller's connection marks the end of its answer
	streaming        atomic.Bool                // headerSent for other goroutines
	generation       atomic.Pointer[generation] // of the last attempt; nil before its answer began
	digestOnce       sync.Once
	digestValue      mgquarantine.Digest // valid after digestOnce
	parts            []mgquarantine.Digest
	progressAt       mgclock.Millis      // when progress of the stream was last reported to the quarantine
	begunAt          Host                // the upstream that began the stream in this answer; zero before, or if the caller resumes it
	begunAtTime      mgclock.Millis      // when it did
	statedVersion    string              // software version that the last attempt's answer states
	copied           bool                // the last attempt continues from a copy of the generation
	origin           mgorigin.Origin     // of the stream; zero before its first event
	originKey        mgorigin.Key        // of the stream's origin, if isRecorded
	isRecorded       bool                // the caller may resume the stream
	lastHost         Host                // the upstream that produced the last event; zero before
	sequence         eventSequence       // of the events that the caller has
	lastEventAt      mgclock.Millis      // when the caller was last sent events
	firstAfterResume bool                // the next events are the first ones of another upstream
	resumed          bool                // the generation continues at another upstream, after the last event in sequence
	releaseAttempt   func(answered bool) // unregisters the attempt from backoffs; nil if none is registered
	resumeFrom       resumePoint         // what the next attempt continues from, or zero
	resumePoints     []resumePoint       // where else the generation can continue
	lateMove         *generation         // whose move went on when its stream had ended; nil if there is none
	backup           *backup             // of the last attempt; nil if its request names none
	fromBackup       bool                // the last attempt continues from a backup
	ranAtEnd         mgclock.Millis      // how long the last attempt's generation had run when it broke off
	brokeOff         bool                // the last attempt's upstream may have been lost while it ran the request
	generated        int                 // output tokens of earlier attempts that were delivered
	problem          *mgproblem.Problem
}

// resumePoint is an upstream at which a generation can continue, and the copy from
// which it does.
type resumePoint struct {
	host    Host
	copyRef string  // address of the move's source, "/", handle of the copy
	backup  *backup // nil if the copy is that of a move
}

// answer is an upstream's answer that was read completely.
type answer struct {
	status       int
	header       http.Header
	body         []byte
	endsWithConn bool // nothing but the connection's end marks the end of the body
}

// writeSlack is added to a request's timeout to get the time limit for writing its
// answer. A caller that hasn't read the answer by then is disconnected.
const writeSlack = mgclock.Second

// newExchange reads a request. It reads the whole body first: the body can then be
// sent to a second upstream, and if an upstream answers before it has read the whole
// body, that upstream can't take bytes of another body for the unread part of this one.
func (y *Relay) newExchange(w http.ResponseWriter, r *http.Request, call Call, startedAt mgclock.Millis) (*exchange, *mgproblem.Problem) {
	x := &exchange{
		call:       call,
		id:         r.Header.Get(y.spec.Headers.ID),
		method:     r.Method,
		target:     requestTarget(r),
		hostHeader: r.Host,
		startedAt:  startedAt,
		firstTryAt: startedAt,
		timeout:    call.Route.Timeout(),
		tried:      map[string]bool{},
		control:    http.NewResponseController(w),
		conn:       mglistener.RequestConn(r.Context()),
		claim:      mgbudget.ClaimOf(r.Context()),
		canChunk:   r.ProtoAtLeast(1, 1),
	}
	x.service = serviceOf(call.Route, x.id)
	x.homes = homesOf(call)
	x.size = y.spec.Headers.sizeOf(r.Header)
	if text := r.Header.Get(y.spec.Headers.Deadline); text != "" {
		deadline, err := strconv.ParseInt(text, 10, 64)
		if err != nil || deadline < 0 {
			return x, mgproblem.New(mgproblem.Invalid, mgproblem.NotRun,
				"the deadline is not a whole number of ms", "send whole ms, or leave it out")
		}
		x.timeout = min(x.timeout, mgclock.Millis(deadline))
		if y.spec.Admission && call.Route.Kind() == mgtable.Stream {
			x.firstTryAt -= y.firstTries.Waited(call.Route.Name(), x.timeout)
		}
	}
	_ = x.control.SetReadDeadline(mgclock.DeadlineAfter(x.timeout)) // an httptest.ResponseRecorder has no deadlines
	body, err := mgbody.ReadAll(r)
	if err != nil {
		w.Header().Set("Connection", "close") // the rest of the body isn't read
		return x, mgbody.Problem(err)
	}
	_ = x.control.SetReadDeadline(time.Time{})
	x.body = body
	x.header = y.spec.Headers.forwardedHeaders(r.Header)
	if call.Account != nil {
		x.header.Set(y.spec.Headers.Account, call.Account.Name())
	}
	return x, nil
}

// requestTarget returns the path and query of a request as they were sent.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// errCallerLeft ends an exchange whose caller has closed its connection.
var errCallerLeft = errors.New("the caller has left: send the request again")

// checkCaller returns errCallerLeft, and ends the exchange, if the caller has closed its connection. A
// process that runs late may not have noticed it yet.
func (x *exchange) checkCaller() error {
	if x.conn == nil || !mglistener.HasPeerClosed(x.conn) {
		return nil
	}
	x.cancel(errCallerLeft)
	return errCallerLeft
}

// timeLeft returns how long the caller still waits.
func (x *exchange) timeLeft(now mgclock.Millis) mgclock.Millis { return x.startedAt + x.timeout - now }

// setWriteDeadline bounds the time in which the caller reads the answer. A caller
// that stops reading would otherwise keep the memory of its answer allocated
// forever.
func (x *exchange) setWriteDeadline() {
	_ = x.control.SetWriteDeadline(mgclock.DeadlineAfter(x.timeout + writeSlack))
}

// clearWriteDeadline removes the bound, for the next request on the connection.
func (x *exchange) clearWriteDeadline() { _ = x.control.SetWriteDeadline(time.Time{}) }

// ran returns how long the generation of the last attempt has run since its first event.
func (x *exchange) ran(now mgclock.Millis) mgclock.Millis {
	gen := x.generation.Load()
	if gen == nil || gen.firstEventAt.Load() == 0 {
		return 0
	}
	return now - mgclock.Millis(gen.firstEventAt.Load())
}

// splitList returns the names in a comma-separated header line.
func splitList(line string) []string {
	var names []string
	for _, name := range strings.Split(line, ",") {
		if name = strings.TrimSpace(name); name != "" {
			names = append(names, name)
		}
	}
	return names
}
