package mgconfig

import (
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Where changes of the list must be known soon, one process of a region, the reader,
// reads it from the platform. The hub of each cell long-polls the reader, and the other
// processes of a cell long-poll their hub. So a change costs the platform one read, not
// one per process: upstreams' heartbeats end every watch, so each process's own watch
// would return at once.
//
// Each reply carries the time since the platform confirmed the list. A process that
// receives no reply, or only old ones, reads the platform itself: a hub quickly and on
// behalf of its cell, any other process once a second.

const (
	// hubPollWait is how long the reader holds a hub's long poll while there is nothing
	// new. It is the delay that the path over the hub adds to the age of the reader's
	// report.
	hubPollWait = 150 * mgclock.Millis(1)
	// maxReaderReportAge is the age of the reader's report at which a hub reads for its cell.
	// The reader's watch ends with the next heartbeat. Engines that started together
	// send heartbeats together, so a watch may take up to quickWatchWait: with a
	// lower age each hub would read in parallel with the reader.
	maxReaderReportAge = quickWatchWait + 200
	// cellPollWait is how long a hub holds the long polls of its cell, whose processes
	// also see from the replies to their load reports that the hub is alive.
	cellPollWait = 500 * mgclock.Millis(1)
	// longPollTimeout is the timeout of the reply after the wait: the reply time of a
	// busy VM that has a seventh of a CPU core.
	longPollTimeout = 300 * mgclock.Millis(1)
	// longPollTTL is how long a reply proves that the long poll works.
	longPollTTL = cellPollWait + longPollTimeout
	// longPollRetryMin is the first delay after a failed long poll. It doubles up to
	// longPollRetryMax; meanwhile the process's own watch replaces the long poll.
	// noTargetInterval is the interval at which a process without a target looks for
	// one.
	longPollRetryMin = 100 * mgclock.Millis(1)
	longPollRetryMax = mgclock.Second
	noTargetInterval = 250 * mgclock.Millis(1)
	// pollersTTL is how long after the last long poll received this process assumes that
	// others poll it: two of their polls and a margin.
	pollersTTL = 3 * cellPollWait
	// discoveryWindow is the time after a start in which a process that nobody polls
	// doesn't read for others: until some hundred processes know one another, several
	// rank themselves as the reader.
	discoveryWindow = 6 * mgclock.Second
	// platformDownInterval is the mean interval of a process's own reads while its hub
	// answers but has no confirmation by the platform. The hub reads often, and any
	// process that gets an answer passes it on, so the others need few reads, which would
	// only load a platform that refuses all calls.
	platformDownInterval = 3 * mgclock.Second
	// longPollDelayPerRow is the delay after a received list per row of it, in ms. A
	// row takes some 24 bytes on the wire: 60 KB/s while the list keeps changing.
	longPollDelayPerRow = 0.4
	// maxLongPollDelay limits that delay, as maxListFetchInterval does for fetches.
	maxLongPollDelay = maxListFetchInterval
)

// A ListReply is the reply to a long poll for the list of VMs.
type ListReply struct {
	Report VersionReport
	// Compressed is the compressed list, or nil where the caller's list is as new.
	Compressed []byte
}

// readsForOthers reports whether this process reads the list quickly: as the reader of
// its region, or as a hub on behalf of its cell while the reader's reports are missing
// or old. A new process that others don't poll may merely not know the reader yet.
func (m *Machine) readsForOthers(now mgclock.Millis) bool {
	r := m.roles()
	if now < m.join.startedAt+discoveryWindow && now >= m.lastPolledAt+pollersTTL && len(r.view.HealthyPeers(m.spec.Region)) > 0 {
		return false
	}
	return r.reader == nil || r.hub == nil && now >= m.peerConfirmedAt+maxReaderReportAge
}

// RecordLongPoll records that another process polls this one, and reports whether that
// changed the time of the next tick.
func (m *Machine) RecordLongPoll(now mgclock.Millis) bool {
	first := now >= m.lastPolledAt+pollersTTL
	m.lastPolledAt = now
	if first && m.roles().reader == nil {
		m.listKeyState.next = min(m.listKeyState.next, now)
		return true
	}
	return false
}

// longPollTarget returns the member that this process polls and the wait of a poll, or
// nil where it polls none.
func (m *Machine) longPollTarget() (to *mgmember.Member, wait mgclock.Millis) {
	r := m.roles()
	switch {
	case r.reader == nil:
		return nil, 0
	case r.hub == nil:
		return r.reader, hubPollWait
	default:
		return r.hub, cellPollWait
	}
}

// longPollState is the state of the long poll to the reader or hub.
type longPollState struct {
	busy           bool
	next           mgclock.Millis
	failures       int            // in a row
	answeredAt     mgclock.Millis // time of the last reply
	targetAnswered bool           // a reply has arrived since longPollTarget last returned nil
	isReportFresh  bool           // its last report was as good as the platform's own answer
}

func (l *longPollState) nextDue() mgclock.Millis {
	if l.busy {
		return never
	}
	return l.next
}

// isAnswering reports whether the polled member answers.
func (l *longPollState) isAnswering(now mgclock.Millis) bool {
	return l.targetAnswered && l.failures == 0 && now < l.answeredAt+longPollTTL
}

// deliversUpdates reports whether the polled member answers and has a fresh
// confirmation by the platform, so that updates need no other path.
func (l *longPollState) deliversUpdates(now mgclock.Millis) bool {
	return l.isReportFresh && l.isAnswering(now)
}

// startLongPoll polls for a list newer than the own one, when that is due.
func (m *Machine) startLongPoll(now mgclock.Millis) []Action {
	l := &m.longPoll
	if m.spec.QuickInterval == 0 || l.busy || now < l.next {
		return nil
	}
	to, wait := m.longPollTarget()
	if to == nil {
		l.targetAnswered = false
		l.next = now + noTargetInterval
		return nil
	}
	l.busy = true
	m.counts.LongPolls++
	return []Action{{
		kind:          LongPoll,
		peer:          to.Name(),
		addr:          to.PeerAddr(),
		key:           mgplatform.ListKey,
		after:         m.members.View().Version(),
		wait:          wait,
		answerTimeout: longPollTimeout,
	}}
}

// handleLongPollResult adopts the list and the report of a reply, or schedules a retry.
func (m *Machine) handleLongPollResult(now mgclock.Millis, result ActionResult) []Action {
	l := &m.longPoll
	l.busy = false
	from := result.Action.peer
	if result.Err != nil {
		l.failures++
		l.next = now + longPollRetryMin/2 + m.jitter(min(longPollRetryMin<<min(l.failures, maxDoublings), longPollRetryMax))
		if m.roles().hub == nil {
			// A hub makes no other calls to the reader that would show the reader's
			// failure.
			m.members.RecordFailure(now, from)
			m.listKeyState.next = min(m.listKeyState.next, now)
		}
		if m.delegatesListReads() {
			m.nextExchange = min(m.nextExchange, now+m.jitter(longListExchangeInterval))
		}
		return nil
	}
	m.members.RecordAnswer(now, from)
	l.failures = 0
	l.targetAnswered = true
	l.answeredAt = now
	l.isReportFresh = result.Report.isFresh()
	l.next = now
	var actions []Action
	if len(result.List) > 0 {
		l.next = now + m.longPollDelay()
		if m.adoptList(now, result.List) {
			actions = m.askPeersForJoin(now)
		}
	}
	m.confirmList(now, result.Report)
	m.confirmTableFrom(now, result.Report)
	return append(actions, m.ObserveVersion(now, result.Report.Table, from)...)
}

// longPollDelay returns the minimum interval between two lists.
func (m *Machine) longPollDelay() mgclock.Millis {
	rows := float64(len(m.members.View().All()))
	return min(mgclock.Millis(longPollDelayPerRow*rows), maxLongPollDelay)
}

// confirmList records that the platform confirmed the list, and postpones the own watch.
// It ignores a report that isn't fresh or is about a newer list than the own one.
func (m *Machine) confirmList(now mgclock.Millis, report VersionReport) {
	if !report.isFresh() || report.List > m.members.View().Version() {
		return
	}
	at := now - report.Age
	m.listKeyState.confirmedByPeer = true
	m.listKeyState.confirmedAt = max(m.listKeyState.confirmedAt, at)
	m.peerConfirmedAt = max(m.peerConfirmedAt, at)
	m.postponeListRead(at)
}

// isServedByHub reports whether another process reads the platform for this one: this
// one has a table, isn't among the first watchersPerCell processes of its cell, and gets
// replies to its long polls. It then retries a failed read more rarely.
func (m *Machine) isServedByHub(now mgclock.Millis) bool {
	return m.spec.QuickInterval > 0 && m.Current() != nil && m.roles().rank >= watchersPerCell && m.longPoll.isAnswering(now)
}

// postponeListRead postpones the own watch, counted from the time of another process's
// confirmation, unless others depend on this process's reads. A hub reads for its cell
// as soon as the report is too old to be passed on.
func (m *Machine) postponeListRead(at mgclock.Millis) {
	r := m.roles()
	switch {
	case r.reader == nil:
	case r.hub == nil:
		m.listKeyState.next = max(m.listKeyState.next, at+maxReaderReportAge)
	default:
		m.listKeyState.next = max(m.listKeyState.next, at+m.ownReadInterval())
	}
}

const (
	// longListRows is the list size from which a process that isn't among the first
	// watchersPerCell of its cell leaves reading the list to those: thousands of upstreams take some
	// dozen calls and over a megabyte, which takes seconds on the link of a small VM.
	// Where a third of the processes die, each of the others would read the list at
	// once, and be rate-limited.
	longListRows = 500
	// longListReadInterval is the interval of such a process's own reads while it
	// receives no reports.
	longListReadInterval = 5 * mgclock.Second
	// longListExchangeInterval is the interval at which it asks peers meanwhile, which
	// have the list compressed to a twentieth.
	longListExchangeInterval = 300 * mgclock.Millis(1)
)

// delegatesListReads reports whether this process leaves reading a long list to its hub
// and the watchers of its cell.
func (m *Machine) delegatesListReads() bool {
	return m.spec.QuickInterval > 0 && len(m.members.View().All()) > longListRows && m.roles().rank >= watchersPerCell
}

// ownReadInterval returns the interval of reads of the list by a process that doesn't
// read it for others.
func (m *Machine) ownReadInterval() mgclock.Millis {
	if m.delegatesListReads() {
		return longListReadInterval
	}
	return slowWatchInterval
}

// currentExchangeInterval returns the mean interval of exchanges.
func (m *Machine) currentExchangeInterval(now mgclock.Millis) mgclock.Millis {
	if m.delegatesListReads() && !m.longPoll.deliversUpdates(now) {
		return longListExchangeInterval
	}
	return exchangeInterval
}
