package mgprobe

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// roundInterval and staleCheckInterval are those of mgrelay while the list may be stale and while it isn't.
	roundInterval      = 50 * time.Millisecond
	staleCheckInterval = 250 * time.Millisecond
	// waitsPerRound is the number of events that a round of a late entry waits for, as in mgrelay.
	waitsPerRound = 3
	// outage is the time for which the list may be stale: the store is silent for 8 s and recovers in 2.5 s.
	outage = 10500 * time.Millisecond
	// departureFanout is the number of entries to which mgconfig pushes the departure of an engine.
	departureFanout = 4
	// runsPerEngine is the number of generations at an engine, each at a random entry.
	runsPerEngine = 10
)

var errNoAnswer = errors.New("no answer")

// meshSpec describes entries in a mesh. Their indexes are those of mesh.nodes.
type meshSpec struct {
	count        int
	engineCount  int
	shared       bool             // the engines are shared by several cells
	old          func(i int) bool // entries of the previous release
	confirmed    func(i int) bool // entries whose list isn't stale
	late         func(i int) bool // entries in which each event waits for lateWait
	side         func(i int) int  // entries by the side of a partition, which begins after cutAfter
	reachesNone  func(i int) bool // entries that reach no engine
	countsBytes  bool
	noticePeriod time.Duration // time between two notices, 0 for none
}

// cutAfter is the time after which a partition begins.
const cutAfter = 3 * time.Second

// lateWait is how long events wait in a late entry.
const lateWait = 400 * time.Millisecond

// mesh simulates entries that probe engines, in virtual time.
type mesh struct {
	spec  meshSpec
	clock mgclock.Clock
	nodes []*node
	names []string // of the entries

	mu        sync.Mutex
	random    *rand.Rand // seeded by the spec, so that plays of one test differ only by the order of events of one ms
	engines   map[string]*engine
	calls     int // probes
	checks    int // destinations of moves that were not known by a recent answer
	used      int // destinations that were
	messages  int
	takeovers int
	bytes     int // of messages and responses with their headers
	isCut     bool
	delays    []time.Duration // from a notice until an entry knows of it
	lastKnown []time.Duration // from a notice until the last entry knows of it
	maxGap    time.Duration   // longest time for which an engine with generations wasn't probed by a side of a partition
	maxStart  time.Duration   // the same until its first probe
}

type node struct {
	prober *Prober
	stop   context.CancelFunc
	dead   bool
}

type engine struct {
	addedAt  time.Time
	runsAt   map[int]bool      // entries
	noticeAt time.Time         // zero before the notice
	askedAt  map[int]time.Time // time of the last probe by side of a partition
	knownAt  map[int]bool      // entries that know of the notice
}

func newMesh(spec meshSpec) *mesh {
	m := &mesh{
		spec:    spec,
		engines: map[string]*engine{},
		random:  rand.New(rand.NewPCG(uint64(spec.count), uint64(spec.engineCount))),
	}
	for i := range spec.count {
		m.nodes = append(m.nodes, &node{})
		m.names = append(m.names, entryName(i))
	}
	return m
}

// intN returns a random number below n. mu must not be held.
func (m *mesh) intN(n int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.random.IntN(n)
}

// upTo returns a random duration below limit. mu must not be held.
func (m *mesh) upTo(limit time.Duration) time.Duration { return time.Duration(m.intN(int(limit))) }

// addProbers gives each entry its prober.
func (m *mesh) addProbers() {
	for i := range m.nodes {
		m.nodes[i].prober = New(Spec{
			Name:    m.names[i],
			Entries: func(bool) []string { return slices.Clone(m.names) }, // dead ones too: no other part of the system detects them
			IntN:    m.intN,
			Send: func(ctx context.Context, entry string, message Message) (Message, error) {
				return m.send(i, entry, message)
			},
			OnExcluded: func(string, error) {},
			Count: func(event string, count int) {
				m.mu.Lock()
				defer m.mu.Unlock()
				if event == "takeovers" {
					m.takeovers += count
				}
			},
		})
	}
}

func entryName(i int) string { return fmt.Sprintf("front-surrey-hall-%d", i) }

