package mgprobe

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// MaxUsableAge is the age up to which an answer lets a generation move to an engine. It exceeds
	// Interval by the time in which an answer reaches the entries.
	MaxUsableAge = 500 * mgclock.Millis(1)
	// maxKnownEngines is the number of engines up to which entries exchange all recent answers. 64 answers take less than 1 KB compressed.
	maxKnownEngines = 64
	// silenceWindow is the time for which an entry isn't ranked after a message to it failed.
	silenceWindow = mgclock.Second
	// alarmWindow is the time for which an entry asks all engines of its own generations after a message failed. With a
	// third of the entries cut off, one in ten of the others has no failed message within 1 s.
	alarmWindow = 2 * mgclock.Second
	// unsupportedWindow is the same for an entry whose release has no probes on behalf of others.
	unsupportedWindow = 10 * mgclock.Second
	// idleAfter is the time without a round after which an entry states that it doesn't probe: its list isn't
	// stale, or it runs late.
	idleAfter = 600 * mgclock.Millis(1)
	// startWindow is the time after the first round for which entries that don't probe yet are still ranked.
	// Lists of entries turn stale within some hundred ms of one another.
	startWindow = 400 * mgclock.Millis(1)
	// answerTTL is how long answers are kept. Those of an earlier outage are of no use.
	answerTTL = 2 * mgclock.Second
)

// ErrUnsupported is the error of Spec.Send for an entry whose release has no probes on behalf of others.
var ErrUnsupported = errors.New("mgprobe: the entry probes for itself only: do all entries run the same release?")

// errIdle is the error for an entry that states that it doesn't probe.
var errIdle = errors.New("mgprobe: the entry doesn't probe now: its list of VMs is confirmed, or it runs late")

// Spec configures a Prober.
type Spec struct {
	Name  string // of this entry
	Clock mgclock.Clock
	// Entries returns a new slice of the known entries that are neither suspected nor stopping: those of the region,
	// or of this entry's cell. This entry is among them unless it is stopping.
	Entries func(region bool) []string
	// Send sends a message to an entry and returns its response.
	Send func(ctx context.Context, entry string, message Message) (Message, error)
	// OnExcluded is called when an entry ceases to be ranked.
	OnExcluded func(entry string, why error)
	// Count counts events by name, for metrics: "received" answers, "takeovers", and "unsent" messages.
	Count func(event string, count int)
	// IntN returns a random number below n. nil means rand.IntN.
	IntN func(n int) int
}

// A Prober probes the engines that are assigned to one entry, and knows the answers that other entries
// received. Create one with New. Its methods are safe for use by several goroutines.
type Prober struct {
	spec Spec

	mu         sync.Mutex
	answeredAt map[string]mgclock.Millis // by engine, when it was asked and answered that it stays
	askedAt    map[string]mgclock.Millis // by engine, when this entry last asked it
	firstSeen  map[string]mgclock.Millis // by engine of the last round, since when it is one
	excluded   map[string]mgclock.Millis // by entry, until when it isn't ranked
	assigned   map[string]bool           // engines of the last round for which this entry is the first in rank
	ranking    map[bool]*ranking         // for shared engines (true) and others (false)
	lastRound  mgclock.Millis
	startedAt  mgclock.Millis // time of the first round after a time without rounds
	alarmUntil mgclock.Millis // until when an entry counts as not responding
	exchangeAt mgclock.Millis // time of the next message to a random entry
}

// New returns a Prober that knows nothing.
func New(spec Spec) *Prober {
	if spec.IntN == nil {
		spec.IntN = rand.IntN
	}
	return &Prober{
		spec:       spec,
		answeredAt: map[string]mgclock.Millis{},
		askedAt:    map[string]mgclock.Millis{},
		firstSeen:  map[string]mgclock.Millis{},
		excluded:   map[string]mgclock.Millis{},
		ranking:    map[bool]*ranking{},
		lastRound:  spec.Clock.Now(),
		startedAt:  spec.Clock.Now(),
		alarmUntil: spec.Clock.Now(),
		exchangeAt: spec.Clock.Now(),
	}
}

// Round asks the engines whose probe is due at this entry, and sends the answers to other entries. ask
// asks one engine whether it is leaving. Round is called every few dozen ms while probes are needed.
func (p *Prober) Round(ctx context.Context, engines []Engine, ask func(ctx context.Context, engine string) (leaving bool, err error)) {
	due := p.due(p.spec.Clock.Now(), engines)
	staying := make([]bool, len(due))
	var group sync.WaitGroup
	for i, engine := range due {
		group.Go(func() {
			askedAt := p.spec.Clock.Now()
			leaving, err := ask(ctx, engine.Name)
			// A lost answer is no evidence: the engine stays due here and at other entries.
			if staying[i] = err == nil && !leaving; staying[i] {
				p.Record(askedAt, engine.Name)
			}
		})
	}
	group.Wait()
	var answered []Engine
	for i, engine := range due {
		if staying[i] {
			answered = append(answered, engine)
		}
	}
	p.share(ctx, answered, engines)
}

