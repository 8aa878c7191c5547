package mgconfig

import (
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

const (
	// retryMin and retryMax are the bounds of the delay between two rounds over the
	// peers that are known to have a version.
	retryMin = 200 * mgclock.Millis(1)
	retryMax = 5 * mgclock.Second
	// ownWatchDelay is how long a process whose own watch works waits for it before it
	// fetches a version from a peer. Doing both at once costs twice: the text of 400
	// routes takes 1.1 ms of a core to compress and decompress, and some ms more to
	// parse.
	ownWatchDelay = 250 * mgclock.Millis(1)
	// pageReadDelay is the delay of a watcher whose rate limit for page reads is reached.
	pageReadDelay = mgclock.Second / watcherRate
	// maxPeerRounds is the number of rounds over peers, about eight seconds, before a
	// member that is no watcher reads from the platform. In a mass restart the watchers
	// need that long to read all pages, and values that a peer has don't cost a read.
	maxPeerRounds = 6
)

// pull is the state of fetching a version that a peer or the platform has and that
// isn't in force yet.
type pull struct {
	id           int // distinguishes the answers to its fetches from those of an earlier pull
	key          versionKey
	manifest     mgtable.Manifest
	manifestText []byte                   // of the manifest, nil until fetched
	pages        map[string]*mgtable.Page // by digest
	sources      []peer
	sourceIndex  int            // index of the next source
	rounds       int            // rounds over all sources since the last progress
	busy         bool           // a fetch is in progress
	next         mgclock.Millis // time of the next fetch
}

// learnVersion records that a version exists, and that the peer given as from has it,
// unless that is empty.
func (m *Machine) learnVersion(now mgclock.Millis, key versionKey, from peer) {
	if key.version == 0 || !key.isAfter(m.Current().key()) || m.rejections.has(key.digest) {
		return
	}
	if m.pull == nil || key.isAfter(m.pull.key) {
		m.beginPull(now, key)
		if from.addr != "" && m.isWatcher() && m.join.ready && m.manifestKeyState.failures == 0 {
			// The own watch will return it as well.
			m.pull.next = now + ownWatchDelay
		}
	}
	if key != m.pull.key || from.addr == "" {
		return
	}
	for _, p := range m.pull.sources {
		if p == from {
			return
		}
	}
	m.pull.sources = append(m.pull.sources, from)
}

// beginPull starts fetching a version. Pages fetched for an older one are kept.
func (m *Machine) beginPull(now mgclock.Millis, key versionKey) {
	pages := make(map[string]*mgtable.Page)
	if m.pull != nil {
		pages = m.pull.pages
	}
	m.pullCount++
	m.pull = &pull{
		id:    m.pullCount,
		key:   key,
		pages: pages,
		next:  now,
	}
}

// applyManifest handles a manifest's text from any source.
func (m *Machine) applyManifest(now mgclock.Millis, text []byte) {
	digest := mgtable.DigestOf(text).String()
	manifest, err := mgtable.ReadManifest(text)
	key := versionKey{
		version: manifest.Version,
		digest:  digest,
	}
	if m.pull != nil && m.pull.key.digest == digest && m.pull.key != key {
		// The manifest can't be parsed, or a peer reported it under another version
		// than it contains. Adopting it under the reported version could mean going
		// back.
		m.pull = nil
	}
	if err != nil {
		m.rejections.add(0, digest, err)
		return
	}
	if current := m.Current(); key.version == current.Version() && current.key().isAfter(key) {
		// An edit whose version was not raised: the order of versions keeps the one in
		// force everywhere, and without a rejection nobody would know why.
		m.rejections.add(key.version, digest, errVersionReused)
		return
	}
	m.learnVersion(now, key, peer{})
	if m.pull == nil || m.pull.key != key || m.pull.manifestText != nil {
		return
	}
	m.pull.manifestText = text
	m.pull.manifest = manifest
	m.pull.next = now
}

// stepPull performs the next step of the current pull.
func (m *Machine) stepPull(now mgclock.Millis) []Action {
	p := m.pull
	if p == nil || p.busy || now < p.next {
		return nil
	}
	if !p.key.isAfter(m.Current().key()) {
		m.pull = nil
		return nil
	}
	missing := m.missingDigests()
	if len(missing) == 0 {
		return m.adopt(now)
	}
	if p.sourceIndex < len(p.sources) {
		return m.fetchFrom(p.sources[p.sourceIndex], missing)
	}
	return m.continueAfterRound(now, missing[0])
}

// missingDigests returns the digests of the values still to fetch.
func (m *Machine) missingDigests() []string {
	p := m.pull
	if p.manifestText == nil {
		return []string{p.key.digest}
	}
	var missing []string
	for _, digest := range p.manifest.Pages {
		if m.page(digest) == nil {
			missing = append(missing, digest)
		}
	}
	return missing
}

// page returns a page that was fetched, that the current snapshot has, or that
// MachineSpec.ParsedPage returns; else nil.
func (m *Machine) page(digest string) *mgtable.Page {
	if page := m.pull.pages[digest]; page != nil {
		return page
	}
	if current := m.Current(); current != nil && current.pages[digest] != nil {
		return current.pages[digest]
	}
	if m.spec.ParsedPage != nil {
		return m.spec.ParsedPage(digest)
	}
	return nil
}

func (m *Machine) fetchFrom(p peer, missing []string) []Action {
	m.pull.busy = true
	m.counts.Fetches++
	return []Action{{
		kind:          Fetch,
		pullID:        m.pull.id,
		peer:          p.name,
		addr:          p.addr,
		answerTimeout: m.spec.FetchTimeout,
		fetch: &mgrpc.FetchRequest{
			Digests: missing,
		},
	}}
}

// continueAfterRound is called after a round over all sources, or without any. A
// watcher, and a member that has tried its peers often enough, reads one value from the
// platform. The others look for a peer that has the version and start another round
// after a delay.
func (m *Machine) continueAfterRound(now mgclock.Millis, digest string) []Action {
	p := m.pull
	isWatcher := m.isWatcher()
	if p.manifestText != nil && (isWatcher || p.rounds >= maxPeerRounds) {
		if m.pageReadLimiter.allow(now, isWatcher) {
			return m.readPage(digest)
		}
		if isWatcher {
			p.next = now + pageReadDelay
			return nil
		}
	}
	m.startNextRound(now)
	if len(p.sources) == 0 {
		return m.exchangeWith(m.choosePeer())
	}
	return nil
}

func (m *Machine) readPage(digest string) []Action {
	m.pull.busy = true
	m.counts.countRead(&m.counts.PageReads)
	return []Action{{
		kind:   Read,
		pullID: m.pull.id,
		key:    mgplatform.PageKey(digest),
	}}
}

func (m *Machine) startNextRound(now mgclock.Millis) {
	p := m.pull
	p.rounds++
	p.sourceIndex = 0
	p.next = now + m.backoff(p.rounds)
}

// backoff returns a random delay whose bound doubles with each round.
func (m *Machine) backoff(rounds int) mgclock.Millis {
	bound := retryMax
	if rounds < 5 {
		bound = min(retryMax, retryMin<<rounds)
	}
	return retryMin/2 + m.jitter(bound)
}

// handleFetchResult handles the answer to a fetch.
func (m *Machine) handleFetchResult(now mgclock.Millis, result ActionResult) []Action {
	switch {
	case result.Action.peer == "":
	case result.Err != nil:
		m.members.RecordFailure(now, result.Action.peer)
	default:
		m.members.RecordAnswer(now, result.Action.peer)
	}
	if result.Action.fetch.GetList() {
		m.listFetch.busy = false
		m.listFetch.next = now + m.listFetchInterval()
		if result.Err == nil && m.adoptList(now, result.List) {
			m.postponeFirstListRead(now)
			return m.pushListVersion(now)
		}
		return nil
	}
	if m.pull == nil || m.pull.id != result.Action.pullID {
		return nil
	}
	progress := false
	for _, value := range result.Values {
		if m.applyValue(now, value) {
			progress = true
		}
	}
	if m.pull == nil {
		return nil
	}
	m.pull.busy = false
	if progress {
		m.pull.rounds = 0
	} else {
		m.pull.sourceIndex++
	}
	return m.stepPull(now)
}

// applyValue handles a fetched manifest or page. The digest alone identifies the value,
// so it doesn't matter who sent it. applyValue reports whether the pull needed the
// value.
func (m *Machine) applyValue(now mgclock.Millis, value []byte) bool {
	p := m.pull
	if p == nil {
		return false
	}
	digest := mgtable.DigestOf(value).String()
	if p.manifestText == nil {
		if digest != p.key.digest {
			return false
		}
		m.applyManifest(now, value)
		return true
	}
	for _, wanted := range m.missingDigests() {
		if wanted == digest {
			m.applyPage(digest, value)
			return true
		}
	}
	return false
}

// applyPage parses a page of the pulled version. A faulty page makes the whole version
// faulty.
func (m *Machine) applyPage(digest string, value []byte) {
	page, err := mgtable.ReadPage(value)
	if err != nil {
		m.rejectPull(err)
		return
	}
	m.pull.pages[digest] = page
}

// adopt puts the pulled version in force, or rejects it.
func (m *Machine) adopt(now mgclock.Millis) []Action {
	p := m.pull
	pages := make([]*mgtable.Page, 0, len(p.manifest.Pages))
	byDigest := make(map[string]*mgtable.Page, len(p.manifest.Pages))
	for _, digest := range p.manifest.Pages {
		page := m.page(digest)
		pages = append(pages, page)
		byDigest[digest] = page
	}
	table, err := mgtable.Join(p.manifest, pages)
	if err != nil {
		m.rejectPull(err)
		return nil
	}
	m.pull = nil
	m.current.Store(&Snapshot{
		table:    table,
		digest:   p.key.digest,
		manifest: p.manifestText,
		pages:    byDigest,
	})
	m.counts.Adoptions++
	return m.pushToPeers(now)
}

// rejectPull drops the pulled version permanently. The one in force stays.
func (m *Machine) rejectPull(err error) {
	m.rejections.add(m.pull.key.version, m.pull.key.digest, err)
	m.pull = nil
}
