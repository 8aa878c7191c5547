package mgagent

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/go-logr/logr"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgservice"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgmetric"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgpace"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgsettings"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgoperation"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgprefix"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgscheduler"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgseal"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgplacement"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// Spec holds an agent's settings and dependencies.
type Spec struct {
	Settings    mgsettings.Agent
	Incarnation string
	Clock       mgclock.Clock
	Log         logr.Logger
	Metrics     *mgmetric.Set
	Signer      *mgseal.Signer
	Engine      mgengine.Client
	Service     mgservice.Client
	// Table returns the table in force, or nil before the first one.
	Table func() *mgtable.Table
	// ObserveVersion reports that another process uses a version of the table.
	ObserveVersion func(version uint64, from string)
	// AwaitVersion returns once a version is in force in this process, or an error if
	// ctx ends first. If it is nil, the agent decides by the version that it
	// has.
	AwaitVersion func(ctx context.Context, version uint64) error
	// Plan returns the assignment of models to engines. If it is nil, the agent
	// sends no orders and assumes that its engine has every model.
	Plan func() *mgplacement.Plan
	// IsCurrent reports whether this agent is the engine's current agent, according
	// to the list of VMs and the peers, and when they were last asked.
	IsCurrent func() (mgclock.Millis, bool)
	// OtherAgents returns the agents of other engines that hold a model. If it is
	// nil, no generation is moved.
	OtherAgents func(model string) []OtherAgent
	// StartedUnix is when the process started, in Unix ms.
	StartedUnix int64
}

// An Agent admits and schedules the work of one upstream. Create it with New,
// then call Run.
type Agent struct {
	spec        Spec
	attempts    *mgoperation.Ledger
	operations  *mgoperation.Ledger
	minter      *mgoperation.Minter
	prefix      mgprefix.Record
	wake        chan struct{}
	slots       chan struct{}
	orders      *orderState
	calls       atomic.Int64
	isLeaving   atomic.Bool
	engineDown  atomic.Bool // the engine can't be reached
	isMoving    atomic.Bool // a background loop is moving generations to other engines
	tasks       sync.WaitGroup
	lifetime    context.Context // context of work that outlives the call that started it
	endLifetime context.CancelFunc

	mu          sync.Mutex // guards the fields below
	scheduler   *mgscheduler.Scheduler
	generations map[string]*generation
	counts      counts
	ramp        mgpace.Ramp
	isWarming   bool           // the engine is limited to a share of its batch
	hasNotice   bool           // the engine has announced when it will be gone
	goneAt      mgclock.Millis // valid if hasNotice
}

// counts are the agent's totals, shown in the dump.
type counts struct {
	started, finished, refused, failed, adopted int64
}

// defaultCallSlots is the maximum number of concurrent calls to a plain service
// whose table row sets no batch.
const defaultCallSlots = 64

// New returns an agent that has not started. The table must be in force, because
// the upstream's row sets the batch size and the memory budget.
func New(spec Spec) (*Agent, error) {
	upstream := upstreamRow(spec)
	policy, err := mgscheduler.PolicyByName(spec.Settings.Policy)
	if err != nil {
		return nil, fmt.Errorf("key policy: %w", err)
	}
	slots := defaultCallSlots
	if upstream != nil && upstream.MaxConcurrent() > 0 {
		slots = upstream.MaxConcurrent()
	}
	lifetime, endLifetime := context.WithCancel(context.Background())
	return &Agent{
		spec:        spec,
		lifetime:    lifetime,
		endLifetime: endLifetime,
		attempts:    mgoperation.New(mgoperation.Spec{Window: mgoperation.AttemptWindow}),
		operations:  mgoperation.New(mgoperation.Spec{Window: mgoperation.OperationWindow}),
		minter:      mgoperation.NewMinter(spec.Signer, spec.Settings.Upstream, spec.Incarnation),
		wake:        make(chan struct{}, 1),
		slots:       make(chan struct{}, slots),
		orders:      newOrderState(spec, upstream),
		scheduler:   mgscheduler.New(schedulerSpec(spec, policy, upstream)),
		generations: map[string]*generation{},
	}, nil
}

