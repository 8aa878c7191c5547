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
	// watchers is the number of members that watch the platform in each zone.
	// With three a zone keeps a watcher while one is replaced and one has died.
	watchersPerZone = 3
	// watchWait is how long a watch waits by default. The platform counts it as
	// one read, and a stale answer can hide for no longer.
	watchWait = 20 * mgclock.Second
	// watchPause is the shortest interval between two watches of a key, against
	// a platform that answers at once over and over.
	watchInterval = 500 * mgclock.Millis(1)
	// slowPause is the interval between watches of the list by those that
	// another watches for. Should it die, its peers see a change within this
	// span and what is left of the two seconds that a change may take is theirs.
	slowWatchInterval = mgclock.Second
	// quickWatch and quickAnswer bound a watch of a list whose changes must be
	// known soon. Upstreams' heartbeats end each watch within 100 ms or so; one
	// whose answer was lost must not hide a notice of 1.5 s. A store that is slow
	// sixtyfold answers in 240 ms.
	quickWatchWait    = 600 * mgclock.Millis(1)
	quickWatchTimeout = 400 * mgclock.Millis(1)
	// plainEvery makes every so manieth watch a plain read. A platform that was
	// set up anew counts its versions from 1, and a watch for more than the old
	// count would never see a change.
	readEvery = 10
	// plainQuick is the same for a list whose changes must be known soon: at least
	// 18 s of watches that end with the next heartbeat. A read of some thousand
	// upstreams is a dozen calls and more.
	quickReadEvery = 300
	// restedSpan is how long a watch may have rested before a read takes its place:
	// upstreams write about each 1.2 s.
	maxWatchIdle = 2 * mgclock.Second
	// pollPerMember makes the poll's interval grow with the fleet, so that all
	// polls together make two reads a second at any size.
	pollIntervalPerMember = 500 * mgclock.Millis(1)
	pollIntervalMin       = 30 * mgclock.Second
	// missingPause is the mean pause after the answer that there is no value yet, where
	// the platform is young: all processes start before the first table is published,
	// and the first that reads it tells the others.
	missingRetryInterval = mgclock.Second
	// backoffMin and backoffMax bound the pause after a failed read by default.
	// Half a minute is the longest that a change waits once the platform is back.
	backoffMin = mgclock.Second
	// firstRetry is the first pause of a process that has no table yet, or watches
	// a list whose changes must be known soon: it asks soon, and ever more rarely.
	firstRetryDelay = 100 * mgclock.Millis(1)
	backoffMax      = 30 * mgclock.Second
	// maxShift bounds the doublings of a pause; the bounds above end them sooner.
	maxDoublings = 10
)

// Budgets of pages read from the platform. Twenty-one watchers (three in each of
// seven zones) with 25 reads a second each make 525 of the platform's 2,000, beside
// the 630 first reads a second of 1,260 processes that restart over four seconds.
// The other members read a page in ten seconds at most, 126 a second in all.
const (
	watcherRate  = 25
	watcherBurst = 10
	memberRate   = 0.1
	memberBurst  = 2
)

// budget bounds the reads of pages.
type budget struct {
	watcher *rate.Limiter
	member  *rate.Limiter
}

func (b *budget) allow(now mgclock.Millis, isWatcher bool) bool {
	if b.watcher == nil {
		b.watcher = rate.NewLimiter(watcherRate, watcherBurst)
		b.member = rate.NewLimiter(memberRate, memberBurst)
	}
	at := time.UnixMilli(int64(now))
	if isWatcher {
		return b.watcher.AllowN(at, 1)
	}
	return b.member.AllowN(at, 1)
}

// source is a key of the platform that is kept up to date.
type source struct {
	key             string
	busy            bool           // a read is under way
	next            mgclock.Millis // when to read again
	failures        int            // in a row
	readCount       int            // reads begun
	readAt          mgclock.Millis // when one of them brought an answer last
	version         uint64         // the platform's, not a table's
	hasAnswered     bool           // the platform has answered once
	confirmedByPeer bool           // another's word of it was fresh once
	confirmedAt     mgclock.Millis // when it last answered
}

// never is a time that doesn't come.
const never = mgclock.Millis(math.MaxInt64)

func (s *source) nextDue() mgclock.Millis {
	if s.busy {
		return never
	}
	return s.next
}

