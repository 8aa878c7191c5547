package mgconfig

import (
	"errors"
	"maps"
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// watchersPerZone is the number of members that watch the platform in each zone.
	// With three, a zone keeps a watcher while one is being replaced and one has died.
	watchersPerZone = 3
	// watchWait is the default wait of a watch, and watchTimeout the time for its answer
	// beyond that. A change is hidden for as long as both if its connection has gone
	// silent, and upstreams that leave must get no new work after three seconds. The
	// platform counts a watch as one read: with 21 watchers of two keys these are 42 reads
	// a second at most, of the 2,000 that it allows.
	watchWait    = mgclock.Second
	watchTimeout = mgclock.Second
	// tableWatchWait is the default wait of a watch of the table where one process watches
	// the list for others. Its watches end soon, and return changes of the table, too.
	tableWatchWait = 20 * mgclock.Second
	// watchInterval is the minimum interval between two watches of a key, against a
	// platform that keeps answering at once.
	watchInterval = 500 * mgclock.Millis(1)
	// slowWatchInterval is the interval between watches of the list by processes for
	// which another one watches. If that one dies, the others still see a change within
	// this interval, and the rest of the two seconds that a change may take remains to them.
	slowWatchInterval = mgclock.Second
	// quickWatchWait and quickWatchTimeout limit the wait and the reply time of a watch
	// of a list whose changes must be known soon. Upstreams' heartbeats end each watch
	// within 100 ms or so; a watch whose answer was lost must not hide an upstream's
	// notice of 1.5 s. A platform that is sixty times slower than usual answers in 240
	// ms.
	quickWatchWait    = 600 * mgclock.Millis(1)
	quickWatchTimeout = 400 * mgclock.Millis(1)
	// readEvery replaces every tenth watch by a plain read. A platform that was set up
	// anew counts its versions from 1, and a watch for versions above the old one would
	// see no change.
	readEvery = 10
	// quickReadEvery is the same for a list whose changes must be known soon: one read
	// in 18 s at least, as watches end with the next heartbeat and start 60 ms apart. A
	// read of some thousand upstreams takes a dozen calls or more.
	quickReadEvery = 300
	// maxWatchIdle is the time without a watch after which a read replaces it: by
	// then every upstream, which writes about every 1.2 s, has sent a heartbeat that a
	// watch would return; see isReadCheaper.
	maxWatchIdle = 2 * mgclock.Second
	// pollIntervalPerMember makes the poll interval grow with the fleet, so that all
	// polls together make two reads a second at any size.
	pollIntervalPerMember = 500 * mgclock.Millis(1)
	pollIntervalMin       = 30 * mgclock.Second
	// missingRetryInterval is the mean interval of reads of a key that has no value
	// yet, on a platform that was just set up: all processes start before the first
	// table is published, and the first that reads it forwards it to the others.
	missingRetryInterval = mgclock.Second
	// backoffMin and backoffMax (below) are the default bounds of the delay after a failed
	// read. Half a minute is the longest that a change waits once the platform is back.
	backoffMin = mgclock.Second
	// firstRetryDelay is the first delay after a failed read of a process that has no
	// table yet or watches a list whose changes must be known soon. It doubles with
	// each failure.
	firstRetryDelay = 100 * mgclock.Millis(1)
	backoffMax      = 30 * mgclock.Second
	// quickRetryDelay is the mean delay after a failed read of the list by the first
	// watchersPerCell processes of a cell, the reader and those that follow it. With the
	// timeout of a call it limits how late the platform's return is noticed, from which the
	// time for which rows are held counts.
	quickRetryDelay = 200 * mgclock.Millis(1)
	// maxDoublings avoids an overflow of the shift; the bounds above are reached
	// sooner.
	maxDoublings = 10
)

// Rate limits of reads of pages from the platform. Twenty-one watchers (three in each
// of seven zones) with 25 reads a second each make 525 of the platform's 2,000, in
// addition to the 630 first reads a second of 1,260 processes that restart over four
// seconds and each read list and manifest. The other members read at most one page in
// ten seconds, 126 a second in all.
const (
	watcherRate     = 25
	watcherBurst    = 10
	nonWatcherRate  = 0.1
	nonWatcherBurst = 2
)

// pageReadLimiter limits the rate of reads of pages.
type pageReadLimiter struct {
	watcher    *rate.Limiter
	nonWatcher *rate.Limiter
}

