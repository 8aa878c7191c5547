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

	now              mgclock.Millis // of the last call
	list             []byte         // the text of the list of VMs in use
	leaving          bool
	departed         map[mgmember.Departure]mgclock.Millis // when that was learned
	nextExchange     mgclock.Millis                        // next exchange
	nextTick         mgclock.Millis                        // next tick of the members
	manifestSource   source
	tableReadPending bool           // the platform has a newer table, which is being read
	tableConfirmed   bool           // it has been said once that there is no newer table
	tableConfirmedAt mgclock.Millis // when that was so last
	era              uint64         // of the list in use; see mgplatform.List
	restored         bool           // the platform has come back from a copy
	restoredAt       mgclock.Millis // when that was learned
	peerConfirmedAt  mgclock.Millis // when another's word of the list was last the platform's
	listSource       source
	budget           budget
	pull             *pull
	pullCount        int // number of pulls begun
	listFetch        listFetchState
	longPoll         longPollState
	lastPolledAt     mgclock.Millis // when another listened at this process last
	gossipState      gossipState
	cachedRoles      roles           // as of the last view; see the method roles
	exchanging       map[string]bool // peers with an exchange under way
	join             join
	rejections       rejections
	counts           Counts
}

// exchangeSpan is the mean interval of exchanges. Together with the push it
// brings a version to all members in a few rounds; at two seconds the messages
// of an idle member stay under one and a half a second, sent and received.
const exchangeInterval = 2 * mgclock.Second

// tickSpan is the interval at which suspicions of members end.
const tickInterval = mgclock.Second

// NewMachine returns a machine that starts at a time.
func NewMachine(now mgclock.Millis, spec MachineSpec, members *mgmember.Members) *Machine {
	m := &Machine{
		spec:       spec,
		members:    members,
		rng:        rand.New(rand.NewPCG(spec.Seed, 0)),
		exchanging: make(map[string]bool),
	}
	m.peerConfirmedAt = now - maxReportAge
	m.lastPolledAt = now - pollersTTL
	m.manifestSource.key = mgplatform.ManifestKey
	m.listSource.key = mgplatform.ListKey
	m.nextExchange = now + m.jitter(exchangeInterval)
	m.gossipState.next = now + m.jitter(gossipStartInterval)
	m.nextTick = now + tickInterval
	m.listSource.next = now + m.jitter(spec.Spread)
	m.manifestSource.next = m.listSource.next
	m.join.begin(now)
	return m
}

// or returns span, or standard where span is 0.
func orDefault(value, fallback mgclock.Millis) mgclock.Millis {
	if value > 0 {
		return value
	}
	return fallback
}

// Current returns the snapshot in force, or nil. It takes no lock.
func (m *Machine) Current() *Snapshot { return m.current.Load() }

// Leave makes the machine tell its peers that the process leaves.
func (m *Machine) Leave(now mgclock.Millis) []Action {
	m.now = now
	m.leaving = true
	return m.pushToPeers(now)
}

// Tick does what is due.
func (m *Machine) Tick(now mgclock.Millis) []Action {
	m.now = now
	var actions []Action
	if now >= m.nextTick {
		m.nextTick = now + tickInterval
		m.members.Tick(now)
	}
	actions = append(actions, m.readPlatform(now)...)
	actions = append(actions, m.startLongPoll(now)...)
	actions = append(actions, m.startGossip(now)...)
	if now >= m.nextExchange {
		interval := m.currentExchangeInterval(now)
		m.nextExchange = now + interval*3/4 + m.jitter(interval/2)
		actions = append(actions, m.exchangeWith(m.choosePeer())...)
	}
	actions = append(actions, m.askPeersForJoin(now)...)
	actions = append(actions, m.stepPull(now)...)
	return actions
}

// Wake returns when Tick is due next.
func (m *Machine) NextTick() mgclock.Millis {
	next := min(m.nextTick, m.nextExchange, m.join.nextDue(), m.gossipState.nextDue())
	if m.lacksFirstList() {
		next = min(next, m.join.next)
	}
	next = min(next, m.manifestSource.nextDue(), m.listSource.nextDue())
	if m.spec.Quick > 0 {
		next = min(next, m.longPoll.nextDue())
	}
	if m.pull != nil && !m.pull.busy {
		next = min(next, m.pull.next)
	}
	return next
}

// Done takes the result of an action.
func (m *Machine) HandleResult(now mgclock.Millis, result ResultSpec) []Action {
	m.now = now
	switch result.Action.kind {
	case Exchange:
		return m.handleExchangeResult(now, result)
	case Fetch:
		return m.handleFetchResult(now, result)
	case LongPoll:
		return m.handleListReply(now, result)
	case Gossip:
		return m.handleGossipResult(now, result)
	default:
		return m.handlePlatformResult(now, result)
	}
}

// jitter returns a random span up to most.
func (m *Machine) jitter(maxDelay mgclock.Millis) mgclock.Millis {
	if maxDelay <= 0 {
		return 0
	}
	return mgclock.Millis(m.rng.Int64N(int64(maxDelay)))
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
		Known:       m.unlistedPeers(),
		Departed:    m.departures(),
	}
}
