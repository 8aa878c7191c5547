package mgentry_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"

	. "github.com/smartystreets/goconvey/convey"
)

// countingTransport counts the calls to agents, and fails them.
type countingTransport struct {
	calls atomic.Int64
}

func (c *countingTransport) RoundTrip(*http.Request) (*http.Response, error) {
	c.calls.Add(1)
	return nil, errors.New("no agent")
}

// Guards against a request that is run before its end has arrived: its connection would count as one that
// waits for its caller.
func TestRequestRunsBeforeItsEnd(t *testing.T) {
	const text = `{"model":"report","messages":[{"role":"user","content":"len=3"}]}`
	for _, isWhole := range []bool{true, false} {
		Convey("A request, whole or cut after its JSON", t, func() {
			var body io.Reader = strings.NewReader(text)
			if !isWhole {
				body = io.MultiReader(body, iotest.ErrReader(io.ErrUnexpectedEOF))
			}
			r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", body)
			r.Header.Set("Authorization", "Bearer sample-tankline")
			w := httptest.NewRecorder()
			var network countingTransport
			newEntry(&network).Handler().ServeHTTP(w, r)
			So(network.calls.Load() > 0, ShouldEqual, isWhole)
			So(w.Code == http.StatusBadRequest, ShouldEqual, !isWhole)
		})
	}
}

// endingReader calls a function at its end.
type endingReader struct {
	io.Reader
	atEnd func()
}

func (e *endingReader) Read(p []byte) (int, error) {
	n, err := e.Reader.Read(p)
	if err != nil {
		e.atEnd()
	}
	return n, err
}

// Guards against a request that is run by an entry which began to leave while its body arrived, and whose answer
// is then cut.
func TestBodyThatEndsWhileEntryLeavesRuns(t *testing.T) {
	for _, c := range []struct {
		name, path, text string
		table, service   string
	}{
		{
			name:  "for tokens",
			path:  "/v1/chat/completions",
			table: table,
			text:  `{"model":"report","messages":[{"role":"user","content":"len=3"}]}`,
		},
		{
			name:    "of a plain service",
			path:    "/v1/services/level/tank/7",
			text:    "book",
			table:   lookups,
			service: "level",
		},
	} {
		Convey("A request "+c.name+" whose body ends after the entry began to leave hasn't run", t, func() {
			var network countingTransport
			entry := newEntryWithTable(c.table, c.service, &network)
			body := &endingReader{
				Reader: strings.NewReader(c.text),
				atEnd:  entry.Leave,
			}
			r := httptest.NewRequest(http.MethodPost, c.path, body)
			r.Header.Set("Authorization", "Bearer sample-tankline")
			w := httptest.NewRecorder()
			entry.Handler().ServeHTTP(w, r)
			So(network.calls.Load(), ShouldEqual, 0)
			So(w.Code, ShouldEqual, http.StatusServiceUnavailable)
			So(w.Body.String(), ShouldContainSubstring, `"notrun"`)
			So(w.Header().Get("Retry-After"), ShouldNotBeEmpty)
		})
	}
}