// readPlatform begins the reads that are due.
func (m *Machine) readPlatform(now mgclock.Millis) []Action {
	var actions []Action
	if m.join.isListLong && m.listSource.version == 0 && m.listSource.failures == 0 && now < m.lastPolledAt+pollersTTL && m.readsForOthers(now) {
		m.listSource.next = min(m.listSource.next, now) // those that listen here wait for it
	}
	for _, s := range []*source{&m.listSource, &m.manifestSource} {
		if s.busy || now < s.next {
			continue
		}
		s.busy = true
		actions = append(actions, m.nextRead(s))
	}
	return actions
}

// LookForTable reads the table at once.
func (m *Machine) ReadTableNow(now mgclock.Millis) []Action {
	m.now = now
	m.tableReadPending = true
	m.manifestSource.next = min(m.manifestSource.next, now)
	return m.readPlatform(now)
}

// readSource watches as a watcher that has the value, and reads otherwise.
func (m *Machine) nextRead(s *source) Action {
	s.readCount++
	every := readEvery
	if m.isQuick(s) {
		every = quickReadEvery
	}
	if s.version == 0 || !m.isWatcher() || s.readCount%every == 0 || m.isWatchOverdue(s) {
		m.counts.countRead(m.readCounter(s))
		action := Action{
			kind:          Read,
			key:           s.key,
			answerTimeout: m.spec.Answer,
		}
		if m.isQuick(s) {
			// It may be some dozen calls, each of which is bounded by itself.
			action.answerTimeout = max(action.answerTimeout, readTimeout)
		}
		return action
	}
	m.counts.countRead(m.watchCounter(s))
	action := Action{
		kind:          Watch,
		key:           s.key,
		after:         s.version,
		wait:          orDefault(m.spec.Watch, watchWait),
		answerTimeout: m.spec.Answer,
	}
	if m.isQuick(s) {
		action.wait = min(action.wait, quickWatchWait)
		action.answerTimeout = min(orDefault(action.answerTimeout, readTimeout), quickWatchTimeout)
	}
	return action
}

// rested reports whether a watch would bring more than a read: all heartbeats since,
// where every upstream has had one meanwhile. After 20 s of 144 upstreams that is a
// megabyte, and 0.4 s on a link of 20 Mbit/s.
func (m *Machine) isWatchOverdue(s *source) bool {
	return m.isQuick(s) && m.now >= s.readAt+maxWatchIdle
}

// plainReason returns the count of a plain read.
func (m *Machine) readCounter(s *source) *int {
	if s.version == 0 || !m.isWatcher() {
		return &m.counts.First
	}
	return &m.counts.Plain
}

// watchReason returns the count of a watch.
func (m *Machine) watchCounter(s *source) *int {
	switch {
	case s == &m.manifestSource:
		return &m.counts.Table
	case m.isQuick(s) && m.readsForOthers(m.now):
		return &m.counts.Quick
	default:
		return &m.counts.Slow
	}
}

// quick reports whether a source's changes must be known within tens of ms.
func (m *Machine) isQuick(s *source) bool { return s == &m.listSource && m.spec.Quick > 0 }

