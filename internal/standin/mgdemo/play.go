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

// requestKind is one kind of request in the load.
type requestKind struct {
	name     string
	account  string
	isWrite  bool            // call of a plain service that must not be repeated
	isPlain  bool            // call of a plain service
	count    int             // number of requests
	interval mgclock.Millis  // time between two arrivals
	tokens   func(i int) int // length of the i-th answer
}

// requestKinds is the load that Play sends: long reports and dossiers that occupy the
// engines for seconds, short answers among them, lookups and writes.
var requestKinds = []requestKind{
	{
		name:     "report",
		account:  "tankline",
		count:    18,
		interval: 300,
		tokens:   func(i int) int { return 400 + 60*i },
	},
	{
		name:     "note",
		account:  "tankline",
		count:    24,
		interval: 220,
		tokens:   func(i int) int { return 60 + 7*i },
	},
	{
		name:     "lookup",
		account:  "tankline",
		count:    60,
		interval: 90,
		tokens:   func(i int) int { return 8 + i%20 },
	},
	{
		name:     "ticket",
		account:  "tankline",
		isWrite:  true,
		isPlain:  true,
		count:    60,
		interval: 90,
	},
	{
		name:     "dossier",
		account:  "cooperativa",
		count:    14,
		interval: 380,
		tokens:   func(i int) int { return 500 + 80*i },
	},
	{
		name:     "eligibility",
		account:  "cooperativa",
		count:    30,
		interval: 180,
		tokens:   func(i int) int { return 40 + 3*i },
	},
	{
		name:     "status",
		account:  "cooperativa",
		isPlain:  true,
		count:    60,
		interval: 90,
	},
	{
		name:     "submission",
		account:  "cooperativa",
		isWrite:  true,
		isPlain:  true,
		count:    40,
		interval: 130,
	},
}

const (
	// engineKillTime and entryKillTime are the times at which Play kills an engine and
	// an entry.
	engineKillTime = 2 * mgclock.Second
	entryKillTime  = 4 * mgclock.Second
	// maxAttempts bounds a caller's requests for one answer.
	maxAttempts = 4
	// callerSilenceTimeout is the time without data after which a caller gives up a
	// connection.
	callerSilenceTimeout = 2500 * mgclock.Millis(1)
)

// playRun is the state of one run of the load.
type playRun struct {
	deployment *Deployment
	clock      mgclock.Clock
	tallies    map[string]*results
}

// Play sends the load, kills an engine and an entry meanwhile, and returns the report
// when every request has ended.
func (d *Deployment) Play(ctx context.Context) *Report {
	p := &playRun{
		deployment: d,
		tallies:    map[string]*results{},
	}
	var callers sync.WaitGroup
	callers.Go(func() { p.injectFaults(ctx) })
	for _, k := range requestKinds {
		t := newResults(k.name)
		p.tallies[k.name] = t
		for i := range k.count {
			callers.Go(func() {
				if p.clock.Sleep(ctx, k.interval*mgclock.Millis(i)) {
					p.send(ctx, k, i, t)
				}
			})
		}
	}
	callers.Wait()
	return p.report()
}

// client returns the caller of the i-th request. Callers prefer different entries, so
// that some are connected to the entry that is killed.
func (p *playRun) client(account string, i int) *mgclient.Client {
	entries := p.deployment.entries
	first := i % len(entries)
	return mgclient.New(mgclient.Spec{
		Bases:          append(slices.Clone(entries[first:]), entries[:first]...),
		Key:            "sample-" + account,
		SilenceTimeout: callerSilenceTimeout,
	})
}

// injectFaults kills an engine and an entry without notice.
func (p *playRun) injectFaults(ctx context.Context) {
	p.clock.Sleep(ctx, engineKillTime)
	p.deployment.Engine("engine-1").Set(mgstandin.Fault{Kind: mgstandin.Die})
	p.clock.Sleep(ctx, entryKillTime-engineKillTime)
	p.deployment.Node("entry-1").Kill()
}

func (p *playRun) send(ctx context.Context, k requestKind, i int, t *results) {
	t.sent.Add(1)
	if k.isPlain {
		p.call(ctx, k, i, t)
		return
	}
	p.generate(ctx, k, i, t)
}

// generate requests an answer until it gets a whole one, at most maxAttempts times.
func (p *playRun) generate(ctx context.Context, k requestKind, i int, t *results) {
	request := mgclient.Request{
		Model: k.name,
		Messages: []mgclient.Message{{
			Role:    "user",
			Content: fmt.Sprintf("%s %d len=%d", k.name, i, k.tokens(i)),
		}},
	}
	var err error
	for range maxAttempts {
		var answer mgclient.Answer
		watch := t.newGapTimer(p.clock)
		answer, err = p.client(k.account, i).Complete(ctx, request, watch.token)
		if err == nil {
			t.recordAnswer(k.account, answer, k.tokens(i))
			return
		}
		if !isRepeated(mgproblem.From(err)) {
			break
		}
		t.retried.Add(1)
	}
	t.recordFailure(err)
}

// isRepeated reports whether a caller requests a generation again after a problem: its engine lost
// it, or its entry ended before it answered. A generation may run twice.
func isRepeated(problem *mgproblem.Problem) bool {
	return problem.Kind() == mgproblem.Interrupted || problem.Kind() == mgproblem.Unconfirmed
}

// call calls a plain service. A write carries an operation id that is minted first.
func (p *playRun) call(ctx context.Context, k requestKind, i int, t *results) {
	client := p.client(k.account, i)
	spec := mgclient.CallSpec{
		Service: k.name,
		Method:  "GET",
		Path:    fmt.Sprintf("/%s/%d", k.name, i),
	}
	if k.isWrite {
		operation, err := client.NewOperationID(ctx, k.name)
		if err != nil {
			t.recordFailure(err)
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
		t.recordFailure(err)
	case reply.Status >= 400:
		t.recordFailure(errStatus)
	default:
		t.recordCall(p.clock.Now()-started, spec.Operation, reply)
	}
}

var errStatus = errors.New("demo: a plain service refused the call: read its reply")