func (b *pageReadLimiter) allow(now mgclock.Millis, isWatcher bool) bool {
	if b.watcher == nil {
		b.watcher = rate.NewLimiter(watcherRate, watcherBurst)
		b.nonWatcher = rate.NewLimiter(nonWatcherRate, nonWatcherBurst)
	}
	at := time.UnixMilli(int64(now))
	if isWatcher {
		return b.watcher.AllowN(at, 1)
	}
	return b.nonWatcher.AllowN(at, 1)
}

// keyState is the state of a key of the platform that is kept up to date.
type keyState struct {
	key             string
	busy            bool           // a read is in progress
	next            mgclock.Millis // time of the next read
	failures        int            // in a row
	readCount       int            // reads started
	readAt          mgclock.Millis // time of the last answer to an own read
	version         uint64         // the platform's version of the key, not the table's
	hasAnswered     bool           // the platform has answered at least once
	confirmedByPeer bool           // another process has reported a fresh confirmation at least once
	confirmedAt     mgclock.Millis // time of the last answer or reported confirmation
}

// never is a time that is never reached.
const never = mgclock.Millis(math.MaxInt64)

func (s *keyState) nextDue() mgclock.Millis {
	if s.busy {
		return never
	}
	return s.next
}

// readPlatform starts the reads that are due.
func (m *Machine) readPlatform(now mgclock.Millis) []Action {
	var actions []Action
	if m.join.isListLong && m.listKeyState.version == 0 && m.listKeyState.failures == 0 && now < m.lastPolledAt+pollersTTL && m.readsForOthers(now) {
		m.listKeyState.next = min(m.listKeyState.next, now) // processes that poll this one wait for the list
	}
	for _, s := range []*keyState{&m.listKeyState, &m.manifestKeyState} {
		if s.busy || now < s.next {
			continue
		}
		s.busy = true
		actions = append(actions, m.nextRead(s))
	}
	return actions
}

// ReadTableNow reads the table at once.
func (m *Machine) ReadTableNow(now mgclock.Millis) []Action {
	m.now = now
	m.tableReadPending = true
	m.manifestKeyState.next = min(m.manifestKeyState.next, now)
	return m.readPlatform(now)
}

// nextRead returns a watch for a watcher that has a value, and else a read.
func (m *Machine) nextRead(s *keyState) Action {
	s.readCount++
	every := readEvery
	if m.isQuick(s) {
		every = quickReadEvery
	}
	if s.version == 0 || !m.isWatcher() || s.readCount%every == 0 || m.isReadCheaper(s) || m.hasWatchFailed(s) {
		m.counts.countRead(m.readCounter(s))
		action := Action{
			kind:          Read,
			key:           s.key,
			answerTimeout: m.spec.AnswerTimeout,
		}
		if m.isQuick(s) {
			// A read may take some dozen calls, each of which has its own timeout.
			action.answerTimeout = max(action.answerTimeout, readTimeout)
		}
		return action
	}
	m.counts.countRead(m.watchCounter(s))
	action := Action{
		kind:          Watch,
		key:           s.key,
		after:         s.version,
		wait:          orDefault(m.spec.WatchWait, tableWatchWait),
		answerTimeout: m.spec.AnswerTimeout,
	}
	if m.spec.QuickInterval == 0 {
		action.wait = orDefault(m.spec.WatchWait, watchWait)
		action.answerTimeout = min(orDefault(action.answerTimeout, readTimeout), watchTimeout)
	}
	if m.isQuick(s) {
		action.wait = min(action.wait, quickWatchWait)
		if s.failures > 0 {
			action.wait = 0 // a silent platform must not hide its return for the wait as well
		}
		action.answerTimeout = min(orDefault(action.answerTimeout, readTimeout), quickWatchTimeout)
	}
	return action
}

// isReadCheaper reports whether a watch would return more than a read: it returns all
// heartbeats since the last one, and every upstream has sent one meanwhile. After 20 s,
// that is a megabyte for 144 upstreams, and 0.4 s on a link of 20 Mbit/s.
func (m *Machine) isReadCheaper(s *keyState) bool {
	return m.isQuick(s) && m.now >= s.readAt+maxWatchIdle
}

// hasWatchFailed reports whether a read replaces the next watch because the last one has
// failed: a platform that takes longer than watchTimeout to answer answers no watch.
func (m *Machine) hasWatchFailed(s *keyState) bool {
	return m.spec.QuickInterval == 0 && s.failures > 0
}

// readCounter returns the counter for a plain read.
func (m *Machine) readCounter(s *keyState) *int {
	if s.version == 0 || !m.isWatcher() {
		return &m.counts.FirstReads
	}
	return &m.counts.PlainReads
}