// due returns the engines that this entry must ask now, and counts them as asked.
func (p *Prober) due(now mgclock.Millis, engines []Engine) []Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	p.updateRankings(now, engines)
	firstSeen := make(map[string]mgclock.Millis, len(engines))
	assigned := map[string]bool{}
	var due []Engine
	for _, engine := range engines {
		seenAt, known := p.firstSeen[engine.Name]
		if !known {
			seenAt = now
		}
		firstSeen[engine.Name] = seenAt
		rank := p.ranking[engine.Shared].ownRanks[slotOf(engine.Name)]
		if rank == 0 {
			assigned[engine.Name] = true
		}
		// A new engine counts as asked one interval before, so that its first in rank asks it at once.
		last := seenAt - Interval
		for _, times := range []map[string]mgclock.Millis{p.answeredAt, p.askedAt} {
			if at, ok := times[engine.Name]; ok {
				last = max(last, at)
			}
		}
		if age, probes := dueAge(rank, engine.RunsHere, now < p.alarmUntil); !probes || now < last+age {
			continue
		}
		p.askedAt[engine.Name] = now
		due = append(due, engine)
		if rank > 0 {
			p.spec.Count("takeovers", 1)
		}
	}
	p.firstSeen, p.assigned = firstSeen, assigned
	return due
}

// expire forgets what is too old to be used. After a time without rounds, all engines are new.
func (p *Prober) expire(now mgclock.Millis) {
	isOld := func(_ string, at mgclock.Millis) bool { return now >= at+answerTTL }
	maps.DeleteFunc(p.answeredAt, isOld)
	maps.DeleteFunc(p.askedAt, isOld)
	maps.DeleteFunc(p.excluded, func(_ string, until mgclock.Millis) bool { return now >= until })
	if now >= p.lastRound+answerTTL {
		clear(p.firstSeen)
		p.startedAt = now
	}
	p.lastRound = now
}

// updateRankings brings the rankings of entries up to date that the engines need. A ranking is kept while its entries
// don't change, since 300 entries take some 10,000 hashes.
func (p *Prober) updateRankings(now mgclock.Millis, engines []Engine) {
	for _, shared := range []bool{false, true} {
		if !slices.ContainsFunc(engines, func(engine Engine) bool { return engine.Shared == shared }) {
			continue
		}
		entries := slices.DeleteFunc(p.spec.Entries(shared), func(entry string) bool {
			until, excluded := p.excluded[entry]
			return excluded && now < until
		})
		if current := p.ranking[shared]; current == nil || !slices.Equal(current.entries, entries) {
			p.ranking[shared] = newRanking(p.spec.Name, entries)
		}
	}
}

// share sends answers that this entry received to the entries that need them, and at times all recent answers
// that it knows to a random one.
func (p *Prober) share(ctx context.Context, answered, engines []Engine) {
	var group sync.WaitGroup
	for entry, message := range p.messages(p.spec.Clock.Now(), answered, engines) {
		group.Go(func() {
			reply, err := p.spec.Send(ctx, entry, message)
			if ctx.Err() != nil {
				return
			}
			if err != nil {
				p.recordFailure(entry, err)
				return
			}
			p.merge(reply)
			if reply.Idle && !p.isStarting() {
				p.recordFailure(entry, errIdle)
			}
		})
	}
	group.Wait()
}

// isStarting reports whether rounds have begun within startWindow.
func (p *Prober) isStarting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.spec.Clock.Now() < p.startedAt+startWindow
}

// messages returns the messages to send after a round, by recipient: the next entries in rank for each engine that
// answered, and every exchangeInterval a random entry, as an entry that is cut off has to notice it. Where the engines
// are few enough, all recent answers are exchanged with it.
func (p *Prober) messages(now mgclock.Millis, answered, engines []Engine) map[string]Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	message := p.messageOf(now, answered)
	messages := map[string]Message{}
	type ranked struct {
		slot   int
		shared bool
	}
	seen := map[ranked]bool{}
	for _, engine := range answered {
		key := ranked{
			slot:   slotOf(engine.Name),
			shared: engine.Shared,
		}
		if seen[key] {
			continue
		}
		seen[key] = true
		for _, entry := range p.ranking[key.shared].successors(key.slot, p.spec.Name) {
			messages[entry] = message
		}
	}
	if len(engines) == 0 || now < p.exchangeAt {
		return messages
	}
	p.exchangeAt = now + exchangeInterval
	if answers := p.usableAnswers(now); answers != nil {
		message.Answers = answers
		message.All = true
	}
	engine := engines[p.spec.IntN(len(engines))]
	if entries := p.ranking[engine.Shared].entries; len(entries) > 0 {
		messages[entries[p.spec.IntN(len(entries))]] = message
	}
	delete(messages, p.spec.Name)
	return messages
}

