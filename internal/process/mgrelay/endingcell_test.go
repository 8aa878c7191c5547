package mgrelay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgrelay"
)

// bodyFraming is how an upstream marks the end of a body.
type bodyFraming string

const (
	byLength bodyFraming = "a length"
	byChunks bodyFraming = "chunks"
	byClose  bodyFraming = "neither length nor chunks"
)

// connEnding is what happens after the bytes of an answer.
type connEnding string

const (
	lastChunk connEnding = "the last chunk"
	fin       connEnding = "the end of the connection"
	reset     connEnding = "a reset"
	silence   connEnding = "silence"
)

// endingPlace is where an answer ends.
type endingPlace string

const (
	inHeader      endingPlace = "inside the header"
	afterHeader   endingPlace = "before the first byte of the body"
	insideEvent   endingPlace = "inside an event"
	betweenEvents endingPlace = "between two events"
	afterLast     endingPlace = "after the last byte of the body"
)

// answerKind is the kind of request and answer.
type answerKind struct {
	name   string
	method string
	path   string
	status string
	header string
	full   string // the whole body
}

const (
	// firstEvents are two of the three events of a stream.
	firstEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	allEvents   = firstEvents + "id: 3\ndata: c\n\n"
)

var (
	streamAnswer = answerKind{
		name:   "stream",
		method: http.MethodPost,
		path:   "/write/1",
		status: "200 OK",
		full:   allEvents,
	}
	resumableAnswer = answerKind{
		name:   "resumable stream",
		method: http.MethodPost,
		path:   "/note/1",
		status: "200 OK",
		full:   allEvents,
	}
	plainAnswer = answerKind{
		name:   "plain answer",
		method: http.MethodPost,
		path:   "/once/1",
		status: "200 OK",
		full:   "booked as ticket 7",
	}
	failureAnswer = answerKind{
		name:   "failure",
		method: http.MethodPost,
		path:   "/once/1",
		status: "500 Internal Server Error",
		full:   "the ledger is locked",
	}
	refusalAnswer = answerKind{
		name:   "refusal",
		method: http.MethodPost,
		path:   "/once/1",
		status: "503 Service Unavailable",
		header: "Refused: 1\r\n",
		full:   "the queue is full",
	}
	headAnswer = answerKind{
		name:   "answer to HEAD",
		method: http.MethodHead,
		path:   "/look/1",
		status: "200 OK",
	}
	emptyAnswer = answerKind{
		name:   "answer 204",
		method: http.MethodPost,
		path:   "/once/1",
		status: "204 No Content",
	}
)

// isStream reports whether the body consists of events.
func (k answerKind) isStream() bool { return k.full == allEvents }

// hasBody reports whether the answer has a body.
func (k answerKind) hasBody() bool { return k.full != "" }

// endingCell is one way in which an upstream's answer ends, and the caller that gets it.
type endingCell struct {
	kind    answerKind
	framing bodyFraming
	ending  connEnding
	place   endingPlace
	crashed bool   // the upstream's address refuses connections since
	proto   string // of the caller
}

func (c endingCell) String() string {
	state := ""
	if c.crashed {
		state = ", the upstream has crashed"
	}
	return fmt.Sprintf("%s with %s: %s %s%s, to a caller with %s", c.kind.name, c.framing, c.ending, c.place, state, c.proto)
}

// body returns the part of the body that the upstream sends.
func (c endingCell) body() string {
	switch c.place {
	case insideEvent:
		return c.kind.full[:len(c.kind.full)/2]
	case betweenEvents:
		return firstEvents
	case afterLast:
		return c.kind.full
	}
	return ""
}

// isWhole reports whether the caller may take what it gets for whole.
func (c endingCell) isWhole() bool {
	switch {
	case c.place == inHeader:
		return false
	case !c.kind.hasBody():
		return true
	case c.kind.isStream() && c.place == insideEvent:
		return false
	case c.framing == byLength:
		return c.place == afterLast
	case c.framing == byChunks:
		return c.ending == lastChunk
	case c.kind.isStream() && c.place == afterHeader:
		return false
	default:
		return c.ending == fin && !c.crashed
	}
}

// write writes the upstream's answer to its connection and ends it.
func (c endingCell) write(conn net.Conn) {
	body := c.body()
	header := "HTTP/1.1 " + c.kind.status + "\r\nRequest-Id: request-1\r\nSignature: s\r\nSoftware: v1\r\n" + c.kind.header
	switch {
	case !c.kind.hasBody():
	case c.framing == byLength:
		header += fmt.Sprintf("Content-Length: %d\r\n", len(c.kind.full))
	case c.framing == byChunks:
		header += "Transfer-Encoding: chunked\r\n"
		if body != "" {
			body = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
		}
		if c.ending == lastChunk {
			body += "0\r\n\r\n"
		}
	}
	if c.place == inHeader {
		_, _ = io.WriteString(conn, header)
	} else {
		_, _ = io.WriteString(conn, header+"\r\n"+body)
	}
	if c.ending == reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	if c.ending == silence {
		_, _ = conn.Read(make([]byte, 1)) // until the relay closes the connection
	}
	_ = conn.Close()
}

// cellResult is what a caller received in a cell.
type cellResult struct {
	status    int
	body      string
	isWhole   bool // by the framing of the answer to the caller
	hasLength bool // the answer to the caller states where its body ends
	resumedAt string
	requests  int
}

// maxPlays is the number of times that a cell is played until its first upstream gets the request.
const maxPlays = 10

