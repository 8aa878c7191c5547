package mgentry_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
)

// readCounter counts the requests for frames that reach an agent.
type readCounter struct {
	next  http.Handler
	reads *atomic.Int32
}

func (c readCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		c.reads.Add(1)
	}
	c.next.ServeHTTP(w, r)
}

// A prompt that crashes engines is restarted or resent until no engine is left.
func TestCrashingPrompt(t *testing.T) {
	crashed := func() *mgrpc.Frame {
		return &mgrpc.Frame{
			Fault:   "crashed",
			Outcome: "unknown",
		}
	}
	Convey("A prompt that crashes engines", t, func() {
		var reads atomic.Int32
		agent := func(name string, frame *mgrpc.Frame) http.Handler {
			return readCounter{
				next: agentHandler(acceptingAgent{
					name:           name,
					firstTokenWait: 1,
					cancelOutcome:  "unknown",
				}, frame),
				reads: &reads,
			}
		}
		ask := func(entry *httptest.Server, text string) (status int, body string) {
			request, err := http.NewRequest(http.MethodPost, entry.URL+"/v1/chat/completions",
				strings.NewReader(`{"model":"report","messages":[{"role":"user","content":"`+text+`"}]}`))
			So(err, ShouldBeNil)
			request.Header.Set("Authorization", "Bearer sample-tankline")
			response, err := http.DefaultClient.Do(request)
			So(err, ShouldBeNil)
			defer response.Body.Close()
			got, err := io.ReadAll(response.Body)
			So(err, ShouldBeNil)
			return response.StatusCode, string(got)
		}
		Convey("reaches two engines, then one, then none", func() {
			entry := httptest.NewServer(newEntry(hostTransport{
				"agent-1": agent("agent-1", crashed()),
				"agent-2": agent("agent-2", crashed()),
			}).Handler())
			defer entry.Close()
			status, _ := ask(entry, "len=5")
			So(status, ShouldEqual, http.StatusBadGateway)
			So(reads.Load(), ShouldEqual, 2)
			status, body := ask(entry, "len=5")
			So(status, ShouldEqual, http.StatusBadGateway)
			So(body, ShouldContainSubstring, `"quarantined"`)
			So(reads.Load(), ShouldEqual, 3)
			status, body = ask(entry, "len=5")
			So(status, ShouldEqual, http.StatusServiceUnavailable)
			So(body, ShouldContainSubstring, `"notrun"`)
			So(reads.Load(), ShouldEqual, 3)
			ask(entry, "len=6")
			So(reads.Load(), ShouldEqual, 5)
		})
		Convey("is held with others that begin as it does", func() {
			entry := httptest.NewServer(newEntry(hostTransport{
				"agent-1": agent("agent-1", crashed()),
				"agent-2": agent("agent-2", crashed()),
			}).Handler())
			defer entry.Close()
			beginning := strings.Repeat("The level of tank 7 is not plausible. ", 12)
			for i := range 5 {
				ask(entry, beginning+fmt.Sprint("len=", 5+i))
			}
			So(reads.Load(), ShouldEqual, 3)
			status, body := ask(entry, beginning+"len=20")
			So(status, ShouldEqual, http.StatusServiceUnavailable)
			So(body, ShouldContainSubstring, `"notrun"`)
			ask(entry, "len=6")
			So(reads.Load(), ShouldEqual, 5)
		})
		Convey("is not held once an engine has answered it", func() {
			entry := httptest.NewServer(newEntry(hostTransport{
				"agent-1": agent("agent-1", crashed()),
				"agent-2": agent("agent-2", &mgrpc.Frame{
					Seq:   1,
					Text:  []string{"tide"},
					End:   "stop",
					Total: 1,
				}),
			}).Handler())
			defer entry.Close()
			for range 8 {
				status, _ := ask(entry, "len=1")
				So(status, ShouldEqual, http.StatusOK)
			}
		})
	})
}
