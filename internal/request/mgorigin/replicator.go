package mgorigin

import (
	"context"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// maxReplicas is the number of replicas of a process's records, fewReplicas where there
	// are more than manyPeers other processes, each of which relays more streams then.
	maxReplicas = 6
	fewReplicas = 3
	manyPeers   = 40
	// messageInterval is the minimum interval between two messages to a replica, unless a
	// stream waits for an acknowledgement. Then all replicas are sent the record at once if
	// there are more than fewReplicas, and one of them otherwise.
	messageInterval = 250 * mgclock.Millis(1)
	// checkInterval is the interval at which a replica without messages is asked whether it
	// has restarted, which loses its records.
	checkInterval = mgclock.Second
	// failureDelay is the delay before the next message to a replica that didn't answer.
	failureDelay = 500 * mgclock.Millis(1)
	// ackTimeout limits how long the first event of a stream waits for an acknowledgement.
	ackTimeout = 100 * mgclock.Millis(1)
)

// Peer is another process that may keep records.
type Peer struct {
	Name string
	Zone string // availability zone
	// Departing reports whether it leaves or doesn't answer. It is then asked for records, and
	// sent none.
	Departing bool
}

// ReplicatorSpec configures a Replicator.
type ReplicatorSpec struct {
	Name  string // of this process
	Zone  string // its availability zone
	Clock mgclock.Clock
	// Peers returns the other processes that may keep records. Changed returns a channel that
	// is closed when they may have changed. Nil stands for no other processes.
	Peers   func() []Peer
	Changed func() <-chan struct{}
	// Call sends a message to a peer.
	Call func(ctx context.Context, peer string, message Message) (Reply, error)
	// Count counts an event of the replication by name, for metrics. Nil counts none.
	Count func(event string)
}

// A Replicator keeps the records of this process's streams, and copies of them at other
// processes.
type Replicator struct {
	spec    ReplicatorSpec
	records Records // of this process's streams, and copies of others' records

	mu       sync.Mutex
	own      map[Key]*ownRecord
	replicas map[string]*replica // by name of the peer
	sweptAt  mgclock.Millis
}

// ownRecord is the record of a stream that this process relays.
type ownRecord struct {
	record    Record
	expiresAt mgclock.Millis
	edition   int                  // increases each time the origin is replaced
	copies    map[string]copyState // of the peers that were sent the record
	changed   chan struct{}        // closed when the copies or the replicas have changed
}

// copyState is what is known of a copy of a record.
type copyState struct {
	acked    bool // it is current
	outdated bool // it may state an earlier origin
}

// NewReplicator returns a replicator. Run replicates.
func NewReplicator(spec ReplicatorSpec) *Replicator {
	if spec.Count == nil {
		spec.Count = func(string) {}
	}
	if spec.Peers == nil {
		spec.Peers = func() []Peer { return nil }
	}
	return &Replicator{
		spec:     spec,
		own:      map[Key]*ownRecord{},
		replicas: map[string]*replica{},
	}
}

// Announce records the origin of a stream that this process relays, and replicates the record.
func (p *Replicator) Announce(record Record) {
	now := p.spec.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.own[record.Key]
	if known == nil && record.Version == "" {
		return // without a record the origin is unknown, too
	}
	if known != nil && known.record.equal(record) {
		return
	}
	if !p.records.Put(now, record) {
		p.spec.Count("rejected")
		return
	}
	if known == nil {
		p.sweep(now)
		known = &ownRecord{
			copies:  map[string]copyState{},
			changed: make(chan struct{}),
		}
		p.own[record.Key] = known
	}
	replaced := known.edition > 0 && known.record.Origin() != record.Origin()
	known.record = record
	known.expiresAt = now + min(record.Left, maxRecordLife)
	known.edition++
	for name := range known.copies {
		known.copies[name] = copyState{
			outdated: replaced || known.copies[name].outdated,
		}
	}
	for _, r := range p.replicas {
		r.enqueue(record.Key)
	}
}

// Confirm waits until a replica has the record of a stream, for ackTimeout at most and only
// while a replica answers. It returns false if a peer may still have an earlier record of the
// stream: what an upstream of the other version produces must not be forwarded then.
func (p *Replicator) Confirm(ctx context.Context, key Key) bool {
	timeout := p.spec.Clock.After(ackTimeout)
	for {
		p.mu.Lock()
		known := p.own[key]
		if known == nil {
			p.mu.Unlock()
			return true
		}
		acked, outdated := p.copiesOf(known)
		changed := known.changed
		if !acked || outdated {
			p.hurry(outdated || len(p.replicas) > fewReplicas)
		}
		p.mu.Unlock()
		if acked && !outdated {
			return true
		}
		select {
		case <-changed:
		case <-timeout:
			p.spec.Count("unconfirmed")
			return !outdated
		case <-ctx.Done():
			return !outdated
		}
	}
}

