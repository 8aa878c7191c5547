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
	// orderEvery is the interval at which the plan is compared with what the
	// engine holds. It is well below mgfence's bound on an unseen pause.
	orderInterval = 500 * mgclock.Millis(1)
	// orderWait bounds an order: a load of weights takes tens of seconds.
	orderTimeout = 2 * mgclock.Minute
	// reportLag is how long an engine's report may lag behind an order that it
	// has carried out. Without it the agent orders the same load again.
	maxReportLag = 30 * mgclock.Second
)

// orders gives the engine its orders: which model to load.
type orderState struct {
	guard          *mgfence.Guard
	pacer          *mgplacement.Pacer
	isPending      atomic.Bool                   // an order is on its way
	wasRefused     atomic.Bool                   // the last one was refused
	lastLoad       atomic.Pointer[completedLoad] // the last one that was carried out
	reportedModels atomic.Pointer[[]string]      // models that the engine reports, nil before the first
}

// load is a model that the engine was ordered to load, and did.
type completedLoad struct {
	model string
	at    mgclock.Millis
}

func newOrderState(spec Spec, upstream *mgtable.Upstream) *orderState {
	checksFence := upstream != nil && upstream.Orders() == mgtable.Checked
	return &orderState{
		guard: mgfence.New(mgfence.Spec{
			Started: spec.Started,
			Begun:   spec.Clock.Now(),
			Checks:  checksFence,
		}),
		pacer: mgplacement.NewPacer(spec.Settings.Upstream, 0, uint64(spec.Started)),
	}
}

// lacks reports whether the engine says that it has other models and not this
// one. An engine that reports none is tried: it refuses what it can't run.
func (o *orderState) lacksModel(model string) bool {
	held := o.reportedModels.Load()
	return held != nil && len(*held) > 0 && !slices.Contains(*held, model)
}

// order gives orders as they fall due, until ctx ends.
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
	a.orders.pacer.Plan(now, plan)
	if a.orders.wasRefused.Swap(false) {
		a.orders.pacer.Refused(now)
	}
	a.orders.pacer.Loaded(now, a.orders.heldModel(now, *held, plan.Model(a.spec.Settings.Upstream)))
	if model := a.orders.pacer.Due(now); model != "" {
		a.loadModel(ctx, table.Version(), model)
	}
}

// renew keeps the lease on the engine's orders while this agent is the
// engine's own as far as anybody knows.
func (a *Agent) renewLease(now mgclock.Millis) {
	a.orders.guard.Look(now)
	if asked, ours := a.spec.Ours(); ours && !a.isLeaving.Load() {
		a.orders.guard.Renew(asked, now)
		return
	}
	a.orders.guard.Revoke()
}

// holding returns the wanted model if the engine holds it by its report or by
// an order since, else any that it holds, or "".
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

// loadModel orders the engine to load a model, in the background: it takes long.
func (a *Agent) loadModel(ctx context.Context, version uint64, model string) {
	order, err := a.orders.guard.Plan(version, a.spec.Clock.Now())
	if err != nil {
		return // no lease yet; the next look tries again
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
	mglog.Debug(a.spec.Log).Info("an order is about to leave", "model", model, "fence", order.Number())
	// A process that was paused since the order was planned learns it here. The
	// line above may have held it: what takes the log may be full.
	if err := a.orders.guard.Send(order, a.spec.Clock.Now()); err != nil {
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
		a.orders.guard.Refused(fenced.Newest())
	}
	a.orders.wasRefused.Store(true)
	a.spec.Log.Info("an order was refused", "model", model, mglog.Upstream, a.spec.Settings.Upstream, "cause", err.Error())
}
