package mgconfig

import (
	"math/rand/v2"
	"sync/atomic"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// A MachineSpec says which process a machine is part of.
type MachineSpec struct {
	Name        string
	Zone        string
	Region      string
	Incarnation string
	Addr        string // where peers reach this process
	Power       int    // see mgplatform.VM
	Seed        uint64 // of the jitter and the choice of peers

	// Seeds are addresses of peers to ask while no list of VMs is known, such
	// as when the platform is down at the start.
	Seeds []string

	// Known returns a page that the process has read already, or nil: where the
	// table is made here out of another format, reading its pages again would
	// cost half of an adoption. Nil knows none.
	Known func(digest string) *mgtable.Page

	// Quick is the shortest interval between two watches of the list by the one
	// process that watches it for its region, where changes must be known within
	// tens of ms; the others watch once a second. 0: all watch alike.
	Quick mgclock.Millis

	// Joint says that an answer of the platform about the list shows, too, that there is
	// no newer table than the one that the platform's client has.
	Joint bool

	// Watch is the longest wait of one watch, Answer the longest time for the
	// platform's answer beyond it and Backoff the longest pause after failed
	// reads; 0 stands for the defaults.
	Watch   mgclock.Millis
	Answer  mgclock.Millis
	Backoff mgclock.Millis

	// Fetch is the longest time for a peer's answer to a fetch; 0 stands for the
	// default.
	Fetch mgclock.Millis

	// Spread is the span over which first reads are spread. In a mass restart
	// all processes make their first reads within it.
	Spread mgclock.Millis
}

// A Machine decides what a process does to have the newest table in force. Its
// methods are called by one goroutine at a time, but for Current.
type Machine struct {
	spec    MachineSpec
	members *mgmember.Members
	rng     *rand.Rand
	current atomic.Pointer[Snapshot]

	now        mgclock.Millis // of the last call
	list       []byte         // the text of the list of VMs in use
	leaving    bool
	departed   map[mgmember.Departure]mgclock.Millis // when that was learned
	exchange   mgclock.Millis                        // next exchange
	tick       mgclock.Millis                        // next tick of the members
	manifest   source
	looking    bool           // the platform has a newer table, which is being read
	tableHeard bool           // it has been said once that there is no newer table
	tableAsOf  mgclock.Millis // when that was so last
	era        uint64         // of the list in use; see mgplatform.List
	copied     bool           // the platform has come back from a copy
	copiedAt   mgclock.Millis // when that was learned
	confirmed  mgclock.Millis // when another's word of the list was last the platform's
	vms        source
	budget     budget
	pull       *pull
	pulls      int // number of pulls begun
	listPull   listPull
	listening  listening
	listeners  mgclock.Millis // when another listened at this process last
	gossiping  gossiping
	assigned   roles           // as of the last view; see the method roles
	asked      map[string]bool // peers with an exchange under way
	join       join
	refused    refused
	counts     Counts
}

// exchangeSpan is the mean interval of exchanges. Together with the push it
// brings a version to all members in a few rounds; at two seconds the messages
// of an idle member stay under one and a half a second, sent and received.
const exchangeSpan = 2 * mgclock.Second

// tickSpan is the interval at which suspicions of members end.
const tickSpan = mgclock.Second

// NewMachine returns a machine that starts at a time.
func NewMachine(now mgclock.Millis, spec MachineSpec, members *mgmember.Members) *Machine {
	m := &Machine{
		spec:    spec,
		members: members,
		rng:     rand.New(rand.NewPCG(spec.Seed, 0)),
		asked:   make(map[string]bool),
	}
	m.confirmed = now - wordAge
	m.listeners = now - listenersLife
	m.manifest.key = mgplatform.ManifestKey
	m.vms.key = mgplatform.ListKey
	m.exchange = now + m.jitter(exchangeSpan)
	m.gossiping.next = now + m.jitter(gossipFirst)
	m.tick = now + tickSpan
	m.vms.next = now + m.jitter(spec.Spread)
	m.manifest.next = m.vms.next
	m.join.begin(now)
	return m
}

// or returns span, or standard where span is 0.
func or(span, standard mgclock.Millis) mgclock.Millis {
	if span > 0 {
		return span
	}
	return standard
}

// Current returns the snapshot in force, or nil. It takes no lock.
func (m *Machine) Current() *Snapshot { return m.current.Load() }

// Leave makes the machine tell its peers that the process leaves.
func (m *Machine) Leave(now mgclock.Millis) []Action {
	m.now = now
	m.leaving = true
	return m.push(now)
}

// Tick does what is due.
func (m *Machine) Tick(now mgclock.Millis) []Action {
	m.now = now
	var actions []Action
	if now >= m.tick {
		m.tick = now + tickSpan
		m.members.Tick(now)
	}
	actions = append(actions, m.readPlatform(now)...)
	actions = append(actions, m.listen(now)...)
	actions = append(actions, m.gossip(now)...)
	if now >= m.exchange {
		span := m.exchangePause(now)
		m.exchange = now + span*3/4 + m.jitter(span/2)
		actions = append(actions, m.ask(m.choose())...)
	}
	actions = append(actions, m.askFirst(now)...)
	actions = append(actions, m.stepPull(now)...)
	return actions
}

// Wake returns when Tick is due next.
func (m *Machine) Wake() mgclock.Millis {
	wake := min(m.tick, m.exchange, m.join.wake(), m.gossiping.wake())
	if m.listless() {
		wake = min(wake, m.join.next)
	}
	wake = min(wake, m.manifest.wake(), m.vms.wake())
	if m.spec.Quick > 0 {
		wake = min(wake, m.listening.wake())
	}
	if m.pull != nil && !m.pull.busy {
		wake = min(wake, m.pull.next)
	}
	return wake
}

// Done takes the result of an action.
func (m *Machine) Done(now mgclock.Millis, result ResultSpec) []Action {
	m.now = now
	switch result.Action.kind {
	case Exchange:
		return m.exchanged(now, result)
	case Fetch:
		return m.fetched(now, result)
	case Listen:
		return m.listened(now, result)
	case Gossip:
		return m.gossiped(now, result)
	default:
		return m.answered(now, result)
	}
}

// jitter returns a random span up to most.
func (m *Machine) jitter(most mgclock.Millis) mgclock.Millis {
	if most <= 0 {
		return 0
	}
	return mgclock.Millis(m.rng.Int64N(int64(most)))
}

// summary returns what the process tells its peers.
func (m *Machine) summary() *mgrpc.Summary {
	current := m.Current()
	return &mgrpc.Summary{
		Name:        m.spec.Name,
		Incarnation: m.spec.Incarnation,
		Version:     current.Version(),
		Digest:      current.Digest(),
		List:        m.members.View().Version(),
		Leaving:     m.leaving,
		Addr:        m.spec.Addr,
		Zone:        m.spec.Zone,
		Region:      m.spec.Region,
		Power:       int64(m.spec.Power),
		Known:       m.acquainted(),
		Departed:    m.departures(),
	}
}
