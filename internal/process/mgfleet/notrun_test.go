package mgfleet_test

import (
	"context"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgstandin"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclient"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// A report has started and has no token yet when both engines die, and the entry
// finds no other. "Not run", the outcome of the last search alone, would be
// false, because the report ran for a while.
func TestFalseNotRunBeforeFirstToken(t *testing.T) {
	if testing.Short() {
		t.Skip("starts nine processes")
	}
	f := newFleet(t)
	Convey("A report that ran is never reported as not run", t, func() {
		for _, engine := range []string{"engine-a", "engine-b"} {
			// A decoding step takes seconds, so that no token arrives in time.
			f.setFault(engine, mgstandin.Fault{
				Kind:   mgstandin.Slow,
				Factor: 1000,
			})
		}
		ctx, cancel := context.WithTimeout(context.Background(), sessionTimeout)
		defer cancel()
		client := mgclient.New(mgclient.Spec{
			Bases:    f.entries,
			Key:      "sample-tankline",
			MaxTries: 1,
		})
		ended := make(chan error, 1)
		go func() {
			_, err := client.Complete(ctx, mgclient.Request{
				Model: "report",
				Messages: []mgclient.Message{
					{
						Role:    "user",
						Content: "lost, len=10.",
					},
				},
			}, nil)
			ended <- err
		}()
		waitFor(t, "the report was started", func() bool { return wasStarted(f.engineCounts(), "lost, len=10.") })
		for _, engine := range []string{"engine-a", "engine-b"} {
			f.setFault(engine, mgstandin.Fault{
				Kind: mgstandin.Die,
			})
		}
		err := <-ended
		So(err, ShouldNotBeNil)
		So(mgproblem.From(err).Outcome(), ShouldEqual, mgproblem.Unknown)
	})
}

// wasStarted reports whether an engine has started a generation for a prompt.
func wasStarted(engines mgstandin.EngineCounts, prompt string) bool {
	for _, record := range engines.Generations {
		if strings.Contains(record.Prompt, prompt) {
			return true
		}
	}
	return false
}
