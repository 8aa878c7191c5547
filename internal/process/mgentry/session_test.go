package mgentry_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgstandin"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// chunk holds the fields that a caller reads of an event's data or of a whole
// answer.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		Finish string `json:"finish_reason"`
	} `json:"choices"`
	Usage struct {
		Completion int `json:"completion_tokens"`
	} `json:"usage"`
	Generation string `json:"generation"`
}

func (c *caller) data(data string) {
	var in chunk
	if err := json.Unmarshal([]byte(data), &in); err != nil || len(in.Choices) == 0 || in.Choices[0].Finish != "" {
		c.observed = append(c.observed, data)
		return
	}
	now := c.rig.clock.Now()
	c.stall = max(c.stall, now-c.lastReceived)
	c.lastReceived = now
	c.tokens++
	c.text.WriteString(in.Choices[0].Delta.Content)
	if c.onToken != nil {
		c.onToken(c.tokens)
	}
}

// volatileParts match what differs between two runs of a session.
var volatileParts = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{
		pattern:     regexp.MustCompile(`"id":"[^"]*"`),
		replacement: `"id":"ANSWER"`,
	},
	{
		pattern:     regexp.MustCompile(`"created":\d+`),
		replacement: `"created":0`,
	},
	{
		pattern:     regexp.MustCompile(`life-\d+-\w+`),
		replacement: `GENERATION`,
	},
	{
		pattern:     regexp.MustCompile(`("content":")([^"]+)"`),
		replacement: `$1 TEXT"`,
	},
}

// session returns what the caller observed, with volatileParts replaced and the
// tokens compared with those that the engine generated.
func (c *caller) session() string {
	var b strings.Builder
	for _, line := range c.observed {
		for _, n := range volatileParts {
			line = n.pattern.ReplaceAllString(line, n.replacement)
		}
		fmt.Fprintln(&b, line)
	}
	fmt.Fprintf(&b, "tokens: %d\n", c.tokens)
	if c.tokens > 0 {
		fmt.Fprintf(&b, "as generated: %t\n", c.text.String() == mgstandin.FirstTokens(c.generation(), c.tokens))
	}
	return b.String()
}

// onTokenCount runs callback once, when the caller has received that many tokens.
func (c *caller) onTokenCount(tokens int, callback func()) {
	c.onToken = func(n int) {
		if n == tokens {
			callback()
		}
	}
}

// wholeText reports whether the text of an unstreamed answer is as generated.
func (c *caller) wholeText() string {
	var in chunk
	if len(c.observed) < 2 || json.Unmarshal([]byte(c.observed[1]), &in) != nil || len(in.Choices) == 0 {
		return "no answer"
	}
	want := mgstandin.FirstTokens(in.Generation, in.Usage.Completion)
	return fmt.Sprintf("as generated: %t", in.Choices[0].Message.Content == want)
}

// crossFrames serves the first request for frames with those of another
// generation.
func crossFrames(other func() string) func(http.Handler) http.Handler {
	var done atomic.Bool
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/frames/") && other() != "" && !done.Swap(true) {
				r.URL.Path = "/frames/" + other()
			}
			next.ServeHTTP(w, r)
		})
	}
}

