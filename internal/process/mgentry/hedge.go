package mgentry

import (
	"context"
	"sync"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgretry"
)

// hedges holds what is known of each service's delays. The zero hedges are
// empty and ready for use by several goroutines.
type hedges struct {
	services sync.Map // name to *mgretry.Hedge
}

func (h *hedges) of(service string) *mgretry.Hedge {
	if found, ok := h.services.Load(service); ok {
		return found.(*mgretry.Hedge)
	}
	found, _ := h.services.LoadOrStore(service, &mgretry.Hedge{})
	return found.(*mgretry.Hedge)
}

// tried is what came of one copy of a call.
type tried struct {
	host  host
	reply *mgrpc.InvokeReply
	err   error
}

// good reports whether the copy brought the service's reply.
func (t tried) good() bool { return t.err == nil && t.reply.GetFault() == nil }

// hedged makes a call that may run twice at one host and, when it takes longer
// than 95 of 100 lookups of its service did, at a second one as well, so that one
// slow upstream doesn't delay the caller (Dean and Barroso 2013). The first good
// reply counts.
func (e *Entry) hedged(ctx context.Context, call *call, first host, second []host) tried {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	hedge := e.hedges.of(call.service.Name())
	begun := e.spec.Clock.Now()
	answers := make(chan tried, 2)
	e.try(ctx, call, first, answers)
	running := 1
	late := make(<-chan struct{})
	if after, known := hedge.After(); known && call.service.Hedge() > 0 && len(second) > 0 {
		late = e.spec.Clock.After(after)
	}
	for {
		select {
		case answer := <-answers:
			running--
			if answer.good() {
				hedge.Answered(e.spec.Clock.Now()-begun, call.service.Hedge())
				return answer
			}
			if running == 0 {
				return answer
			}
		case <-late:
			late = nil
			if hedge.Allow() {
				e.spec.Metrics.Counter("hedged").Inc(1)
				e.try(ctx, call, second[0], answers)
				running++
			}
		}
	}
}

// try makes one copy of a call in the background.
func (e *Entry) try(ctx context.Context, call *call, host host, answers chan<- tried) {
	ended := host.fleet.fly(host.place)
	go func() {
		defer ended()
		reply, err := e.invokeAt(ctx, call, host.agent)
		if err != nil {
			e.failed(ctx, host.agent)
		}
		answers <- tried{
			host:  host,
			reply: reply,
			err:   err,
		}
	}()
}