// hurry makes one replica that answers, or all of them, receive what is to be sent to them at
// once. mu must be held.
func (p *Replicator) hurry(all bool) {
	for _, r := range p.replicas {
		if len(r.pending) == 0 || r.failing {
			continue
		}
		notify(r.urgent)
		if !all {
			return
		}
	}
}

// copiesOf reports whether a replica has the current record, or none answers, and whether a
// peer may have an earlier one. mu must be held.
func (p *Replicator) copiesOf(known *ownRecord) (acked, outdated bool) {
	acked = true
	for name, r := range p.replicas {
		if r.failing {
			continue
		}
		if known.copies[name].acked {
			acked = true
			break
		}
		acked = false
	}
	for _, state := range known.copies {
		outdated = outdated || state.outdated
	}
	return acked, outdated
}

// Handle answers a message of another process.
func (p *Replicator) Handle(incarnation string, message Message) Reply {
	now := p.spec.Clock.Now()
	for _, record := range message.Records {
		if !p.records.Put(now, record) {
			p.spec.Count("rejected")
		}
	}
	reply := Reply{
		Incarnation: incarnation,
	}
	for _, key := range message.Find {
		if record, ok := p.records.Find(now, key); ok {
			reply.Records = append(reply.Records, record)
		}
	}
	return reply
}

// State describes a replicator, for a dump.
type State struct {
	Kept     int      `json:"kept"` // records
	Own      int      `json:"own"`  // of these, those of streams that this process relays
	Replicas []string `json:"replicas"`
	Failing  []string `json:"failing,omitempty"` // replicas that don't answer
}

// State returns the current state.
func (p *Replicator) State() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := State{
		Kept: p.records.Len(),
		Own:  len(p.own),
	}
	for name, r := range p.replicas {
		s.Replicas = append(s.Replicas, name)
		if r.failing {
			s.Failing = append(s.Failing, name)
		}
	}
	slices.Sort(s.Replicas)
	slices.Sort(s.Failing)
	return s
}

// Run replicates until ctx ends.
func (p *Replicator) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := p.spec.Changed()
		p.updateReplicas(ctx)
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// updateReplicas begins and ends replication to peers that became, or no longer are, replicas.
func (p *Replicator) updateReplicas(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	chosen := chooseReplicas(p.spec.Name, p.spec.Zone, p.spec.Peers())
	for name, r := range p.replicas {
		if !slices.Contains(chosen, name) {
			r.stop()
			delete(p.replicas, name)
		}
	}
	for _, name := range chosen {
		if p.replicas[name] == nil {
			replicaCtx, stop := context.WithCancel(ctx)
			p.replicas[name] = newReplica(p, name, stop)
			go p.replicas[name].run(replicaCtx)
		}
	}
}

// chooseReplicas returns the names of the peers that keep a process's records: in other
// availability zones than its own, and as many of these as possible. A peer that joins or leaves changes
// the choice of few processes.
func chooseReplicas(name, zone string, peers []Peer) []string {
	ranked := slices.DeleteFunc(slices.Clone(peers), func(peer Peer) bool { return peer.Departing })
	count := maxReplicas
	if len(ranked) > manyPeers {
		count = fewReplicas
	}
	score := func(peer Peer) uint64 { return xxhash.Sum64String(name + "\x00" + peer.Name) }
	slices.SortFunc(ranked, func(a, b Peer) int {
		switch {
		case score(a) > score(b):
			return -1
		case score(a) < score(b):
			return 1
		}
		return 0
	})
	inZone := map[string]int{
		zone: len(ranked), // chosen last, since a zone may be lost as a whole
	}
	rounds := make(map[string]int, len(ranked))
	for _, peer := range ranked {
		rounds[peer.Name] = inZone[peer.Zone]
		inZone[peer.Zone]++
	}
	slices.SortStableFunc(ranked, func(a, b Peer) int { return rounds[a.Name] - rounds[b.Name] })
	names := make([]string, 0, count)
	for _, peer := range ranked[:min(count, len(ranked))] {
		names = append(names, peer.Name)
	}
	return names
}

// sweep drops own records that have expired. mu must be held.
func (p *Replicator) sweep(now mgclock.Millis) {
	if now < p.sweptAt+sweepInterval {
		return
	}
	p.sweptAt = now
	for key, known := range p.own {
		if now >= known.expiresAt {
			delete(p.own, key)
		}
	}
}