// run runs the entries for the duration of an outage, during which body is called.
func (m *mesh) run(t *testing.T, body func()) {
	synctest.Test(t, func(*testing.T) {
		m.addProbers()
		for range m.spec.engineCount {
			m.addEngine()
		}
		ctx, stop := context.WithCancel(context.Background())
		for i, node := range m.nodes {
			var nodeCtx context.Context
			nodeCtx, node.stop = context.WithCancel(ctx)
			go m.runEntry(nodeCtx, i)
		}
		if m.spec.noticePeriod > 0 {
			go m.runNotices(ctx)
		}
		if m.spec.side != nil {
			time.AfterFunc(cutAfter, func() {
				m.mu.Lock()
				defer m.mu.Unlock()
				m.isCut = true
			})
		}
		start := time.Now()
		body()
		time.Sleep(time.Until(start.Add(outage)))
		m.mu.Lock()
		for _, engine := range m.engines {
			m.endGap(engine, 0)
			m.endGap(engine, 1)
		}
		m.mu.Unlock()
		stop()
		time.Sleep(time.Second)
	})
}

// runEntry runs one entry. Its list turns stale within the interval at which it checks that.
func (m *mesh) runEntry(ctx context.Context, i int) {
	time.Sleep(m.upTo(staleCheckInterval))
	for ctx.Err() == nil {
		if m.is(m.spec.confirmed, i) {
			return
		}
		if m.is(m.spec.old, i) {
			for _, name := range m.engineRows(i) {
				if m.runsAt(i, name) {
					go func() { _, _ = m.ask(ctx, i, name) }()
				}
			}
			time.Sleep(staleCheckInterval)
			continue
		}
		var engines []Engine
		for _, name := range m.engineRows(i) {
			engines = append(engines, Engine{
				Name:     name,
				Shared:   m.spec.shared,
				RunsHere: m.runsAt(i, name),
			})
		}
		go m.nodes[i].prober.Round(ctx, engines, func(ctx context.Context, name string) (bool, error) { return m.ask(ctx, i, name) })
		time.Sleep(roundInterval + waitsPerRound*m.wait(i))
	}
}

func (m *mesh) is(property func(int) bool, i int) bool { return property != nil && property(i) }

// wait returns the time for which events wait in an entry.
func (m *mesh) wait(i int) time.Duration {
	if m.is(m.spec.late, i) {
		return lateWait
	}
	return 0
}