// play plays the cell. Where the machine is busy, a connection to the first upstream may not be open in time; the
// second one then answers whole, which says nothing of the cell.
func (c endingCell) play(t *testing.T) cellResult {
	for range maxPlays {
		if result, asked := c.playOnce(t); asked {
			return result
		}
	}
	t.Errorf("%s: in %d plays no connection to the first upstream was open in time", c, maxPlays)
	return cellResult{}
}

// playOnce sends a request whose first upstream answers as the cell says, and whose second one
// answers it whole. It reports whether the first one got the request.
func (c endingCell) playOnce(t *testing.T) (result cellResult, asked bool) {
	g := newHarness(t, func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			c.write(conn)
		}
	}, streamEvents("v1", 3))
	g.startRelay(func(spec *mgrelay.Spec) {
		spec.RefusesConnections = func(context.Context, string) (bool, error) { return c.crashed, nil }
	})
	result = c.send(g.addr)
	requests := g.requests()
	result.requests = len(requests)
	if len(requests) > 1 {
		result.resumedAt = requests[1].header.Get("Last-Event-Id")
	}
	return result, len(requests) > 0 && requests[0].upstream == firstUpstream
}

// send sends the cell's request and reads the answer to its end.
func (c endingCell) send(addr string) cellResult {
	var result cellResult
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return result
	}
	defer conn.Close()
	deadline := ""
	if c.ending == silence {
		deadline = "Deadline: 300\r\n"
	}
	length := "Content-Length: 0\r\n"
	_, _ = fmt.Fprintf(conn, "%s %s %s\r\nHost: tanks.example\r\nRequest-Id: request-1\r\n%s%s\r\n", c.kind.method, c.kind.path, c.proto, deadline, length)
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: c.kind.method})
	if err != nil {
		return result
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	result.status = response.StatusCode
	result.body = string(body)
	result.isWhole = err == nil
	result.hasLength = response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	return result
}

// endingCells returns all cells.
func endingCells() []endingCell {
	var cells []endingCell
	for _, kind := range []answerKind{streamAnswer, resumableAnswer, plainAnswer, failureAnswer, refusalAnswer, headAnswer, emptyAnswer} {
		for _, framing := range []bodyFraming{byLength, byChunks, byClose} {
			for _, ending := range []connEnding{lastChunk, fin, reset, silence} {
				for _, place := range []endingPlace{inHeader, afterHeader, insideEvent, betweenEvents, afterLast} {
					for _, crashed := range []bool{false, true} {
						for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
							c := endingCell{
								kind:    kind,
								framing: framing,
								ending:  ending,
								place:   place,
								crashed: crashed,
								proto:   proto,
							}
							if c.isPossible() {
								cells = append(cells, c)
							}
						}
					}
				}
			}
		}
	}
	return cells
}

// isPossible reports whether an upstream can answer so. Where only the connection's end can tell,
// cells that repeat others are left out.
func (c endingCell) isPossible() bool {
	switch {
	case c.ending == lastChunk && (c.framing != byChunks || c.place == inHeader):
		return false
	case c.place == betweenEvents && !c.kind.isStream():
		return false
	case !c.kind.hasBody():
		return c.framing == byClose && (c.place == inHeader || c.place == afterHeader)
	case c.crashed:
		return c.ending == fin
	default:
		return c.ending != silence || c.proto == "HTTP/1.1"
	}
}

// playAll plays all cells, several at a time.
func playAll(t *testing.T, cells []endingCell) []cellResult {
	const maxConcurrent = 24
	results := make([]cellResult, len(cells))
	slots := make(chan struct{}, maxConcurrent)
	var running sync.WaitGroup
	for i, c := range cells {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			results[i] = c.play(t)
		})
	}
	running.Wait()
	return results
}

// check compares what the caller received with what it may receive.
func (c endingCell) check(got cellResult) {
	upstreamStatus := got.status != 0 && strings.HasPrefix(c.kind.status, fmt.Sprint(got.status))
	isOwnProblem := strings.Contains(got.body, "urn:marjoramgauge:")
	switch {
	case c.isWhole():
		So(got.isWhole, ShouldBeTrue)
		So(upstreamStatus, ShouldBeTrue)
		So(got.body, ShouldEqual, c.body())
		So(got.requests, ShouldEqual, 1)
		if c.framing == byClose && c.kind.hasBody() {
			So(got.hasLength, ShouldBeFalse)
		}
	case c.kind == resumableAnswer && c.ending != silence:
		So(got.isWhole, ShouldBeTrue)
		So(writtenOnce(got.body), ShouldResemble, []string{"1", "2", "3"})
		So(got.resumedAt, ShouldEqual, lastID(c.body()))
	case c.kind == headAnswer && c.ending != silence:
		So(got.requests, ShouldEqual, 2) // repeated
	default:
		So(got.isWhole && upstreamStatus && !isOwnProblem, ShouldBeFalse)
		So(strings.HasPrefix(c.body(), got.body) || isOwnProblem, ShouldBeTrue)
	}
}

// writtenOnce returns the ids of a stream's events, in order.
func writtenOnce(body string) []string {
	var ids []string
	for _, line := range strings.Split(body, "\n") {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			ids = append(ids, id)
		}
	}
	return ids
}

// lastID returns the id of the last whole event of a body, "" if there is none.
func lastID(body string) string {
	ids := writtenOnce(body[:strings.LastIndex(body, "\n\n")+1])
	if len(ids) == 0 {
		return ""
	}
	return ids[len(ids)-1]
}
