package mgdemo

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgstandin"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclient"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// kind is one kind of request in the played load.
type kind struct {
	name    string
	account string
	write   bool            // a plain service's call that may not be repeated
	plain   bool            // a plain service's call
	count   int             // requests
	every   mgclock.Millis  // interval of the arrivals
	tokens  func(i int) int // the length of the i-th answer
}

// load is what Play sends: long reports and dossiers that hold the engines for
// seconds, short answers among them, lookups and writes.
var load = []kind{
	{
		name:    "report",
		account: "tankline",
		count:   18,
		every:   300,
		tokens:  func(i int) int { return 400 + 60*i },
	},
	{
		name:    "note",
		account: "tankline",
		count:   24,
		every:   220,
		tokens:  func(i int) int { return 60 + 7*i },
	},
	{
		name:    "lookup",
		account: "tankline",
		count:   60,
		every:   90,
		tokens:  func(i int) int { return 8 + i%20 },
	},
	{
		name:    "ticket",
		account: "tankline",
		write:   true,
		plain:   true,
		count:   60,
		every:   90,
	},
	{
		name:    "dossier",
		account: "cooperativa",
		count:   14,
		every:   380,
		tokens:  func(i int) int { return 500 + 80*i },
	},
	{
		name:    "eligibility",
		account: "cooperativa",
		count:   30,
		every:   180,
		tokens:  func(i int) int { return 40 + 3*i },
	},
	{
		name:    "status",
		account: "cooperativa",
		plain:   true,
		count:   60,
		every:   90,
	},
	{
		name:    "submission",
		account: "cooperativa",
		write:   true,
		plain:   true,
		count:   40,
		every:   130,
	},
}

const (
	// killEngine and killEntry are when Play ends an engine and an entry.
	killEngine = 2 * mgclock.Second
	killEntry  = 4 * mgclock.Second
	// askAgain bounds a caller's requests for one answer: a generation that its
	// engine lost ends with a typed problem, and the caller asks anew.
	askAgain = 4
	// callerSilence is when the played callers give up a connection.
	callerSilence = 2500 * mgclock.Millis(1)
)

// play is one run of the load.
type play struct {
	deployment *Deployment
	clock      mgclock.Clock
	tallies    map[string]*tally
}

// Play sends the load, with an engine's and an entry's end in its middle, and
// returns the report once every caller has its answer.
func (d *Deployment) Play(ctx context.Context) *Report {
	p := &play{
		deployment: d,
		tallies:    map[string]*tally{},
	}
	var callers sync.WaitGroup
	callers.Go(func() { p.fail(ctx) })
	for _, k := range load {
		t := newTally(k.name)
		p.tallies[k.name] = t
		for i := range k.count {
			callers.Go(func() {
				if p.clock.Sleep(ctx, k.every*mgclock.Millis(i)) {
					p.send(ctx, k, i, t)
				}
			})
		}
	}
	callers.Wait()
	return p.report()
}

// client returns the caller of the i-th request. The callers prefer different
// entries, so that some are connected to the one that is ended.
func (p *play) client(account string, i int) *mgclient.Client {
	entries := p.deployment.entries
	first := i % len(entries)
	return mgclient.New(mgclient.Spec{
		Bases:   append(slices.Clone(entries[first:]), entries[:first]...),
		Key:     "sample-" + account,
		Silence: callerSilence,
	})
}

// fail ends an engine and an entry without notice.
func (p *play) fail(ctx context.Context) {
	p.clock.Sleep(ctx, killEngine)
	p.deployment.Engine("engine-1").Set(mgstandin.Fault{Kind: mgstandin.Die})
	p.clock.Sleep(ctx, killEntry-killEngine)
	p.deployment.Node("entry-1").Kill()
}

func (p *play) send(ctx context.Context, k kind, i int, t *tally) {
	t.sent.Add(1)
	if k.plain {
		p.call(ctx, k, i, t)
		return
	}
	p.generate(ctx, k, i, t)
}

// generate asks for an answer until it has a whole one.
func (p *play) generate(ctx context.Context, k kind, i int, t *tally) {
	request := mgclient.Request{
		Model: k.name,
		Messages: []mgclient.Message{{
			Role:    "user",
			Content: fmt.Sprintf("%s %d len=%d", k.name, i, k.tokens(i)),
		}},
	}
	var err error
	for range askAgain {
		var answer mgclient.Answer
		watch := t.watch(p.clock)
		answer, err = p.client(k.account, i).Complete(ctx, request, watch.token)
		if err == nil {
			t.answer(k.account, answer, k.tokens(i))
			return
		}
		if mgproblem.From(err).Kind() != mgproblem.Interrupted {
			break
		}
		t.again.Add(1)
	}
	t.failed(err)
}

// call calls a plain service; a write goes under a minted operation.
func (p *play) call(ctx context.Context, k kind, i int, t *tally) {
	client := p.client(k.account, i)
	spec := mgclient.CallSpec{
		Service: k.name,
		Method:  "GET",
		Path:    fmt.Sprintf("/%s/%d", k.name, i),
	}
	if k.write {
		operation, err := client.Mint(ctx, k.name)
		if err != nil {
			t.failed(err)
			return
		}
		spec.Method = "POST"
		spec.Mime = "application/json"
		spec.Body = fmt.Appendf(nil, `{"number":%d}`, i)
		spec.Operation = operation
	}
	started := p.clock.Now()
	reply, err := client.Call(ctx, spec)
	switch {
	case err != nil:
		t.failed(err)
	case reply.Status >= 400:
		t.failed(errStatus)
	default:
		t.call(p.clock.Now()-started, spec.Operation, reply)
	}
}

var errStatus = errors.New("demo: a plain service refused: look at its reply")
