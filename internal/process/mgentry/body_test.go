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