// engineRows returns the engines that an entry doesn't know to be leaving, sorted.
func (m *mesh) engineRows(i int) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for name, engine := range m.engines {
		if !engine.knownAt[i] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (m *mesh) runsAt(i int, name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.engines[name].runsAt[i]
}

// addEngine adds an engine that runs generations of random entries. mu must not be held.
func (m *mesh) addEngine() {
	m.mu.Lock()
	defer m.mu.Unlock()
	added := &engine{
		addedAt: time.Now(),
		runsAt:  map[int]bool{},
		askedAt: map[int]time.Time{},
		knownAt: map[int]bool{},
	}
	for range runsPerEngine {
		added.runsAt[m.random.IntN(len(m.nodes))] = true
	}
	m.engines[fmt.Sprintf("i-%010x", m.random.Uint64()>>24)] = added
}

// ask probes an engine.
func (m *mesh) ask(ctx context.Context, i int, name string) (bool, error) {
	time.Sleep(3*time.Millisecond + m.wait(i))
	m.mu.Lock()
	m.calls++
	engine := m.engines[name]
	if m.is(m.spec.reachesNone, i) {
		m.mu.Unlock()
		time.Sleep(150 * time.Millisecond)
		return false, errNoAnswer
	}
	if !m.nodes[i].dead {
		m.countProbe(i, engine)
	}
	leaving := !engine.noticeAt.IsZero()
	m.mu.Unlock()
	if leaving {
		m.learn(ctx, i, name)
	}
	return leaving, ctx.Err()
}

// reaches reports whether messages of an entry reach another one.
func (m *mesh) reaches(from, to int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.nodes[to].dead && (!m.isCut || m.spec.side(from) == m.spec.side(to))
}

// countProbe records a probe of an engine for all sides of a partition that know its answer. mu must be held.
func (m *mesh) countProbe(i int, probed *engine) {
	if !m.isCut {
		for side := range 2 {
			m.endGap(probed, side)
		}
		return
	}
	m.endGap(probed, m.spec.side(i))
}

// endGap ends the time for which an engine wasn't probed by a side of a partition, and counts it if the engine
// runs generations of that side. mu must be held.
func (m *mesh) endGap(probed *engine, side int) {
	runs := false
	for i := range probed.runsAt {
		runs = runs || !m.nodes[i].dead && !m.is(m.spec.old, i) && !m.is(m.spec.confirmed, i) && (m.spec.side == nil || m.spec.side(i) == side)
	}
	at, asked := probed.askedAt[side]
	switch {
	case !runs || !probed.noticeAt.IsZero():
	case asked:
		m.maxGap = max(m.maxGap, time.Since(at))
	default:
		m.maxStart = max(m.maxStart, time.Since(probed.addedAt))
	}
	probed.askedAt[side] = time.Now()
}

// learn records that an entry knows of an engine's notice, and spreads it as mgconfig does: the first time an
// entry learns of it, it pushes it to a few random entries. The entry then moves the generations that
// it has there.
func (m *mesh) learn(ctx context.Context, i int, name string) {
	m.mu.Lock()
	engine := m.engines[name]
	known := engine.knownAt[i] || m.nodes[i].dead
	if !known {
		engine.knownAt[i] = true
		m.delays = append(m.delays, time.Since(engine.noticeAt))
		if len(engine.knownAt) == len(m.nodes) {
			m.lastKnown = append(m.lastKnown, time.Since(engine.noticeAt))
		}
	}
	m.mu.Unlock()
	if known {
		return
	}
	for range departureFanout {
		to := m.intN(len(m.nodes))
		go func() {
			time.Sleep(m.linkDelay() + m.wait(to))
			if ctx.Err() == nil && m.reaches(i, to) {
				m.learn(ctx, to, name)
			}
		}()
	}
	if m.runsAt(i, name) {
		m.checkDestination(i)
	}
}

// checkDestination has an entry look for a destination among the engines that it doesn't know to be leaving.
func (m *mesh) checkDestination(i int) {
	names := m.engineRows(i)
	if len(names) == 0 {
		return
	}
	name := names[m.intN(len(names))]
	// The prober calls the mesh with its lock held, so that the mesh must not call it with its own.
	_, isKnown := m.nodes[i].prober.Age(name)
	if !isKnown {
		m.nodes[i].prober.Record(m.clock.Now(), name)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if isKnown {
		m.used++
		return
	}
	m.checks++
	m.calls++
}

// runNotices lets engines give notice, one at a time, and replaces each by another one.
func (m *mesh) runNotices(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(m.spec.noticePeriod/2 + m.upTo(m.spec.noticePeriod))
		m.notifyOne()
		m.addEngine()
	}
}

// notifyOne lets a random engine that stays give notice.
func (m *mesh) notifyOne() {
	m.mu.Lock()
	defer m.mu.Unlock()
	var staying []string
	for name, engine := range m.engines {
		if engine.noticeAt.IsZero() {
			staying = append(staying, name)
		}
	}
	slices.Sort(staying)
	m.engines[staying[m.random.IntN(len(staying))]].noticeAt = time.Now()
}

// linkDelay returns the latency of a link in one direction.
func (m *mesh) linkDelay() time.Duration {
	return 500*time.Microsecond + m.upTo(time.Millisecond)
}

const (
	// sendTimeout limits the wait for a response, as in mgnode.
	sendTimeout = 200 * time.Millisecond
	// headerBytes is the size of the headers of a request or a response between processes: both together
	// have 200 bytes at most; see assumedHeaderBytes in mgnode.
	headerBytes = 100
	// maxStoredSize is the size up to which mgnode doesn't compress a message, and storedBytes the size of
	// the format's headers then.
	maxStoredSize = 256
	storedBytes   = 23
)

// countMessage counts the bytes of a message or response, compressed as mgnode does.
func (m *mesh) countMessage(message Message) {
	if !m.spec.countsBytes {
		return
	}
	text, _ := json.Marshal(message)
	size := storedBytes + len(text)
	if len(text) > maxStoredSize {
		var body bytes.Buffer
		writer := gzip.NewWriter(&body)
		_, _ = writer.Write(text)
		_ = writer.Close()
		size = body.Len()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.messages++
	m.bytes += headerBytes + size
}

// send delivers a message and its response.
func (m *mesh) send(from int, entry string, message Message) (Message, error) {
	to := slices.Index(m.names, entry)
	m.countMessage(message)
	if !m.reaches(from, to) {
		time.Sleep(sendTimeout)
		return Message{}, errNoAnswer
	}
	time.Sleep(m.linkDelay())
	if m.is(m.spec.old, to) {
		return Message{}, ErrUnsupported
	}
	if wait := m.wait(to); wait > sendTimeout {
		go func() {
			time.Sleep(wait)
			m.nodes[to].prober.Handle(message)
		}()
		time.Sleep(sendTimeout)
		return Message{}, errNoAnswer
	}
	reply := m.nodes[to].prober.Handle(message)
	m.countMessage(reply)
	time.Sleep(m.linkDelay() + m.wait(from))
	return reply, nil
}

// kill ends an entry without notice.
func (m *mesh) kill(i int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nodes[i].dead = true
	m.nodes[i].stop()
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	slices.Sort(sorted)
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