// A fault during an answer cuts, duplicates, mixes or splices its text. A golden
// file holds what the caller observes and whether the text is "as generated"; stall
// bounds the longest wait for a token, in virtual time.
func TestSessions(t *testing.T) {
	cases := []struct {
		name    string
		engines int
		stall   mgclock.Millis
		play    func(r *rig, c *caller)
	}{
		{
			name:    "nothing fails",
			engines: 2,
			stall:   100,
			play:    func(_ *rig, c *caller) { c.ask("entry-1", 20, true) },
		},
		{
			name:    "the connection to the agent goes silent",
			engines: 1,
			stall:   maxSilence + beat,
			play: func(r *rig, c *caller) {
				c.onTokenCount(5, func() { r.Silence("agent-engine-1") })
				c.ask("entry-1", 200, true)
			},
		},
		{
			name:    "the connection to the agent goes silent twice",
			engines: 1,
			stall:   maxSilence + beat,
			play: func(r *rig, c *caller) {
				c.onToken = func(n int) {
					if n == 5 || n == 90 {
						r.Silence("agent-engine-1")
					}
				}
				c.ask("entry-1", 300, true)
			},
		},
		{
			name:    "the agent is replaced mid-stream",
			engines: 1,
			stall:   mgclock.Second,
			play: func(r *rig, c *caller) {
				c.onTokenCount(5, func() { r.agent("agent-engine-1", "engine-1") })
				c.ask("entry-1", 100, true)
			},
		},
		{
			name:    "the entry is killed mid-stream",
			engines: 1,
			stall:   100,
			play: func(r *rig, c *caller) {
				c.onTokenCount(5, func() { r.kill("entry-1") })
				c.ask("entry-1", 100, true)
				c.onToken = nil
				c.resume("entry-2")
			},
		},
		{
			name:    "the caller goes and is back after two seconds",
			engines: 1,
			stall:   100,
			play: func(r *rig, c *caller) {
				c.onTokenCount(5, func() { r.kill("entry-1") })
				c.ask("entry-1", 100, true)
				c.onToken = nil
				r.clock.Sleep(r.ctx, 2*mgclock.Second)
				r.entry("entry-1")
				c.resume("entry-1")
			},
		},
		{
			name:    "the engine is killed before the first token",
			engines: 2,
			play: func(r *rig, c *caller) {
				c.paddingWords = 2000
				r.after(5, func() { r.busyEngine().Set(mgstandin.Fault{Kind: mgstandin.Die}) })
				c.ask("entry-1", 20, true)
			},
		},
		{
			name:    "the engine is killed after the first token",
			engines: 2,
			play: func(r *rig, c *caller) {
				c.onTokenCount(5, func() { r.busyEngine().Set(mgstandin.Fault{Kind: mgstandin.Die}) })
				c.ask("entry-1", 100, true)
			},
		},
		{
			name:    "the engine is killed under whole delivery",
			engines: 2,
			play: func(r *rig, c *caller) {
				r.after(300, func() { r.busyEngine().Set(mgstandin.Fault{Kind: mgstandin.Die}) })
				c.ask("entry-1", 100, false)
				c.observed = append(c.observed, c.wholeText())
			},
		},
		{
			name:    "the only engine is killed before the first token",
			engines: 1,
			play: func(r *rig, c *caller) {
				c.paddingWords = 2000
				r.after(5, func() { r.busyEngine().Set(mgstandin.Fault{Kind: mgstandin.Die}) })
				c.ask("entry-1", 20, true)
			},
		},
		{
			name:    "the engine's stream breaks off",
			engines: 1,
			stall:   mgclock.Second,
			play: func(r *rig, c *caller) {
				r.breakStream(mgstandin.Cut, 7)
				c.ask("entry-1", 100, true)
			},
		},
		{
			name:    "the engine's stream goes silent",
			engines: 1,
			stall:   4 * mgclock.Second,
			play: func(r *rig, c *caller) {
				r.breakStream(mgstandin.Stall, 7)
				c.ask("entry-1", 100, true)
			},
		},
		{
			name:    "frames of another generation cross the stream",
			engines: 1,
			stall:   100,
			play: func(r *rig, c *caller) {
				other := r.caller()
				other.ask("entry-1", 20, true)
				r.wrapFrames = crossFrames(other.generation)
				r.agent("agent-engine-1", "engine-1")
				c.ask("entry-1", 20, true)
			},
		},
		{
			name:    "a partition parts the entry from the agent for good",
			engines: 1,
			play: func(r *rig, c *caller) {
				c.onTokenCount(5, func() { r.Cut("entry-1", "agent-engine-1") })
				c.ask("entry-1", 100, true)
				c.onToken = nil
				c.resume("entry-2")
			},
		},
		{
			name:    "the engine is to be reclaimed and the work is longer",
			engines: 2,
			play: func(r *rig, c *caller) {
				c.onTokenCount(5, func() {
					e := r.busyEngine()
					e.Set(mgstandin.Fault{Kind: mgstandin.Leave})
					r.after(mgclock.Second, func() { e.Set(mgstandin.Fault{Kind: mgstandin.Die}) })
				})
				c.ask("entry-1", 1000, true)
			},
		},
		{
			name:    "the engine answers nothing, and the first token is late",
			engines: 1,
			play: func(r *rig, c *caller) {
				c.ask("entry-1", 3, true)
				r.engines["engine-1"].Set(mgstandin.Fault{Kind: mgstandin.Silent})
				c.ask("entry-1", 20, true)
			},
		},
		{
			name:    "the engine is slow, and the first token is late",
			engines: 1,
			play: func(r *rig, c *caller) {
				c.ask("entry-1", 3, true)
				r.engines["engine-1"].Set(mgstandin.Fault{
					Kind:   mgstandin.Slow,
					Factor: 10_000,
				})
				c.ask("entry-1", 20, true)
			},
		},
		{
			name:    "a stranger asks for the answer",
			engines: 1,
			play: func(r *rig, c *caller) {
				c.ask("entry-1", 20, true)
				stranger := r.caller()
				stranger.account = "cooperativa"
				stranger.answer = c.answer
				stranger.resume("entry-1")
				stranger.answer = "bmV2ZXI"
				stranger.resume("entry-1")
				c.observed = append(c.observed, stranger.observed...)
			},
		},
	}
	Convey("What a caller sees", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				var got string
				var stall mgclock.Millis
				play(t, c.engines, func(r *rig) {
					caller := r.caller()
					c.play(r, caller)
					got = caller.session()
					stall = caller.stall
				})
				golden(t, c.name, got)
				if c.stall > 0 {
					So(stall, ShouldBeLessThanOrEqualTo, c.stall)
				}
			})
		}
	})
}

// golden compares a session with its golden file.
func golden(t *testing.T, name, got string) {
	file := filepath.Join("testdata", "sessions", strings.NewReplacer(" ", "-", ",", "").Replace(name)+".txt")
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	So(err, ShouldBeNil)
	So(got, ShouldEqual, string(want))
}
