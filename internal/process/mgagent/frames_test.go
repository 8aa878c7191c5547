package mgagent_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglink"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgagent"
)

// A finished answer of 30,000 tokens could not be read again after its caller's
// connection broke: the agent put all of it into one frame, which the link
// refuses as too large, on every retry.
func TestLongAnswerUnreadable(t *testing.T) {
	const tokens = 30_000
	Convey("A long answer is read again from its first token", t, func() {
		var produced atomic.Bool
		agent, err := newAgent(table, longEngine(tokens, &produced), func(spec *mgagent.Spec) {
			spec.Settings.HeartbeatInterval = 250
		})
		So(err, ShouldBeNil)
		_, cancel, done := runAgent(agent)
		defer func() {
			cancel()
			<-done
		}()
		server := httptest.NewServer(agent.Handler())
		defer server.Close()
		So(readAll(server.URL), ShouldEqual, tokens) // read while it is produced
		So(produced.Load(), ShouldBeTrue)
		So(readAll(server.URL), ShouldEqual, tokens)
	})
}

// longEngine has one generation, "long", with 16 bytes per token.
func longEngine(tokens int, produced *atomic.Bool) mgengine.Calls {
	engine := idleCalls()
	engine.List = func(context.Context) ([]mgengine.Generation, error) {
		return []mgengine.Generation{{
			ID: "long",
		}}, nil
	}
	engine.Stream = func(_ context.Context, _ string, from uint64) (*mgengine.TokenStream, error) {
		next := from
		return mgengine.NewTokenStream(func(context.Context) (mgengine.Token, error) {
			if next > uint64(tokens) {
				produced.Store(true)
				return mgengine.Token{End: "stop"}, nil
			}
			token := mgengine.Token{
				Seq:  next,
				Text: fmt.Sprintf("%-16d", next),
			}
			next++
			return token, nil
		}, nil), nil
	}
	return engine
}

// readAll returns how many tokens of the generation arrive, in order, up to its
// end.
func readAll(base string) int {
	response, err := http.Get(base + mgrpc.FramesPath + "long?from=1")
	So(err, ShouldBeNil)
	defer response.Body.Close()
	in := bufio.NewReader(response.Body)
	count := 0
	for {
		frame, err := mglink.ReadFrame(in)
		if err == io.EOF {
			return -count // the stream ended without a final frame
		}
		So(err, ShouldBeNil)
		for i, text := range frame.GetText() {
			if strings.TrimSpace(text) != fmt.Sprint(int(frame.GetSeq())+i) {
				return -1
			}
		}
		count += len(frame.GetText())
		if frame.GetEnd() != "" {
			return count
		}
	}
}
