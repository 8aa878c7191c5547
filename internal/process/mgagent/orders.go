package mgagent

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgfence"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mglog"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgplacement"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

const (
	// orderInterval is the interval at which the plan is compared with the
	// models that the engine holds. It is well below mgfence's bound on an
	// undetected pause.
	orderInterval = 500 * mgclock.Millis(1)
	// orderTimeout limits one order: loading weights takes tens of seconds.
	orderTimeout = 2 * mgclock.Minute
	// maxReportLag is how long an engine's report may lag behind an order that
	// it has executed. Without it the agent would order the same load again.
	maxReportLag = 30 * mgclock.Second
)

// orderState tracks the orders to the engine: which model to load.
type orderState struct {
	guard          *mgfence.Guard
	pacer          *mgplacement.Pacer
	isPending      atomic.Bool                   // an order was sent and is not answered yet
	wasRefused     atomic.Bool                   // the last order was refused
	lastLoad       atomic.Pointer[completedLoad] // the last order that was executed
	reportedModels atomic.Pointer[[]string]      // models in the engine's last report, nil before the first
}

// completedLoad is a load order that the engine has executed.
type completedLoad struct {
	model string
	at    mgclock.Millis
}

func newOrderState(spec Spec, upstream *mgtable.Upstream) *orderState {
	checksFence := upstream != nil && upstream.FencingMode() == mgtable.OrdersChecked
	return &orderState{
		guard: mgfence.New(mgfence.Spec{
			StartedUnix:  spec.StartedUnix,
			StartedAt:    spec.Clock.Now(),
			EngineChecks: checksFence,
		}),
		pacer: mgplacement.NewPacer(spec.Settings.Upstream, 0, uint64(spec.StartedUnix)),
	}
}

// lacksModel reports whether the engine reports other models but not this one.
// An engine that reports no models is tried anyway: it refuses what it can't
// run.
func (o *orderState) lacksModel(model string) bool {
	held := o.reportedModels.Load()
	return held != nil && len(*held) > 0 && !slices.Contains(*held, model)
}

// orderLoop sends orders as they become due, until ctx ends.
func (a *Agent) orderLoop(ctx context.Context) {
	if a.spec.Plan == nil || !a.upstreamIsEngine() {
		return
	}
	for a.spec.Clock.Sleep(ctx, orderInterval) {
		a.orderOnce(ctx)
	}
}

func (a *Agent) orderOnce(ctx context.Context) {
	now := a.spec.Clock.Now()
	a.renewLease(now)
	held := a.orders.reportedModels.Load()
	table := a.spec.Table()
	if held == nil || table == nil || a.orders.isPending.Load() {
		return
	}
	plan := a.spec.Plan()
	a.orders.pacer.SetPlan(now, plan)
	if a.orders.wasRefused.Swap(false) {
		a.orders.pacer.RecordRefusal(now)
	}
	a.orders.pacer.RecordLoaded(now, a.orders.heldModel(now, *held, plan.Model(a.spec.Settings.Upstream)))
	if model := a.orders.pacer.Due(now); model != "" {
		a.loadModel(ctx, table.Version(), model)
	}
}

// renewLease renews the lease on the engine's orders while this agent is known
// to be the engine's current agent, and revokes it otherwise.
func (a *Agent) renewLease(now mgclock.Millis) {
	a.orders.guard.ObserveClock(now)
	if asked, ours := a.spec.IsCurrent(); ours && !a.isLeaving.Load() {
		a.orders.guard.Renew(asked, now)
		return
	}
	a.orders.guard.Revoke()
}

// heldModel returns the wanted model if the engine holds it according to its
// report or to a recent order, else any model that it holds, or "".
func (o *orderState) heldModel(now mgclock.Millis, held []string, wanted string) string {
	lastLoad := o.lastLoad.Load()
	if lastLoad != nil && lastLoad.model == wanted && now < lastLoad.at+maxReportLag || slices.Contains(held, wanted) {
		return wanted
	}
	if len(held) > 0 {
		return held[0]
	}
	return ""
}

// loadModel orders the engine to load a model, in the background because it
// takes long.
func (a *Agent) loadModel(ctx context.Context, version uint64, model string) {
	order, err := a.orders.guard.Plan(version, a.spec.Clock.Now())
	if err != nil {
		return // no lease yet; the next interval tries again
	}
	a.orders.isPending.Store(true)
	a.tasks.Go(func() {
		defer a.orders.isPending.Store(false)
		a.sendLoad(ctx, order, model)
	})
}

func (a *Agent) sendLoad(ctx context.Context, order mgfence.Order, model string) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout.Duration())
	defer cancel()
	mglog.Debug(a.spec.Log).Info("an order is about to be sent", "model", model, "fence", order.Number())
	// A process that was paused since the order was planned detects it here. The
	// log line above may have blocked it, if the log's reader is stalled.
	if err := a.orders.guard.CheckSend(order, a.spec.Clock.Now()); err != nil {
		return
	}
	err := a.spec.Engine.Order(ctx, mgengine.OrderSpec{
		Kind:  mgengine.LoadModel,
		Model: model,
		Fence: order.Number(),
	})
	if err == nil {
		a.orders.lastLoad.Store(&completedLoad{
			model: model,
			at:    a.spec.Clock.Now(),
		})
		a.spec.Metrics.Counter("loads").Inc(1)
		a.spec.Log.Info("a model is loaded", "model", model, mglog.Upstream, a.spec.Settings.Upstream)
		return
	}
	var fenced *mgengine.FenceError
	if errors.As(err, &fenced) {
		a.orders.guard.ObserveRefusal(fenced.Newest())
	}
	a.orders.wasRefused.Store(true)
	a.spec.Log.Info("an order was refused", "model", model, mglog.Upstream, a.spec.Settings.Upstream, "cause", err.Error())
}