func schedulerSpec(spec Spec, policy mgscheduler.Policy, upstream *mgtable.Upstream) mgscheduler.Spec {
	schedulerSpec := mgscheduler.Spec{
		Queue:  int(spec.Settings.MaxWaiting),
		Policy: policy,
	}
	if upstream != nil {
		schedulerSpec.Memory = int64(upstream.Memory())
		schedulerSpec.Batch = upstream.MaxConcurrent()
	}
	return schedulerSpec
}

func upstreamRow(spec Spec) *mgtable.Upstream {
	table := spec.Table()
	if table == nil {
		return nil
	}
	return table.Upstream(spec.Settings.Upstream)
}

// Run runs the agent's loops until ctx ends. Work in progress is then aborted,
// so a planned stop drains the agent first.
func (a *Agent) Run(ctx context.Context) {
	a.adopt(ctx)
	var loops sync.WaitGroup
	loops.Go(func() { a.pump(ctx) })
	loops.Go(func() { a.sweep(ctx) })
	loops.Go(func() { a.pollUpstream(ctx) })
	loops.Go(func() { a.orderLoop(ctx) })
	loops.Wait()
	a.endLifetime()
	a.tasks.Wait()
}

// Leave makes the agent refuse new work. Work already admitted continues.
func (a *Agent) Leave() {
	if a.isLeaving.Swap(true) {
		return
	}
	a.mu.Lock()
	a.scheduler.Leave(a.spec.Clock.Now())
	a.mu.Unlock()
	a.wakePump()
	a.spec.Log.Info("leaving: new work is refused")
}

// Leaving reports whether the agent refuses new work.
func (a *Agent) Leaving() bool { return a.isLeaving.Load() }

// Busy returns the number of generations and calls that a stop would abort.
func (a *Agent) Busy() int {
	busy := int(a.calls.Load())
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, g := range a.generations {
		if g.isBusy() {
			busy++
		}
	}
	return busy
}

// wakePump wakes the pump loop.
func (a *Agent) wakePump() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// generation returns the generation with that id, or nil.
func (a *Agent) generation(id string) *generation {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.generations[id]
}

// faultFromProblem converts a problem to its message.
func faultFromProblem(p *mgproblem.Problem) *mgrpc.Fault {
	return &mgrpc.Fault{
		Kind:    string(p.Kind()),
		Detail:  p.Detail(),
		Remedy:  p.Remedy(),
		Outcome: string(p.Outcome()),
		Retry:   int64(p.RetryAfter()),
	}
}

// State is the agent's section of the dump.
type State struct {
	Incarnation string `json:"incarnation"`
	Upstream    string `json:"upstream"`
	Leaving     bool   `json:"leaving"`
	Sick        bool   `json:"sick"`
	Generations int    `json:"generations"`
	Busy        int    `json:"busy"`
	Calls       int64  `json:"calls"`
	Attempts    int    `json:"attempts"`
	Operations  int    `json:"operations"`
	Blocks      int    `json:"blocks"`
	Started     int64  `json:"started"`
	Finished    int64  `json:"finished"`
	Refused     int64  `json:"refused"`
	Broken      int64  `json:"broken"`
	Adopted     int64  `json:"adopted"`
}

// State returns a summary of the agent's state.
func (a *Agent) State() State {
	busy := a.Busy()
	a.mu.Lock()
	defer a.mu.Unlock()
	return State{
		Incarnation: a.spec.Incarnation,
		Upstream:    a.spec.Settings.Upstream,
		Leaving:     a.isLeaving.Load(),
		Sick:        a.engineDown.Load(),
		Generations: len(a.generations),
		Busy:        busy,
		Calls:       a.calls.Load(),
		Attempts:    a.attempts.Len(),
		Operations:  a.operations.Len(),
		Blocks:      a.prefix.Len(),
		Started:     a.counts.started,
		Finished:    a.counts.finished,
		Refused:     a.counts.refused,
		Broken:      a.counts.failed,
		Adopted:     a.counts.adopted,
	}
}
