package mgentry

import (
	"context"
	"sync"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgretry"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// hedges holds the latency statistics of each service. The zero value is ready
// for concurrent use.
type hedges struct {
	services sync.Map // service name to *mgretry.Hedge
}

func (h *hedges) of(service string) *mgretry.Hedge {
	if found, ok := h.services.Load(service); ok {
		return found.(*mgretry.Hedge)
	}
	found, _ := h.services.LoadOrStore(service, &mgretry.Hedge{})
	return found.(*mgretry.Hedge)
}

// callResult is the result of one copy of a call.
type callResult struct {
	host  host
	reply *mgrpc.InvokeReply
	err   error
}

// isGood reports whether the service replied without a fault.
func (t callResult) isGood() bool { return t.err == nil && t.reply.GetFault() == nil }

// problem returns why the result isn't good.
func (t callResult) problem() *mgproblem.Problem {
	if t.err != nil {
		return mgproblem.New(mgproblem.Unconfirmed, mgproblem.Unknown,
			"no upstream answered", "send the call again").WithCause(t.err)
	}
	return problemFromFault(t.reply.GetFault())
}

// invokeHedged makes a call that may run twice. It sends a copy to a second host
// when the first takes longer than 95 of 100 earlier calls of the service, so
// that one slow upstream doesn't delay the caller (Dean and Barroso 2013). The
// first good reply wins. Where there is none, the result of a copy that may have
// run is returned rather than that of one that certainly didn't.
func (e *Entry) invokeHedged(ctx context.Context, call *call, first host, second []host) callResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	hedge := e.hedges.of(call.service.Name())
	startedAt := e.spec.Clock.Now()
	results := make(chan callResult, 2)
	var worst *callResult // of those that aren't good
	e.sendCopy(ctx, call, first, results)
	pending := 1
	hedgeTimer := make(<-chan struct{})
	if after, known := hedge.Delay(); known && call.service.HedgeFraction() > 0 && len(second) > 0 {
		hedgeTimer = e.spec.Clock.After(after)
	}
	for {
		select {
		case result := <-results:
			pending--
			if result.isGood() {
				hedge.Observe(e.spec.Clock.Now()-startedAt, call.service.HedgeFraction())
				return result
			}
			if worst == nil || worst.problem().Outcome() == mgproblem.NotRun {
				worst = &result
			}
			if pending == 0 {
				return *worst
			}
		case <-hedgeTimer:
			hedgeTimer = nil
			if hedge.Allow() {
				e.spec.Metrics.Counter("hedged").Inc(1)
				e.sendCopy(ctx, call, second[0], results)
				pending++
			}
		}
	}
}

// sendCopy sends one copy of a call in a new goroutine.
func (e *Entry) sendCopy(ctx context.Context, call *call, host host, answers chan<- callResult) {
	ended := host.fleet.trackRequest(host.index)
	go func() {
		defer ended()
		reply, err := e.invokeAt(ctx, call, host.agent)
		if err != nil {
			e.reportFailed(ctx, host.agent)
		}
		answers <- callResult{
			host:  host,
			reply: reply,
			err:   err,
		}
	}()
}
