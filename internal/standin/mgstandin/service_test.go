package mgstandin_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgservice"
	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgstandin"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

func ticket(operation string) mgservice.CallSpec {
	return mgservice.CallSpec{
		Method:    http.MethodPost,
		Path:      "/tickets",
		Mime:      "application/json",
		Body:      []byte(`{"barrels":1}`),
		Operation: operation,
	}
}

// Guards against a client that reports a call as not sent although the service
// executed it: the caller would try again and book twice.
func TestServiceFaultMiscountsRuns(t *testing.T) {
	cases := []struct {
		name   string
		fault  string
		times  int
		kind   mgservice.Kind // empty when a reply came
		status int
		runs   int
	}{
		{
			name:   "nothing fails",
			status: http.StatusOK,
			runs:   1,
		},
		{
			name:  "the connection breaks before the body is read",
			fault: mgstandin.Early,
			kind:  mgservice.Unknown,
			runs:  0,
		},
		{
			name:  "the call runs and its answer is lost",
			fault: mgstandin.Lost,
			kind:  mgservice.Unknown,
			runs:  1,
		},
		{
			name:  "the call runs and the service hangs",
			fault: mgstandin.Hang,
			kind:  mgservice.Unknown,
			runs:  1,
		},
		{
			name:   "the service refuses",
			fault:  mgstandin.Refuse,
			status: http.StatusServiceUnavailable,
			runs:   0,
		},
		{
			name:   "the service is slow",
			fault:  mgstandin.Slow,
			status: http.StatusOK,
			runs:   1,
		},
		{
			name:  "the service answers nothing",
			fault: mgstandin.Silent,
			kind:  mgservice.Unknown,
			runs:  0,
		},
	}
	Convey("The result of a write agrees with the service's counters when", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				s := mgstandin.NewService(mgstandin.ServiceSpec{}, mgclock.Clock{})
				s.Set(mgstandin.Fault{
					Kind:  c.fault,
					Delay: 1,
				})
				client := mgservice.NewHTTP(serve(s.Handler()), nil)
				ctx := testContext()
				if c.fault == mgstandin.Hang || c.fault == mgstandin.Silent {
					var cancel context.CancelFunc
					ctx, cancel = context.WithCancel(ctx)
					defer cancel()
					go giveUp(cancel, s, c.runs)
				}
				reply, err := client.Call(ctx, ticket("op-1"))
				So(err == nil, ShouldEqual, c.kind == "")
				if err != nil {
					So(mgservice.KindOf(err), ShouldEqual, c.kind)
				}
				So(reply.Status, ShouldEqual, c.status)
				So(s.Counts().Runs["op-1"], ShouldEqual, c.runs)
			})
		}
	})
}

// giveUp cancels a call once it was executed, or at the first tick after it was sent
// if no execution is expected.
func giveUp(cancel context.CancelFunc, s *mgstandin.Service, runs int) {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for range tick.C {
		if s.Counts().Total >= runs {
			cancel()
			return
		}
	}
}

// Guards against unintended changes of the service's interface: compares one session
// with a golden file.
func TestServiceInterfaceChanges(t *testing.T) {
	Convey("A session with a plain service", t, func() {
		ctx := testContext()
		s := mgstandin.NewService(mgstandin.ServiceSpec{
			Name: "tickets",
		}, mgclock.Clock{})
		client := mgservice.NewHTTP(serve(s.Handler()), nil)
		var log strings.Builder
		for _, spec := range []mgservice.CallSpec{
			ticket("op-1"),
			ticket("op-1"),
			ticket("op-2"),
			{
				Method: http.MethodGet,
				Path:   "/levels/7?unit=mm",
			},
		} {
			reply, err := client.Call(ctx, spec)
			fmt.Fprintln(&log, spec.Method, spec.Path, spec.Operation, "->", reply.Status, reply.Mime, strings.TrimSpace(string(reply.Body)), err)
		}
		s.Set(mgstandin.Fault{
			Kind:  mgstandin.Refuse,
			Times: 1,
		})
		for range 2 {
			reply, err := client.Call(ctx, ticket("op-3"))
			fmt.Fprintln(&log, "refused once ->", reply.Status, err)
		}
		counts, err := json.Marshal(s.Counts())
		fmt.Fprintln(&log, "counts", string(counts), err)
		golden(t, "service.golden", log.String())
	})
}
