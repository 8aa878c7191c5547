package mgnode

import (
	"sync"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgbudget"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgmetric"
)

const (
	// defaultMemory is that of a process whose settings weren't read from a file, in bytes.
	defaultMemory = 512_000_000
	// peerFilesDivisor is the part of the descriptors that connections of other processes may take.
	peerFilesDivisor = 4
	// callerReceiveBuffer and peerReceiveBuffer limit what the kernel keeps of a connection until it is
	// read, in bytes.
	callerReceiveBuffer = 32 << 10
	peerReceiveBuffer   = 16 << 10
)

// budgets are those of a process's listeners, by name. The zero value is ready for use.
type budgets struct {
	mu     sync.Mutex
	byName map[string]*mgbudget.Budget
}

// add creates the budget of a listener.
func (b *budgets) add(name string, bytes int64) *mgbudget.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byName == nil {
		b.byName = map[string]*mgbudget.Budget{}
	}
	b.byName[name] = mgbudget.New(bytes)
	return b.byName[name]
}

// state returns the states of the budgets, by the names of their listeners.
func (b *budgets) state() map[string]mgbudget.State {
	b.mu.Lock()
	defer b.mu.Unlock()
	states := map[string]mgbudget.State{}
	for name, budget := range b.byName {
		states[name] = budget.State()
	}
	return states
}

// report updates the metrics of the budgets.
func (b *budgets) report(metrics *mgmetric.Set) {
	for name, state := range b.state() {
		metrics.Gauge("held." + name).Update(state.Held)
		metrics.Gauge("held.most." + name).Update(state.Most)
		metrics.Gauge("held.refused." + name).Update(state.Refused)
	}
}

// parts returns the budgets of the process's listeners.
func (n *Node) parts() mgbudget.Parts { return mgbudget.PartsOf(n.memory, n.servesCallers) }

// withBudget returns the specification of a listener with a budget of its own, and with the metrics of what is
// refused or ended. Without an amount for each connection it gets that of connections between processes.
func (n *Node) withBudget(spec ServerSpec, bytes int64) ServerSpec {
	spec.Budget = n.budgets.add(spec.Name, bytes)
	if spec.ConnBytes == 0 {
		spec.ConnBytes = mgbudget.PeerConnBytes
		spec.ReceiveBuffer = peerReceiveBuffer
	}
	refused, evicted, late := n.metrics.Counter(spec.Name+".refused"), n.metrics.Counter(spec.Name+".evicted"), n.metrics.Counter(spec.Name+".late")
	spec.OnRefused = func(count int) { refused.Inc(int64(count)) }
	spec.OnEvicted = func() { evicted.Inc(1) }
	spec.OnLate = func() { late.Inc(1) }
	return spec
}
