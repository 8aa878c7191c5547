package mgentry_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglink"
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
		Convey("in the middle of its answer reaches two engines, then one, then none", func() {
			late := crashed()
			late.Seq = 1
			late.Text = []string{"tide"}
			entry := httptest.NewServer(newEntry(hostTransport{
				"agent-1": agent("agent-1", late),
				"agent-2": agent("agent-2", late),
			}).Handler())
			defer entry.Close()
			for range 4 {
				ask(entry, "len=5")
			}
			So(reads.Load(), ShouldEqual, 3)
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

// runningGeneration is a network on which the first generation runs until end is closed, and the
// engines of all others end under them.
type runningGeneration struct {
	hostTransport
	first atomic.Pointer[string]
	end   chan struct{}
}

// RoundTrip serves frames as they are written.
func (g *runningGeneration) RoundTrip(r *http.Request) (*http.Response, error) {
	generation, isFrames := strings.CutPrefix(r.URL.Path, mgrpc.FramesPath)
	if !isFrames {
		return g.hostTransport.RoundTrip(r)
	}
	g.first.CompareAndSwap(nil, &generation)
	body, w := io.Pipe()
	go func() {
		defer w.Close()
		if generation != *g.first.Load() {
			_ = mglink.WriteFrame(w, &mgrpc.Frame{
				Generation: generation,
				Fault:      "crashed",
				Outcome:    "unknown",
			})
			return
		}
		from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
		g.run(w, generation, from)
	}()
	return &http.Response{
		StatusCode: http.StatusOK,
		Body:       body,
	}, nil
}

// run writes a token each 20 ms, from the one with the number from on.
func (g *runningGeneration) run(w io.Writer, generation string, from uint64) {
	for seq := from; ; seq++ {
		select {
		case <-g.end:
			return
		case <-time.After(20 * time.Millisecond):
		}
		if mglink.WriteFrame(w, &mgrpc.Frame{
			Generation: generation,
			Seq:        seq,
			Text:       []string{"tide"},
		}) != nil {
			return
		}
	}
}

// Guards against requests that are held because their prompts begin like those under which engines
// ended, while a long generation with that beginning goes on.
func TestRunningGenerationClearsNothing(t *testing.T) {
	Convey("While a generation runs, engines end under others that begin as it does", t, func() {
		agent := agentHandler(acceptingAgent{
			name:           "agent",
			firstTokenWait: 1,
			cancelOutcome:  "unknown",
		}, nil)
		network := &runningGeneration{
			hostTransport: hostTransport{
				"agent-1": agent,
				"agent-2": agent,
			},
			end: make(chan struct{}),
		}
		entry := httptest.NewServer(newEntry(network).Handler())
		defer entry.Close()
		ask := func(text, stream string) *http.Response {
			request, err := http.NewRequest(http.MethodPost, entry.URL+"/v1/chat/completions",
				strings.NewReader(`{"model":"report","stream":`+stream+`,"messages":[{"role":"user","content":"`+text+`"}]}`))
			So(err, ShouldBeNil)
			request.Header.Set("Authorization", "Bearer sample-tankline")
			response, err := http.DefaultClient.Do(request)
			So(err, ShouldBeNil)
			return response
		}
		beginning := strings.Repeat("The level of tank 7 is not plausible. ", 12)
		long := ask(beginning+"len=500", "true")
		defer long.Body.Close()
		defer close(network.end)
		tokens := bufio.NewScanner(long.Body)
		for began := time.Now(); time.Since(began) < 500*time.Millisecond; {
			So(tokens.Scan(), ShouldBeTrue)
		}
		for i := range 5 {
			response := ask(beginning+fmt.Sprint("len=", 5+i), "false")
			So(response.Body.Close(), ShouldBeNil)
			So(response.StatusCode, ShouldEqual, http.StatusBadGateway)
		}
	})
}
