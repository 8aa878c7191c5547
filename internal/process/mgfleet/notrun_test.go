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

// A report has begun at an engine and has no token yet when the engine dies,
// and the other one with it. The entry looks for another place and finds none.
// The caller has seen nothing, yet the report did run for a while: "not run"
// would be the outcome of the last search, told as that of the whole request.
func TestFalseNotRunBeforeFirstToken(t *testing.T) {
	if testing.Short() {
		t.Skip("starts nine processes")
	}
	f := newFleet(t)
	Convey("A report that ran is never told not run", t, func() {
		for _, engine := range []string{"engine-a", "engine-b"} {
			// A step takes seconds, so that no token comes in time.
			f.setFault(engine, mgstandin.Fault{
				Kind:   mgstandin.Slow,
				Factor: 1000,
			})
		}
		ctx, cancel := context.WithTimeout(context.Background(), sessionTimeout)
		defer cancel()
		client := mgclient.New(mgclient.Spec{
			Bases: f.entries,
			Key:   "sample-tankline",
			Tries: 1,
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
		waitFor(t, "the report has begun", func() bool { return wasStarted(f.engineCounts(), "lost, len=10.") })
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

// began reports whether an engine has begun a generation for a prompt.
func wasStarted(engines mgstandin.EngineCounts, prompt string) bool {
	for _, record := range engines.Generations {
		if strings.Contains(record.Prompt, prompt) {
			return true
		}
	}
	return false
}
