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

// A MachineSpec identifies the process that a machine belongs to and sets its
// intervals.
type MachineSpec struct {
	Name        string
	Zone        string
	Region      string
	Incarnation string
	Addr        string // address at which peers reach this process
	Power       int    // relative capacity of the VM's processor and network, 0 if unknown; see mgplatform.VM
	RandomSeed  uint64 // seed of the jitter and the choice of peers

	// Seeds are peer addresses that are used while no list of VMs is known, such as
	// when the platform is down at the start.
	Seeds []string

	// ParsedPage returns a page that the process has parsed already, or nil. Where the table
	// is converted here from another format, parsing its pages again would cost half of
	// an adoption. ParsedPage may be nil.
	ParsedPage func(digest string) *mgtable.Page

	// QuickInterval is the minimum interval between two watches of the list by the one process
	// that watches it for its region, where changes must be known within tens of ms;
	// the others watch once a second. With 0 all watch alike. A value above 0 thus also
	// turns on long polls and the shorter delays of retries.
	QuickInterval mgclock.Millis

	// ListConfirmsTable is set where an answer of the platform about the list also
	// confirms that there is no table newer than the last one that the platform's
	// client (mgplatform.Client) has read.
	ListConfirmsTable bool

	// RowsExpire is set where rows of the list of VMs expire while the platform is
	// unavailable, and running upstreams write theirs again after its return.
	RowsExpire bool

	// WatchWait is the maximum wait of one watch, AnswerTimeout the timeout of the platform's
	// answer in addition to it, and MaxBackoff the maximum delay after failed reads; 0
	// stands for the defaults.
	WatchWait     mgclock.Millis
	AnswerTimeout mgclock.Millis
	MaxBackoff    mgclock.Millis

	// FetchTimeout is the timeout of a peer's answer to a fetch; 0 stands for the default.
	FetchTimeout mgclock.Millis

	// StartWindow is the window over which first reads are spread: in a mass restart all
	// processes make their first reads within it.
	StartWindow mgclock.Millis
}

// A Machine decides which actions keep the newest table in force. Its methods must not
// be called concurrently, except Current.
type Machine struct {
	spec    MachineSpec
	members *mgmember.Members
	rng     *rand.Rand
	current atomic.Pointer[Snapshot]

	now              mgclock.Millis // time of the last call
	list             []byte         // the encoded list of VMs in use
	leaving          bool
	departed         map[mgmember.Departure]mgclock.Millis // time when a departure was learned
	nextExchange     mgclock.Millis
	nextMembersTick  mgclock.Millis // next tick of members
	manifestKeyState keyState
	tableReadPending bool           // the platform has a newer table that is being read
	tableConfirmed   bool           // the table in force has been confirmed as the newest at least once
	tableConfirmedAt mgclock.Millis // time of the last such confirmation
	era              uint64         // of the list in use; increases with each restore of the platform, see mgplatform.VMList
	restored         bool           // the platform was restored from a backup
	restoredAt       mgclock.Millis // time when the restore was noticed
	peerConfirmedAt  mgclock.Millis // time of the last confirmation of the list that another process reported
	listKeyState     keyState
	pageReadLimiter  pageReadLimiter
	pull             *pull
	pullCount        int // number of pulls started
	listFetch        listFetchState
	longPoll         longPollState
	lastPolledAt     mgclock.Millis // time of the last long poll received
	gossipState      gossipState
	cachedRoles      roles           // for the last view; see the method roles
	exchanging       map[string]bool // addresses of peers with an exchange in progress
	join             join
	rejections       rejections
	counts           Counts
}

// exchangeInterval is the mean interval of exchanges. Together with the push it brings
// a version to all members in a few rounds; at two seconds an idle member sends and
// receives fewer than one and a half messages a second.
const exchangeInterval = 2 * mgclock.Second

// tickInterval is the interval at which expired suspicions of members are ended.
const tickInterval = mgclock.Second

// NewMachine returns a machine that starts at the time now.
func NewMachine(now mgclock.Millis, spec MachineSpec, members *mgmember.Members) *Machine {
	m := &Machine{
		spec:       spec,
		members:    members,
		rng:        rand.New(rand.NewPCG(spec.RandomSeed, 0)),
		exchanging: make(map[string]bool),
	}
	m.peerConfirmedAt = now - maxReportAge
	m.lastPolledAt = now - pollersTTL
	m.manifestKeyState.key = mgplatform.ManifestKey
	m.listKeyState.key = mgplatform.ListKey
	m.nextExchange = now + m.jitter(exchangeInterval)
	m.gossipState.next = now + m.jitter(gossipStartInterval)
	m.nextMembersTick = now + tickInterval
	m.listKeyState.next = now + m.jitter(spec.StartWindow)
	m.manifestKeyState.next = m.listKeyState.next
	m.join.begin(now)
	return m
}

// orDefault returns value, or fallback where value is 0.
func orDefault(value, fallback mgclock.Millis) mgclock.Millis {
	if value > 0 {
		return value
	}
	return fallback
}

// Current returns the snapshot in force, or nil. It takes no lock.
func (m *Machine) Current() *Snapshot { return m.current.Load() }

// Leave announces to peers that the process leaves.
func (m *Machine) Leave(now mgclock.Millis) []Action {
	m.now = now
	m.leaving = true
	return m.pushToPeers(now)
}

// Tick returns the actions that are due.
func (m *Machine) Tick(now mgclock.Millis) []Action {
	m.now = now
	var actions []Action
	if now >= m.nextMembersTick {
		m.members.Tick(now)
		m.nextMembersTick = now + tickInterval
	}
	m.scheduleExpiry()
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

// NextTick returns the time when Tick is due next.
func (m *Machine) NextTick() mgclock.Millis {
	next := min(m.nextMembersTick, m.nextExchange, m.join.nextDue(), m.gossipState.nextDue())
	if m.lacksFirstList() {
		next = min(next, m.join.next)
	}
	next = min(next, m.manifestKeyState.nextDue(), m.listKeyState.nextDue())
	if m.spec.QuickInterval > 0 {
		next = min(next, m.longPoll.nextDue())
	}
	if m.pull != nil && !m.pull.busy {
		next = min(next, m.pull.next)
	}
	return next
}

// scheduleExpiry moves the next tick of the members to the time at which the next held row
// of the list must be dropped.
func (m *Machine) scheduleExpiry() {
	if at, exists := m.members.NextExpiry(); exists {
		m.nextMembersTick = min(m.nextMembersTick, at)
	}
}

// HandleResult handles the result of an action.
func (m *Machine) HandleResult(now mgclock.Millis, result ActionResult) []Action {
	m.now = now
	defer m.scheduleExpiry()
	switch result.Action.kind {
	case Exchange:
		return m.handleExchangeResult(now, result)
	case Fetch:
		return m.handleFetchResult(now, result)
	case LongPoll:
		return m.handleLongPollResult(now, result)
	case Gossip:
		return m.handleGossipResult(now, result)
	default:
		return m.handlePlatformResult(now, result)
	}
}

// jitter returns a random delay below maxDelay.
func (m *Machine) jitter(maxDelay mgclock.Millis) mgclock.Millis {
	if maxDelay <= 0 {
		return 0
	}
	return mgclock.Millis(m.rng.Int64N(int64(maxDelay)))
}

// summary returns the summary that the process sends to its peers.
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
