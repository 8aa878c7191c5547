package mgstandin_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/marjoramgauge/marjoramgauge/internal/bench/mgmodel"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgstandin"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// testTimeout bounds a test that hangs. No result depends on it.
const testTimeout = 30 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against lost or repeated tokens when the engine fails during a stream, and
// against errors that claim more than is certain: after those a caller would start a
// second generation beside the first.
func TestEngineFaultLosesOrRepeatsTokens(t *testing.T) {
	const length = 40
	cases := []struct {
		name  string
		fault mgstandin.Fault
		kind  mgengine.Kind // of the first stream's failure
	}{
		{
			name: "nothing fails",
		},
		{
			name: "the stream is cut in its middle",
			fault: mgstandin.Fault{
				Kind:  mgstandin.Cut,
				After: 7,
			},
			kind: mgengine.Broken,
		},
		{
			name: "the stream is cut before its first token",
			fault: mgstandin.Fault{
				Kind: mgstandin.Cut,
			},
			kind: mgengine.Broken,
		},
		{
			name: "the engine is slow",
			fault: mgstandin.Fault{
				Kind:   mgstandin.Slow,
				Factor: 4,
			},
		},
		{
			name: "the engine leaves, which cuts off nothing",
			fault: mgstandin.Fault{
				Kind: mgstandin.Leave,
			},
		},
	}
	Convey("A generation arrives whole when", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				ctx := testContext()
				e, client := runEngine(ctx, mgstandin.EngineSpec{})
				So(startGeneration(ctx, client, "g", length), ShouldBeNil)
				e.Set(c.fault)
				text, last, err := readStream(ctx, client, "g", 1)
				if c.kind != "" {
					So(mgengine.KindOf(err), ShouldEqual, c.kind)
					So(text, ShouldEqual, mgstandin.FirstTokens("g", int(c.fault.After)))
					var rest string
					rest, last, err = readStream(ctx, client, "g", c.fault.After+1)
					text += rest
				}
				So(err, ShouldBeNil)
				So(last.End, ShouldEqual, "stop")
				So(text, ShouldEqual, mgstandin.FirstTokens("g", length))
				id, record, found := e.Counts().Find(text)
				So(found, ShouldBeTrue)
				So(id, ShouldEqual, "g")
				So(record.Starts, ShouldEqual, 1)
				So(record.Prompt, ShouldEqual, "shift report len=40")
				_, _, found = e.Counts().Find(text[1:])
				So(found, ShouldBeFalse)
			})
		}
	})
}

// Guards against a reader that can't resume after its stream goes silent: the
// connection stays open without data while new connections work.
func TestStalledStreamLosesTokens(t *testing.T) {
	Convey("A stalled stream ends when its reader gives up, and a new one resumes", t, func() {
		ctx := testContext()
		e, client := runEngine(ctx, mgstandin.EngineSpec{})
		e.Set(mgstandin.Fault{
			Kind:  mgstandin.Stall,
			After: 5,
		})
		So(startGeneration(ctx, client, "g", 20), ShouldBeNil)
		s, err := client.Stream(ctx, "g", 1)
		So(err, ShouldBeNil)
		for seq := 1; seq <= 5; seq++ {
			token, err := s.Next(ctx)
			So(err, ShouldBeNil)
			So(token.Seq, ShouldEqual, seq)
		}
		giveUp, cancel := context.WithCancel(ctx)
		time.AfterFunc(10*time.Millisecond, cancel)
		_, err = s.Next(giveUp)
		So(mgengine.KindOf(err), ShouldEqual, mgengine.Broken)
		So(errors.Is(err, context.Canceled), ShouldBeTrue)
		text, last, err := readStream(ctx, client, "g", 6)
		So(err, ShouldBeNil)
		So(last.End, ShouldEqual, "stop")
		So(mgstandin.FirstTokens("g", 5)+text, ShouldEqual, mgstandin.FirstTokens("g", 20))
	})
}