// watchCounter returns the counter for a watch.
func (m *Machine) watchCounter(s *keyState) *int {
	switch {
	case s == &m.manifestKeyState:
		return &m.counts.TableWatches
	case m.isQuick(s) && m.readsForOthers(m.now):
		return &m.counts.QuickWatches
	default:
		return &m.counts.SlowWatches
	}
}

// isQuick reports whether a key's changes must be known within tens of ms.
func (m *Machine) isQuick(s *keyState) bool { return s == &m.listKeyState && m.spec.QuickInterval > 0 }

// isWatcher reports whether this process watches the platform for its zone. Suspects
// are skipped, so that, when a watcher has died, the next member in the ranking takes
// over even before the list shows the death.
func (m *Machine) isWatcher() bool {
	if _, listed := m.members.View().Member(m.spec.Name); !listed {
		// The list doesn't name this process, so it names none that could watch for it.
		return true
	}
	var candidates []*mgmember.Member
	for _, member := range m.members.View().Zone(m.spec.Zone) {
		if !member.IsPeer() {
			continue
		}
		self := member.Name() == m.spec.Name
		if self || !member.Suspect() && !member.Leaving() {
			candidates = append(candidates, member)
		}
	}
	for _, member := range mgmember.Rank("watch", candidates, watchersPerZone) {
		if member.Name() == m.spec.Name {
			return true
		}
	}
	return false
}

// handlePlatformResult handles the answer to a read or a watch.
func (m *Machine) handlePlatformResult(now mgclock.Millis, result ActionResult) []Action {
	switch result.Action.key {
	case mgplatform.ListKey:
		return m.handleListResult(now, result)
	case mgplatform.ManifestKey:
		return m.handleManifestResult(now, result)
	default:
		return m.handlePageResult(now, result)
	}
}

func (m *Machine) handleListResult(now mgclock.Millis, result ActionResult) []Action {
	if errors.Is(result.Err, mgplatform.ErrManyCalls) {
		m.listKeyState.busy = false
		m.requestFirstListFromPeers(now)
		return m.askPeersForJoin(now)
	}
	wasStale := m.IsListStale(now)
	hasValue := m.listKeyState.finishRead(now, result, m)
	isReturn := wasStale && m.listKeyState.failures == 0
	if m.spec.RowsExpire && isReturn && m.members.View().Version() > 0 {
		m.members.BeginGracePeriod(now)
	}
	if m.spec.ListConfirmsTable && m.listKeyState.failures == 0 {
		m.confirmTable(now)
	}
	before := m.members.View()
	if !hasValue || !m.adoptPlatformList(now, result.Value.Bytes(), isReturn) {
		return nil
	}
	var actions []Action
	if !maps.Equal(before.Cordoned(), m.members.View().Cordoned()) {
		actions = m.notifyHubAndReader()
	}
	// The list determines the watchers: a new watcher starts at once, the others wait
	// for their poll.
	m.manifestKeyState.next = min(m.manifestKeyState.next, m.nextReadAt(now, &m.manifestKeyState))
	actions = append(actions, m.pushListVersion(now)...)
	return append(actions, m.askPeersForJoin(now)...)
}

// notifyHubAndReader exchanges with the hub of the own cell and the region's reader
// after this process has read new cordons itself. If one of them is cut off from the
// platform, the processes that poll it would otherwise wait until its report is too
// old.
func (m *Machine) notifyHubAndReader() []Action {
	var actions []Action
	r := m.roles()
	for _, to := range []*mgmember.Member{r.hub, r.reader} {
		if to != nil {
			actions = append(actions, m.exchangeWith(peerOf(to))...)
		}
	}
	return actions
}

func (m *Machine) handleManifestResult(now mgclock.Millis, result ActionResult) []Action {
	if m.manifestKeyState.finishRead(now, result, m) {
		m.applyManifest(now, result.Value.Bytes())
	}
	if m.manifestKeyState.failures == 0 {
		m.tableReadPending = false
		m.confirmTable(now)
	}
	if errors.Is(result.Err, mgplatform.ErrCordonsChanged) {
		// The first watchersPerCell processes of each cell, its hub and two more, always
		// watch the table. They learn of a cordon here, even where the region's
		// reader has just died or is cut off.
		m.listKeyState.next = min(m.listKeyState.next, now)
		return append(m.stepPull(now), m.readPlatform(now)...)
	}
	return m.stepPull(now)
}