// messageOf returns a message about engines that have just answered.
func (p *Prober) messageOf(now mgclock.Millis, answered []Engine) Message {
	message := Message{
		Entry:   p.spec.Name,
		Answers: make(map[string]mgclock.Millis, len(answered)),
	}
	for _, engine := range answered {
		if at, known := p.answeredAt[engine.Name]; known {
			message.Answers[engine.Name] = now - at
		}
	}
	return message
}

// usableAnswers returns the age of each answer that is usable, or nil if there are more than maxKnownEngines.
func (p *Prober) usableAnswers(now mgclock.Millis) map[string]mgclock.Millis {
	if len(p.firstSeen) > maxKnownEngines {
		return nil
	}
	answers := map[string]mgclock.Millis{}
	for engine, at := range p.answeredAt {
		if now > at+MaxUsableAge {
			continue
		}
		if len(answers) == maxKnownEngines {
			return nil
		}
		answers[engine] = now - at
	}
	return answers
}

// Handle merges the message of another entry, and returns the response.
func (p *Prober) Handle(message Message) Message {
	p.merge(message)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.spec.Clock.Now()
	reply := Message{
		Entry: p.spec.Name,
		Idle:  now >= p.lastRound+idleAfter,
	}
	if message.All {
		reply.Answers = p.usableAnswers(now)
	}
	return reply
}

// merge records the answers that another entry knows. Its sender is ranked again if it wasn't.
func (p *Prober) merge(message Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.spec.Clock.Now()
	delete(p.excluded, message.Entry)
	maps.DeleteFunc(p.answeredAt, func(_ string, at mgclock.Millis) bool { return now >= at+answerTTL })
	received := 0
	for engine, age := range message.Answers {
		if age >= 0 && age < answerTTL && p.record(now-age, engine) {
			received++
		}
	}
	if received > 0 {
		p.spec.Count("received", received)
	}
}

// recordFailure excludes an entry that doesn't probe, or to which a message could not be sent, from the ranks for a
// while.
func (p *Prober) recordFailure(entry string, why error) {
	window := silenceWindow
	if errors.Is(why, ErrUnsupported) {
		window = unsupportedWindow
	}
	if p.exclude(entry, window, !errors.Is(why, ErrUnsupported)) {
		p.spec.OnExcluded(entry, why)
	}
	if !errors.Is(why, errIdle) {
		p.spec.Count("unsent", 1)
	}
}

// exclude excludes an entry from the ranks, and reports whether it was ranked until now.
func (p *Prober) exclude(entry string, window mgclock.Millis, alarms bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.spec.Clock.Now()
	_, wasExcluded := p.excluded[entry]
	p.excluded[entry] = now + window
	if alarms {
		p.alarmUntil = now + alarmWindow
	}
	return !wasExcluded
}

// Record records that an engine answered that it is not leaving, and when it was asked.
func (p *Prober) Record(askedAt mgclock.Millis, engine string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record(askedAt, engine)
}

// record reports whether the answer is newer than the known one. mu must be held.
func (p *Prober) record(askedAt mgclock.Millis, engine string) bool {
	if at, known := p.answeredAt[engine]; known && at >= askedAt {
		return false
	}
	p.answeredAt[engine] = askedAt
	return true
}

// Age returns the age of an engine's last answer that it is not leaving, or false if there is none or it is
// older than MaxUsableAge.
func (p *Prober) Age(engine string) (mgclock.Millis, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, answered := p.answeredAt[engine]
	age := p.spec.Clock.Now() - at
	return age, answered && age <= MaxUsableAge
}

// State describes a Prober for the dump.
type State struct {
	Assigned []string                  `json:"assigned"` // engines that this entry asks as the first in rank
	Answers  map[string]mgclock.Millis `json:"answers"`  // age in ms by engine
	Excluded map[string]mgclock.Millis `json:"excluded"` // by entry that isn't ranked, ms until it is again
}

// State returns the state of the last round.
func (p *Prober) State() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.spec.Clock.Now()
	state := State{
		Assigned: slices.Sorted(maps.Keys(p.assigned)),
		Answers:  make(map[string]mgclock.Millis, len(p.answeredAt)),
		Excluded: make(map[string]mgclock.Millis, len(p.excluded)),
	}
	for engine, at := range p.answeredAt {
		state.Answers[engine] = now - at
	}
	for entry, until := range p.excluded {
		state.Excluded[entry] = until - now
	}
	return state
}