// Guards against a stream that ends as if complete after its engine lost its state, so
// that the reader takes half a report for a whole one.
func TestDeadEngineEndsStreamAsComplete(t *testing.T) {
	Convey("The generations of a dead engine are broken, then missing", t, func() {
		ctx := testContext()
		e, client := runEngine(ctx, mgstandin.EngineSpec{})
		So(startGeneration(ctx, client, "g", 100000), ShouldBeNil)
		s, err := client.Stream(ctx, "g", 1)
		So(err, ShouldBeNil)
		defer s.Close()
		_, err = s.Next(ctx)
		So(err, ShouldBeNil)
		e.Set(mgstandin.Fault{
			Kind: mgstandin.Die,
		})
		for err == nil {
			_, err = s.Next(ctx)
		}
		So(mgengine.KindOf(err), ShouldEqual, mgengine.Broken)
		So(mgengine.KindOf(startGeneration(ctx, client, "h", 1)), ShouldEqual, mgengine.Unknown)
		e.Set(mgstandin.Fault{
			Kind: mgstandin.Heal,
		})
		_, _, err = readStream(ctx, client, "g", 2)
		So(mgengine.KindOf(err), ShouldEqual, mgengine.Missing)
		list, err := client.List(ctx)
		So(err, ShouldBeNil)
		So(list, ShouldBeEmpty)
	})
}

// Guards against a leaving engine that reports too long a notice: its agent would end
// the streams too late to tell their readers.
func TestLeavingEngineReportsWrongNotice(t *testing.T) {
	Convey("A leaving engine's report counts its notice down", t, func() {
		var clock mgclock.Manual
		e := mgstandin.NewEngine(mgstandin.EngineSpec{}, clock.Clock())
		So(e.Load().Notice, ShouldEqual, 0)
		e.Set(mgstandin.Fault{
			Kind: mgstandin.Leave,
		})
		So(e.Load().Leaving, ShouldBeTrue)
		So(e.Load().Notice, ShouldEqual, 0)
		e.Set(mgstandin.Fault{
			Kind:  mgstandin.Leave,
			Delay: 30 * mgclock.Second,
		})
		clock.Advance(10 * mgclock.Second)
		So(e.Load().Notice, ShouldEqual, 20*mgclock.Second)
		clock.Advance(mgclock.Minute)
		So(e.Load().Notice, ShouldEqual, 1)
		e.Set(mgstandin.Fault{
			Kind: mgstandin.Heal,
		})
		So(e.Load().Notice, ShouldEqual, 0)
	})
}

// Guards against repeated tokens after a preemption: the engine evicts a generation
// and computes it again, which the reader may see only as a pause and a count.
func TestPreemptionRepeatsTokens(t *testing.T) {
	Convey("Preempted generations arrive whole", t, func() {
		ctx := testContext()
		e := mgstandin.NewEngine(mgstandin.EngineSpec{
			Model: mgmodel.Spec{
				Memory: 200,
				Speed:  100,
			},
		}, mgclock.Clock{})
		// All four start before the first step. Otherwise a busy machine could finish
		// the first before the last begins, and nothing would be evicted.
		for i := range 4 {
			So(e.Start(startSpec(fmt.Sprint("g", i), 90)), ShouldBeNil)
		}
		client := runInBackground(ctx, e)
		for i := range 4 {
			id := fmt.Sprint("g", i)
			text, _, err := readStream(ctx, client, id, 1)
			So(err, ShouldBeNil)
			So(text, ShouldEqual, mgstandin.FirstTokens(id, 90))
		}
		So(e.Counts().Preempted, ShouldBeGreaterThan, 0)
	})
}

