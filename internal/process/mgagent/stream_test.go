package mgagent_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mglink"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// scriptedStream returns a stream function whose n-th connection delivers the tokens
// of the n-th script. 0 stands for the end; after its script a connection
// breaks.
func scriptedStream(scripts [][]uint64) func(context.Context, string, uint64) (*mgengine.TokenStream, error) {
	opened := 0
	return func(context.Context, string, uint64) (*mgengine.TokenStream, error) {
		script := scripts[min(opened, len(scripts)-1)]
		opened++
		at := 0
		return mgengine.NewTokenStream(func(context.Context) (mgengine.Token, error) {
			if at == len(script) {
				return mgengine.Token{}, io.ErrUnexpectedEOF
			}
			at++
			if script[at-1] == 0 {
				return mgengine.Token{
					End: "stop",
				}, nil
			}
			return mgengine.Token{
				Seq:  script[at-1],
				Text: fmt.Sprint("t", script[at-1]),
			}, nil
		}, nil), nil
	}
}

// frames returns a generation's frames as text, up to their end.
func (r *harness) frames(id string) string {
	response := httptest.NewRecorder()
	r.agent.Handler().ServeHTTP(response, httptest.NewRequest("GET", "/frames/"+id+"?from=1", nil))
	in := bufio.NewReader(response.Body)
	var b strings.Builder
	for {
		f, err := mglink.ReadFrame(in)
		if err != nil {
			return b.String()
		}
		b.WriteString(strings.Join(f.GetText(), " "))
		if mglink.IsFinal(f) {
			fmt.Fprintf(&b, " %s%s of %d", f.GetEnd(), f.GetFault(), f.GetTotal())
		}
	}
}

// An answer lacks a token or contains one twice and looks complete, because the
// engine's reopened stream started at an earlier token or skipped some.
func TestStreamRepeatsOrSkipsTokens(t *testing.T) {
	cases := map[string][][]uint64{
		"in order":                   {{1, 2, 3, 0}},
		"again from the first token": {{1, 2}, {1, 2, 3, 0}},
		"with a gap, then whole":     {{1, 3, 0}, {2, 3, 0}},
	}
	Convey("Each token once, whatever the engine's stream repeats or leaves out", t, func() {
		for story, scripts := range cases {
			Convey(story, func() {
				var got string
				runHarnessWith(t, scriptedStream(scripts), func(r *harness) {
					r.startAttempt("a", "i1")
					r.sleep(2 * mgclock.Second)
					got = r.frames("a")
				})
				So(got, ShouldEqual, "t1 t2 t3 stop of 3")
			})
		}
	})
}
