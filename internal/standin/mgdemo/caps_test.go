package mgdemo_test

import (
	"context"
	"fmt"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgdemo"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclient"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// Guards against more streams than the account's limit of three in the region. Twenty
// lookups arrive at two entries at once, which may know little of each other. Rejected
// callers must get "not run" and a time to retry.
func TestMoreStreamsRunThanTheAccountAllows(t *testing.T) {
	defer goleak.VerifyNone(t)
	d, err := mgdemo.Start(context.Background(), mgdemo.Spec{})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	const callers = 20
	var done, capped int
	var others []string
	var mu sync.Mutex
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			client := mgclient.New(mgclient.Spec{
				Bases:    d.Entries()[i%2 : i%2+1],
				Key:      "sample-harbour",
				MaxTries: 1,
			})
			_, err := client.Complete(context.Background(), mgclient.Request{
				Model: "lookup",
				Messages: []mgclient.Message{{
					Role:    "user",
					Content: fmt.Sprintf("len=200 %d", i),
				}},
			}, nil)
			mu.Lock()
			defer mu.Unlock()
			problem := mgproblem.From(err)
			switch {
			case err == nil:
				done++
			case problem.Kind() == mgproblem.LimitReached && problem.Outcome() == mgproblem.NotRun && problem.RetryAfter() > 0:
				capped++
			default:
				others = append(others, err.Error())
			}
		})
	}
	group.Wait()
	Convey("No more streams run than the table allows", t, func() {
		So(others, ShouldBeEmpty)
		So(done, ShouldBeBetweenOrEqual, 1, 3)
		So(capped, ShouldEqual, callers-done)
	})
}