// Guards against a fenced engine that carries out orders of a replaced agent. The old
// agent was paused and wakes after its successor has given orders with a higher
// fencing number. An engine without fencing obeys, so that agents can't rely on it.
func TestOrderOfReplacedAgentIsNotFenced(t *testing.T) {
	cases := []struct {
		name   string
		fenced bool
		models []string
	}{
		{
			name:   "refused where fencing is checked",
			fenced: true,
			models: []string{"reports"},
		},
		{
			name:   "obeyed where it is ignored",
			fenced: false,
			models: []string{},
		},
	}
	Convey("An order of a replaced agent is", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				ctx := testContext()
				e, client := runEngine(ctx, mgstandin.EngineSpec{
					Fenced: c.fenced,
				})
				So(client.Order(ctx, mgengine.OrderSpec{
					Kind:  mgengine.LoadModel,
					Model: "reports",
					Fence: 9,
				}), ShouldBeNil)
				err := client.Order(ctx, mgengine.OrderSpec{
					Kind:  mgengine.UnloadModel,
					Model: "reports",
					Fence: 8,
				})
				var fence *mgengine.FenceError
				So(errors.As(err, &fence), ShouldEqual, c.fenced)
				if c.fenced {
					So(fence.Newest(), ShouldEqual, 9)
				}
				load, err := client.Load(ctx)
				So(err, ShouldBeNil)
				So(load.Models, ShouldResemble, c.models)
				So(e.Counts().Older == 1, ShouldEqual, !c.fenced)
			})
		}
	})
}

// Guards against unintended changes of the engine's interface: compares one session
// with a golden file.
func TestEngineInterfaceChanges(t *testing.T) {
	Convey("A session with an engine", t, func() {
		ctx := testContext()
		e, client := runEngine(ctx, mgstandin.EngineSpec{
			Serves: []string{"reports"},
		})
		var log strings.Builder
		logCall := func(call string, args ...any) { fmt.Fprintln(&log, append([]any{call}, args...)...) }
		spec := mgengine.StartSpec{
			ID:        "a.1",
			Model:     "reports",
			Prompt:    "len=12",
			Prefix:    []uint64{1, 2},
			MaxTokens: 8,
		}
		logCall("start", client.Start(ctx, spec))
		logCall("start again", client.Start(ctx, spec))
		spec.ID, spec.Model = "a.2", "notes"
		logCall("start an unloaded model", client.Start(ctx, spec))
		text, last, err := readStream(ctx, client, "a.1", 1)
		logCall("stream", text, last.End, err)
		text, last, err = readStream(ctx, client, "a.1", 7)
		logCall("stream from 7", text, last.End, err)
		_, _, err = readStream(ctx, client, "a.9", 1)
		logCall("stream a stranger's", err)
		list, err := client.List(ctx)
		logCall("list", fmt.Sprintf("%+v", list), err)
		logCall("cancel", client.Cancel(ctx, "a.1"), client.Cancel(ctx, "a.9"))
		events, err := client.Events(ctx, 1)
		logCall("events after 1", fmt.Sprintf("%+v", events), err)
		load, err := client.Load(ctx)
		logCall("load", fmt.Sprintf("%+v", load), err)
		logCall("counts", fmt.Sprintf("%+v", e.Counts()))
		golden(t, "engine.golden", log.String())
	})
}

func ExampleOutput() {
	fmt.Println(mgstandin.Output("reconcile len=300", 0), mgstandin.Output("reconcile len=300", 20))
	// Output: 300 20
}

// Guards against a crash prompt that leaves the engine's other generations alive.
func TestCrashPromptSparesOtherGenerations(t *testing.T) {
	Convey("An engine that generates for a prompt with CrashMark loses all its generations", t, func() {
		e := mgstandin.NewEngine(mgstandin.EngineSpec{}, mgclock.Clock{})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for id, prompt := range map[string]string{
			"proper": "len=100000",
			"bad":    mgstandin.CrashMark,
		} {
			So(e.Start(mgengine.StartSpec{
				ID:     id,
				Prompt: prompt,
			}), ShouldBeNil)
		}
		go e.Run(ctx)
		for e.Counts().Crashes == 0 {
			<-time.After(time.Millisecond)
		}
		So(e.List(), ShouldBeEmpty)
		So(e.Start(mgengine.StartSpec{
			ID:     "after",
			Prompt: "len=5",
		}), ShouldBeNil)
	})
}
