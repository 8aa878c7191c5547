package mgbackup

import (
	"math"
	"strconv"
	"sync"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// lossDecay is the time in which the weight of a loss falls to 1/e. Engines are
	// reclaimed in waves 3 to 10 s apart; after a minute without a loss there are no
	// backups.
	lossDecay = 15 * mgclock.Second
	// minLossWeight is the weight below which a loss is dropped.
	minLossWeight = 0.02
	// observeInterval limits how often the engines are compared.
	observeInterval = 100 * mgclock.Millis(1)
	// breakWeight is the weight of an engine under which a generation broke off and
	// had no move that succeeded.
	breakWeight = 1.0
	// departureWeight is the weight of an engine that leaves with a notice: of 303
	// generations that were moved away from such engines, 92 didn't continue.
	departureWeight = 0.3
	// staleDepartureWeight replaces departureWeight while the list may be stale. A
	// notice is then learnt from probes, up to 0.4 s late, of the 1.5 to 2 s that a
	// move has.
	staleDepartureWeight = 0.6
)

// An Engine is one incarnation of an engine.
type Engine struct {
	Name  string
	Zone  string // availability zone
	Start int64  // when the incarnation started; 0 if unknown
}

// key identifies the incarnation.
func (e Engine) key() string { return e.Name + " " + strconv.FormatInt(e.Start, 10) }

// loss is an engine that was lost or leaves.
type loss struct {
	zone  string
	at    mgclock.Millis
	broke bool // a generation broke off there
}

// weightAt returns the weight that remains at a time.
func (l loss) weightAt(now mgclock.Millis, isListStale bool) float64 {
	weight := departureWeight
	switch {
	case l.broke:
		weight = breakWeight
	case isListStale:
		weight = staleDepartureWeight
	}
	return weight * math.Exp(-float64(now-l.at)/float64(lossDecay))
}

// Losses records the engines that were lost, by service. The zero Losses is empty
// and ready for use by several goroutines.
type Losses struct {
	mu       sync.Mutex
	services map[string]*serviceLosses
}

// serviceLosses are the losses of one service.
type serviceLosses struct {
	engines    map[string]Engine // as last observed, by name
	observedAt mgclock.Millis
	recent     map[string]loss // by Engine.key
}

// of returns the losses of a service. The caller holds mu.
func (l *Losses) of(service string) *serviceLosses {
	if l.services == nil {
		l.services = map[string]*serviceLosses{}
	}
	s := l.services[service]
	if s == nil {
		s = &serviceLosses{
			recent: map[string]loss{},
		}
		l.services[service] = s
	}
	return s
}

// Observe records the departures since the last call: of engines that accept no work
// any more and of which hasLeft is true, and of engines that have restarted. Engines
// that are out of use for another reason, such as a cordon, aren't counted.
func (l *Losses) Observe(now mgclock.Millis, service string, engines []Engine, hasLeft func(name string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.of(service)
	if s.engines != nil && now < s.observedAt+observeInterval {
		return
	}
	// After a long time it isn't known when an engine left.
	isRecent := now < s.observedAt+lossDecay
	before := s.engines
	s.engines = make(map[string]Engine, len(engines))
	s.observedAt = now
	for _, e := range engines {
		s.engines[e.Name] = e
	}
	if !isRecent {
		return
	}
	for name, e := range before {
		current, isKnown := s.engines[name]
		if isKnown && current.Start != e.Start || !isKnown && hasLeft(name) {
			s.record(now, e, false)
		}
	}
}

// RecordBreak records that a generation broke off at an engine and had no move that
// succeeded, as seen by this process or reported by another one.
func (l *Losses) RecordBreak(now mgclock.Millis, service string, engine Engine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.of(service).record(now, engine, true)
}

// record records a loss. An engine counts once, however many generations break off
// there; a break counts in place of a departure.
func (s *serviceLosses) record(now mgclock.Millis, engine Engine, broke bool) {
	key := engine.key()
	if known, found := s.recent[key]; found && (known.broke || !broke) && now < known.at+lossDecay {
		return
	}
	s.recent[key] = loss{
		zone:  engine.Zone,
		at:    now,
		broke: broke,
	}
}

// Rates are how often engines are lost.
type Rates struct {
	Engine float64            // losses of one engine per ms, on average over the service
	Zones  map[string]float64 // the same for the engines of an availability zone
}

// Rates returns the present rates of a service. While the list may be stale,
// departures weigh more.
func (l *Losses) Rates(now mgclock.Millis, service string, isListStale bool) Rates {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.of(service)
	rates := Rates{
		Zones: map[string]float64{},
	}
	total := 0.0
	for key, loss := range s.recent {
		weight := loss.weightAt(now, isListStale)
		if weight < minLossWeight {
			delete(s.recent, key)
			continue
		}
		total += weight
		rates.Zones[loss.zone] += weight
	}
	counts := map[string]int{}
	for _, e := range s.engines {
		counts[e.Zone]++
	}
	rates.Engine = total / float64(lossDecay) / float64(max(len(s.engines), 1))
	for zone, weight := range rates.Zones {
		rates.Zones[zone] = weight / float64(lossDecay) / float64(max(counts[zone], 1))
	}
	return rates
}
