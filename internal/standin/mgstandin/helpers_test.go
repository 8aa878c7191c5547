package mgstandin_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgstandin"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// golden compares the log of a session with a file under testdata.
func golden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	So(got, ShouldEqual, string(want))
}

// serve serves h until the end of the test and returns the base URL.
func serve(h http.Handler) string {
	s, err := mgstandin.Listen("127.0.0.1:0", h)
	So(err, ShouldBeNil)
	Reset(func() { So(s.Close(), ShouldBeNil) })
	return s.URL()
}

// testContext returns a context that bounds one test case.
func testContext() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	Reset(cancel)
	return ctx
}

// runEngine runs an engine at 100 times the speed of its model.
func runEngine(ctx context.Context, spec mgstandin.EngineSpec) (*mgstandin.Engine, mgengine.Client) {
	spec.Model.Speed = 100
	e := mgstandin.NewEngine(spec, mgclock.Clock{})
	return e, runInBackground(ctx, e)
}

// runInBackground runs an engine until the end of the test.
func runInBackground(ctx context.Context, e *mgstandin.Engine) mgengine.Client {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.Run(ctx)
	}()
	Reset(func() {
		cancel()
		<-done
	})
	return mgengine.NewHTTP(serve(e.Handler()), nil)
}

// startGeneration starts a generation of the given length.
func startGeneration(ctx context.Context, c mgengine.Client, id string, length int) error {
	return c.Start(ctx, startSpec(id, length))
}

// startSpec returns the spec of a generation of the given length.
func startSpec(id string, length int) mgengine.StartSpec {
	return mgengine.StartSpec{
		ID:        id,
		Prompt:    fmt.Sprintf("shift report len=%d", length),
		MaxTokens: 1 << 29,
	}
}

// readStream reads the tokens of a stream from seq until it ends or breaks.
func readStream(ctx context.Context, c mgengine.Client, id string, seq uint64) (string, mgengine.Token, error) {
	s, err := c.Stream(ctx, id, seq)
	if err != nil {
		return "", mgengine.Token{}, err
	}
	defer s.Close()
	var text strings.Builder
	for {
		t, err := s.Next(ctx)
		if err != nil || t.End != "" {
			return text.String(), t, err
		}
		if t.IsHeartbeat() {
			continue
		}
		if t.Seq != seq {
			return text.String(), t, fmt.Errorf("got token %d, want token %d", t.Seq, seq)
		}
		seq++
		text.WriteString(t.Text)
	}
}
