package mgorigin

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// mesh simulates processes that replicate origins, in virtual time.
type mesh struct {
	names []string

	mu         sync.Mutex
	replicator map[string]*Replicator
	life       map[string]int
	stop       map[string]context.CancelFunc
	cut        map[string]bool // processes that reach no others
	departing  map[string]bool // processes that leave
	calls      int
	bytes      int
	changed    chan struct{}
}

var errNoAnswer = errors.New("no answer")

const (
	zoneCount   = 3
	callLatency = 2 * time.Millisecond
	callTimeout = 300 * time.Millisecond
)

// runMesh runs a mesh of processes until body returns.
func runMesh(t *testing.T, count int, body func(m *mesh)) {
	synctest.Test(t, func(*testing.T) {
		m := &mesh{
			replicator: map[string]*Replicator{},
			life:       map[string]int{},
			stop:       map[string]context.CancelFunc{},
			cut:        map[string]bool{},
			departing:  map[string]bool{},
			changed:    make(chan struct{}),
		}
		for i := range count {
			m.names = append(m.names, fmt.Sprintf("front-%d", i))
		}
		for _, name := range m.names {
			m.start(name)
		}
		body(m)
		for _, name := range m.names {
			m.kill(name)
		}
	})
}

func zoneOf(name string) string {
	var n int
	_, _ = fmt.Sscanf(name, "front-%d", &n)
	return fmt.Sprint("zone-", n%zoneCount)
}

// start starts a process, without records.
func (m *mesh) start(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	m.life[name]++
	m.stop[name] = stop
	m.replicator[name] = NewReplicator(ReplicatorSpec{
		Name:  name,
		Zone:  zoneOf(name),
		Peers: func() []Peer { return m.peersOf(name) },
		Changed: func() <-chan struct{} {
			m.mu.Lock()
			defer m.mu.Unlock()
			return m.changed
		},
		Call: func(ctx context.Context, peer string, message Message) (Reply, error) {
			return m.call(ctx, name, peer, message)
		},
	})
	go m.replicator[name].Run(ctx)
	m.notifyChanged()
}

// kill ends a process. The others aren't told.
func (m *mesh) kill(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stop[name]()
	delete(m.replicator, name)
}

// cutOff sets whether a process is cut off from all others.
func (m *mesh) cutOff(name string, cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut[name] = cut
}

// notifyChanged tells all processes that their peers have changed. mu must be held.
func (m *mesh) notifyChanged() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *mesh) peersOf(name string) []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var peers []Peer
	for _, other := range m.names {
		if other != name {
			peers = append(peers, Peer{
				Name:      other,
				Zone:      zoneOf(other),
				Departing: m.departing[other],
			})
		}
	}
	return peers
}

func (m *mesh) call(ctx context.Context, from, to string, message Message) (Reply, error) {
	if !wait(ctx, callLatency) {
		return Reply{}, ctx.Err()
	}
	m.mu.Lock()
	receiver, life := m.replicator[to], m.life[to]
	cut := m.cut[from] || m.cut[to]
	m.calls++
	m.bytes += messageBytes(message)
	m.mu.Unlock()
	if cut {
		wait(ctx, callTimeout)
		return Reply{}, errNoAnswer
	}
	if receiver == nil {
		return Reply{}, errNoAnswer // its address refuses connections
	}
	reply := receiver.Handle(fmt.Sprint(to, " life ", life), message)
	wait(ctx, callLatency)
	return reply, ctx.Err()
}

// wait waits for a duration, and returns false if ctx has ended before.
func wait(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

// lastRunning returns the replicator of the last process that runs.
func (m *mesh) lastRunning() *Replicator {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range slices.Backward(m.names) {
		if m.replicator[name] != nil {
			return m.replicator[name]
		}
	}
	return nil
}

// traffic returns the number of messages so far, and the bytes in them.
func (m *mesh) traffic() (messages, bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls, m.bytes
}

// depart makes a process one that leaves.
func (m *mesh) depart(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.departing[name] = true
	m.notifyChanged()
}

func (m *mesh) of(name string) *Replicator {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.replicator[name]
}

// recordOf returns the record of a stream that began at a version.
func recordOf(request, version string) Record {
	return Record{
		Key:     KeyOf("tankline", request),
		Service: "report",
		Version: version,
		Left:    60 * mgclock.Second,
	}
}
