package mgconfig

import (
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Where changes of the list must be known soon, one process of a region reads it
// from the platform, the hub of each cell listens at that reader, and the other
// processes of a cell listen at their hub. A change then costs the platform one read
// and not one for each process, whose own watch would return at once as upstreams'
// heartbeats end it.
//
// What each tells carries its age since the platform's own word, so that whoever
// hears nothing, or nothing recent, reads for itself: a hub quickly and for its cell,
// any other process once a second.

const (
	// hubHold is how long a hub's question is held while there is nothing new: what the
	// way over the hub adds to the age of the reader's word.
	hubPollWait = 150 * mgclock.Millis(1)
	// hubRest is how old the reader's word is when a hub reads for its cell. Engines
	// that started together beat together, and the reader's own watch takes up to
	// quickWatch then: sooner, each hub would read beside the reader.
	hubReadDelay = quickWatchWait + 200
	// cellHold is the same for the other processes, which hear of the hub's life by
	// their reports of load as well.
	cellPollWait = 500 * mgclock.Millis(1)
	// listenAnswer bounds the answer beyond that: the reply of a busy VM with a
	// seventh of a core.
	longPollTimeout = 300 * mgclock.Millis(1)
	// listenLife is how long an answer shows that listening works.
	longPollTTL = cellPollWait + longPollTimeout
	// listenRetry is the first pause after a question without an answer, which
	// doubles up to listenRetryMost: the own watch stands in meanwhile. listenLook is
	// the pause of a process that has nobody to listen to before it looks again.
	longPollRetryMin = 100 * mgclock.Millis(1)
	longPollRetryMax = mgclock.Second
	noTargetInterval = 250 * mgclock.Millis(1)
	// listenersLife is how long a question shows that others listen here: two of
	// theirs and some.
	pollersTTL = 3 * cellPollWait
	// meetSpan is how long after a start a process that nobody listens at doesn't read
	// for others: until some hundred processes know one another several take
	// themselves for the reader.
	discoveryWindow = 6 * mgclock.Second
	// awayPause is the mean pause of a process whose hub answers, and has no word of
	// the platform, between two reads of its own. The hub asks often, and who else is
	// answered tells the others; a platform that turns all away is spared.
	platformDownInterval = 3 * mgclock.Second
	// listenRow makes the pause after a list grow with its rows, in ms. A row takes
	// some 24 bytes on the wire: 60 KB/s while the list never rests.
	longPollDelayPerRow = 0.4
	// listenMost bounds that pause, as listPullMost does for fetches.
	maxLongPollDelay = maxListFetchInterval
)

// A Listing is what a process tells those that listen at it.
type Listing struct {
	Word Word
	// Packed is the text of the list, compressed, or nil where the listener's is as
	// new.
	Packed []byte
}

// leads reports whether this process reads the list quickly: for all others of its
// region, or for its cell while it hears nothing of the reader. A new process that
// others don't listen at may only not know the reader yet.
func (m *Machine) readsForOthers(now mgclock.Millis) bool {
	r := m.roles()
	if now < m.join.startedAt+discoveryWindow && now >= m.lastPolledAt+pollersTTL && len(r.view.Able(m.spec.Region)) > 0 {
		return false
	}
	return r.reader == nil || r.hub == nil && now >= m.peerConfirmedAt+hubReadDelay
}

// Asked takes that another process listens at this one, and reports whether that
// changed when the machine is due.
func (m *Machine) HandleLongPoll(now mgclock.Millis) bool {
	first := now >= m.lastPolledAt+pollersTTL
	m.lastPolledAt = now
	if first && m.roles().reader == nil {
		m.listSource.next = min(m.listSource.next, now)
		return true
	}
	return false
}

// to returns at whom this process listens, and how long a question is held, or
// nil where it listens at nobody.
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

// listening is the state of a process that listens at another.
type longPollState struct {
	busy          bool
	next          mgclock.Millis
	failures      int            // in a row
	answeredAt    mgclock.Millis // when an answer came last
	hasAnswered   bool           // one has come
	isReportFresh bool           // its word was the platform's
}

func (l *longPollState) nextDue() mgclock.Millis {
	if l.busy {
		return never
	}
	return l.next
}

// heard reports whether whom this process listens at answers.
func (l *longPollState) isAnswering(now mgclock.Millis) bool {
	return l.hasAnswered && l.failures == 0 && now < l.answeredAt+longPollTTL
}

// well reports whether it has the platform's word as well, so that what is new needs
// no other way.
func (l *longPollState) isFresh(now mgclock.Millis) bool {
	return l.isReportFresh && l.isAnswering(now)
}

// listen asks for what is newer than the own list, when that is due.
func (m *Machine) startLongPoll(now mgclock.Millis) []Action {
	l := &m.longPoll
	if m.spec.Quick == 0 || l.busy || now < l.next {
		return nil
	}
	to, wait := m.longPollTarget()
	if to == nil {
		l.hasAnswered = false
		l.next = now + noTargetInterval
		return nil
	}
	l.busy = true
	m.counts.Listens++
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

// listened takes the answer.
func (m *Machine) handleListReply(now mgclock.Millis, result ResultSpec) []Action {
	l := &m.longPoll
	l.busy = false
	from := result.Action.peer
	if result.Err != nil {
		l.failures++
		l.next = now + longPollRetryMin/2 + m.jitter(min(longPollRetryMin<<min(l.failures, maxDoublings), longPollRetryMax))
		if m.roles().hub == nil {
			// Only a hub has no other calls to the reader that would show it dead.
			m.members.Failed(now, from)
			m.listSource.next = min(m.listSource.next, now)
		}
		if m.leavesListToOthers() {
			m.nextExchange = min(m.nextExchange, now+m.jitter(longListExchangeInterval))
		}
		return nil
	}
	m.members.Answered(now, from)
	l.failures = 0
	l.hasAnswered = true
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

// listenPause returns the shortest interval between two lists.
func (m *Machine) longPollDelay() mgclock.Millis {
	rows := float64(len(m.members.View().All()))
	return min(mgclock.Millis(longPollDelayPerRow*rows), maxLongPollDelay)
}

// confirm takes a word of a list that this process has, or one still older: the own
// watch rests.
func (m *Machine) confirmList(now mgclock.Millis, report Word) {
	if !report.isFresh() || report.List > m.members.View().Version() {
		return
	}
	at := now - report.Age
	m.listSource.confirmedByPeer = true
	m.listSource.confirmedAt = max(m.listSource.confirmedAt, at)
	m.peerConfirmedAt = max(m.peerConfirmedAt, at)
	m.postponeListRead(at)
}

// waitsForHub reports whether another asks the platform for this process, which gives
// no answer now.
func (m *Machine) hubAnswers(now mgclock.Millis) bool {
	return m.spec.Quick > 0 && m.Current() != nil && m.roles().rank >= watchersPerCell && m.longPoll.isAnswering(now)
}

// restWatch has the own watch rest from the time of another's word, unless others
// take theirs from here. A hub reads for its cell as soon as the word is too old to be
// told on.
func (m *Machine) postponeListRead(at mgclock.Millis) {
	r := m.roles()
	switch {
	case r.reader == nil:
	case r.hub == nil:
		m.listSource.next = max(m.listSource.next, at+hubReadDelay)
	default:
		m.listSource.next = max(m.listSource.next, at+m.ownReadInterval())
	}
}

const (
	// longList is the number of members from which a process that others don't listen
	// at leaves the list to them: thousands of upstreams are some dozen calls and a
	// megabyte and more, which take seconds on the link of a thin VM. Where a third of
	// the processes die, each of the others would read them at once, and be turned away.
	longListRows = 500
	// longPause is the pause between such a process's own reads while it hears nothing.
	longListReadInterval = 5 * mgclock.Second
	// longExchange is the interval at which it asks peers meanwhile, which have the list
	// packed in a twentieth.
	longListExchangeInterval = 300 * mgclock.Millis(1)
)

// spared reports whether this process leaves a long list to its hub and the keepers of
// its cell.
func (m *Machine) leavesListToOthers() bool {
	return m.spec.Quick > 0 && len(m.members.View().All()) > longListRows && m.roles().rank >= watchersPerCell
}

// ownPause returns the pause between two reads of the list by a process that doesn't
// read it for others.
func (m *Machine) ownReadInterval() mgclock.Millis {
	if m.leavesListToOthers() {
		return longListReadInterval
	}
	return slowWatchInterval
}

// exchangePause returns the mean interval of exchanges.
func (m *Machine) currentExchangeInterval(now mgclock.Millis) mgclock.Millis {
	if m.leavesListToOthers() && !m.longPoll.isFresh(now) {
		return longListExchangeInterval
	}
	return exchangeInterval
}