func (m *Machine) handlePageResult(now mgclock.Millis, result ActionResult) []Action {
	if m.pull == nil || m.pull.id != result.Action.pullID {
		return nil
	}
	m.pull.busy = false
	if result.Err == nil && m.applyValue(now, result.Value.Bytes()) {
		return m.stepPull(now)
	}
	// The platform shows the manifest before its pages, or is down.
	m.startNextRound(now)
	return nil
}

// staleTimeout is the time without a confirmation of the list after which relays (the
// reverse proxies of entries, see mgrelay) ask upstreams directly whether they are
// leaving: longer than a watch takes to return the next heartbeat.
const staleTimeout = 1500 * mgclock.Millis(1)

// quickStaleTimeout is the same where one process watches the list quickly: heartbeats
// of a dozen upstreams end its watches every 100 ms or so, and it reports to the others
// every 200 ms. A platform that stops answering without an error hides an upstream's
// notice of 1.7 s, of which enough must remain to move running work; with a shorter
// timeout, upstreams would be asked directly all the time.
const quickStaleTimeout = 800 * mgclock.Millis(1)

// IsListStale reports whether the list is unconfirmed by the platform: neither this process
// nor another one has had a recent answer about it, as during an outage.
func (m *Machine) IsListStale(now mgclock.Millis) bool {
	failed := m.listKeyState.failures > 0 && now >= m.peerConfirmedAt+maxReportAge
	timeout := staleTimeout
	if m.isQuick(&m.listKeyState) {
		timeout = quickStaleTimeout
	}
	return failed || now >= m.listKeyState.confirmedAt+timeout
}

// finishRead records the end of a read and schedules the next one. It reports whether
// the read returned a value.
func (s *keyState) finishRead(now mgclock.Millis, result ActionResult, m *Machine) bool {
	s.busy = false
	unchanged := errors.Is(result.Err, mgplatform.ErrUnchanged) || errors.Is(result.Err, mgplatform.ErrCordonsChanged)
	if result.Err != nil && !unchanged {
		s.failures++
		m.counts.FailedReads++
		if m.spec.QuickInterval > 0 && errors.Is(result.Err, mgplatform.ErrMissing) {
			s.next = now + missingRetryInterval/2 + m.jitter(missingRetryInterval)
			return false
		}
		if m.spec.QuickInterval == 0 && s.failures == 1 && result.Action.kind == Watch {
			s.next = now + m.jitter(firstRetryDelay) // its connection may have gone silent
			return false
		}
		if m.isServedByHub(now) {
			s.next = now + platformDownInterval/2 + m.jitter(platformDownInterval)
			return false
		}
		if m.delegatesListReads() && m.isQuick(s) {
			s.next = now + longListReadInterval/2 + m.jitter(longListReadInterval)
			return false
		}
		if m.isQuick(s) && m.roles().rank < watchersPerCell && m.Current() != nil {
			s.next = now + quickRetryDelay/2 + m.jitter(quickRetryDelay)
			return false
		}
		if m.Current() == nil || m.isQuick(s) {
			s.next = now + firstRetryDelay/2 + m.jitter(min(orDefault(m.spec.MaxBackoff, backoffMax), firstRetryDelay<<min(s.failures, maxDoublings)))
			return false
		}
		s.next = now + backoffMin/2 + m.jitter(min(orDefault(m.spec.MaxBackoff, backoffMax), backoffMin<<min(s.failures, maxDoublings)))
		if m.join.ready && !m.isWatcher() {
			// A failed poll waits for the next poll interval. Otherwise every member
			// would be retrying after an hour's outage.
			s.next = m.nextReadAt(now, s)
		}
		return false
	}
	s.failures = 0
	s.confirmedAt = now
	s.readAt = now
	s.hasAnswered = true
	s.next = m.nextReadAt(now, s)
	if unchanged {
		return false
	}
	s.version = result.Value.Version()
	return true
}

// nextReadAt returns the time of the next read of a key.
func (m *Machine) nextReadAt(now mgclock.Millis, s *keyState) mgclock.Millis {
	switch {
	case !m.isWatcher():
	case m.isQuick(s) && m.readsForOthers(now):
		return now + m.spec.QuickInterval
	case m.isQuick(s):
		return now + m.ownReadInterval()
	default:
		return now + watchInterval
	}
	interval := max(pollIntervalMin, pollIntervalPerMember*mgclock.Millis(len(m.members.View().All())))
	return now + interval/2 + m.jitter(interval)
}