// watching reports whether this process watches the platform for its zone.
// Suspects are passed over, so that the next in the ranking takes over from
// watchers that died before the list shows it.
func (m *Machine) isWatcher() bool {
	if _, listed := m.members.View().Member(m.spec.Name); !listed {
		// No list says who else could watch for this process.
		return true
	}
	var candidates []*mgmember.Member
	for _, member := range m.members.View().Zone(m.spec.Zone) {
		if !member.Peer() {
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

// answered takes the answer to a read or a watch.
func (m *Machine) handlePlatformResult(now mgclock.Millis, result ResultSpec) []Action {
	switch result.Action.key {
	case mgplatform.ListKey:
		return m.handleListResult(now, result)
	case mgplatform.ManifestKey:
		return m.handleManifestResult(now, result)
	default:
		return m.handlePageResult(now, result)
	}
}

func (m *Machine) handleListResult(now mgclock.Millis, result ResultSpec) []Action {
	if errors.Is(result.Err, mgplatform.ErrLong) {
		m.listSource.busy = false
		m.deferFirstListRead(now)
		return m.askPeersForJoin(now)
	}
	fresh := m.listSource.finishRead(now, result, m)
	if m.spec.Joint && m.listSource.failures == 0 {
		m.confirmTable(now)
	}
	before := m.members.View()
	if !fresh || !m.adoptList(now, result.Value.Bytes()) {
		return nil
	}
	var actions []Action
	if !maps.Equal(before.Cordoned(), m.members.View().Cordoned()) {
		actions = m.notifyHubs()
	}
	// The list says who watches: a watcher begins at once, the others wait for
	// their poll.
	m.manifestSource.next = min(m.manifestSource.next, m.nextReadAt(now, &m.manifestSource))
	actions = append(actions, m.pushList(now)...)
	return append(actions, m.askPeersForJoin(now)...)
}

// tellHubs tells the hub of the own cell and the region's reader of cordons that this
// process has read by itself. One of them that is cut off from the platform would have
// those that listen at it wait until its word is too old.
func (m *Machine) notifyHubs() []Action {
	var actions []Action
	r := m.roles()
	for _, to := range []*mgmember.Member{r.hub, r.reader} {
		if to != nil {
			actions = append(actions, m.exchangeWith(peerOf(to))...)
		}
	}
	return actions
}

func (m *Machine) handleManifestResult(now mgclock.Millis, result ResultSpec) []Action {
	if m.manifestSource.finishRead(now, result, m) {
		m.applyManifest(now, result.Value.Bytes())
	}
	if m.manifestSource.failures == 0 {
		m.tableReadPending = false
		m.confirmTable(now)
	}
	if errors.Is(result.Err, mgplatform.ErrCordons) {
		// Each hub and two more of its cell hear of a cordon here, also where the
		// process that reads the list for all has just died or is cut off.
		m.listSource.next = min(m.listSource.next, now)
		return append(m.stepPull(now), m.readPlatform(now)...)
	}
	return m.stepPull(now)
}

func (m *Machine) handlePageResult(now mgclock.Millis, result ResultSpec) []Action {
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

// staleSpan is how long the list may be unconfirmed before other evidence is
// asked for: longer than a watch takes to bring the next heartbeat.
const staleTimeout = 1500 * mgclock.Millis(1)

// quickStale is the same where one process watches the list quickly: heartbeats of a
// dozen upstreams end its watches each 100 ms or so, and it tells the others each
// 200 ms. A platform that falls silent without a refusal hides a notice of 1.7 s, of
// which some must be left to move what runs there; sooner, upstreams would be asked all
// the time.
const quickStaleTimeout = 800 * mgclock.Millis(1)

// Stale reports whether the platform gives no word of the list now.
func (m *Machine) IsListStale(now mgclock.Millis) bool {
	failed := m.listSource.failures > 0 && now >= m.peerConfirmedAt+maxReportAge
	timeout := staleTimeout
	if m.isQuick(&m.listSource) {
		timeout = quickStaleTimeout
	}
	return failed || now >= m.listSource.confirmedAt+timeout
}

// done notes the end of a read and when the next is due. It reports whether a
// value came.
func (s *source) finishRead(now mgclock.Millis, result ResultSpec, m *Machine) bool {
	s.busy = false
	unchanged := errors.Is(result.Err, mgplatform.ErrUnchanged) || errors.Is(result.Err, mgplatform.ErrCordons)
	if result.Err != nil && !unchanged {
		s.failures++
		m.counts.Failed++
		if m.spec.Quick > 0 && errors.Is(result.Err, mgplatform.ErrMissing) {
			s.next = now + missingRetryInterval/2 + m.jitter(missingRetryInterval)
			return false
		}
		if m.hubAnswers(now) {
			s.next = now + platformDownInterval/2 + m.jitter(platformDownInterval)
			return false
		}
		if m.leavesListToOthers() && m.isQuick(s) {
			s.next = now + longListReadInterval/2 + m.jitter(longListReadInterval)
			return false
		}
		if m.Current() == nil || m.isQuick(s) {
			s.next = now + firstRetryDelay/2 + m.jitter(min(orDefault(m.spec.Backoff, backoffMax), firstRetryDelay<<min(s.failures, maxDoublings)))
			return false
		}
		s.next = now + backoffMin/2 + m.jitter(min(orDefault(m.spec.Backoff, backoffMax), backoffMin<<min(s.failures, maxDoublings)))
		if m.join.ready && !m.isWatcher() {
			// A poll that failed waits for its turn again. Otherwise every
			// member would be retrying after an hour's outage.
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

// after returns when a source is read next after now.
func (m *Machine) nextReadAt(now mgclock.Millis, s *source) mgclock.Millis {
	switch {
	case !m.isWatcher():
	case m.isQuick(s) && m.readsForOthers(now):
		return now + m.spec.Quick
	case m.isQuick(s):
		return now + m.ownReadInterval()
	default:
		return now + watchInterval
	}
	interval := max(pollIntervalMin, pollIntervalPerMember*mgclock.Millis(len(m.members.View().All())))
	return now + interval/2 + m.jitter(interval)
}
