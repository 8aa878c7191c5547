package mglimit

import (
	"maps"
	"math"
	"slices"
	"strings"
	"sync"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

const (
	// newsSpan is how long a word that changed is told on.
	newsSpan = 600 * mgclock.Millis(1)
	// wordSlack is how much longer than its age says another's word may have been on its
	// way: the end of a limit must not seem later than an answer that named it.
	wordSlack = 500 * mgclock.Millis(1)
	// wordLife is how long after it was named the limit of an upstream is kept that the list
	// lacks: longer than a list may lack one that lives.
	wordLife = 5 * mgclock.Minute
	// maxWords bounds the upstreams that are known to have named limits.
	maxWords = 8192
)

// A Word is what a process knows of an upstream's limit, as processes tell it. Ages are of
// the moment at which it is told, ms, 0 or more.
type Word struct {
	Upstream string         `json:"upstream"`
	Born     int64          `json:"born,omitempty"` // start of the upstream's life, by the list
	Rate     float64        `json:"rate"`           // requests a second
	Named    mgclock.Millis `json:"named"`          // age of the last answer that named the rate
	Ended    bool           `json:"ended,omitempty"`
	// Unnamed is the age of the last request whose answer named none, where Ended.
	Unnamed mgclock.Millis `json:"unnamed,omitempty"`
}

// valid reports whether another process's word can be used.
func (w Word) valid() bool {
	return w.Upstream != "" && w.Rate >= 0 && !math.IsNaN(w.Rate) && !math.IsInf(w.Rate, 0) && w.Named >= 0 && w.Unnamed >= 0
}

// Limits are the limits that upstreams have named. The zero Limits is empty and ready for
// use by several goroutines.
type Limits struct {
	mu      sync.Mutex
	all     map[string]*limit
	changed chan struct{}
}

type limit struct {
	born    int64
	rate    float64
	named   mgclock.Millis // when an answer named the rate last
	ended   bool           // a later one named none
	unnamed mgclock.Millis // when the last request was sent whose answer named none
	news    mgclock.Millis // until then it is told on
}

// holds reports whether the upstream is limited. Answers overtake one another: the end is
// known only by a request that was sent after the last answer that named the rate.
func (l *limit) holds() bool { return !l.ended || l.unnamed <= l.named }

// Named takes that an answer of an upstream's life named a rate, and reports whether that is
// news.
func (s *Limits) Named(now mgclock.Millis, upstream string, born int64, rate float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.take(now, upstream, born, func(l *limit) { l.name(now, rate) })
}

// Unnamed takes that the answer to a request, sent at a time, named no rate, and reports
// whether that is news.
func (s *Limits) Unnamed(now, sent mgclock.Millis, upstream string, born int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.all[upstream]
	switch {
	case known == nil || born < known.born:
		return false
	case born > known.born:
		delete(s.all, upstream)
		return true
	}
	return s.take(now, upstream, born, func(l *limit) { l.end(sent) })
}

// Take takes what another process knows. It returns the words that are news, and how many
// can't be used.
func (s *Limits) Take(now mgclock.Millis, words []Word) (news []Word, unusable int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range words {
		if !w.valid() {
			unusable++
			continue
		}
		if s.all[w.Upstream] == nil && w.Named >= wordLife {
			continue // dropped here, or about to be
		}
		isNews := s.take(now, w.Upstream, w.Born, func(l *limit) {
			l.name(now-w.Named, w.Rate)
			if w.Ended {
				l.end(now - w.Unnamed - wordSlack)
			}
		})
		if isNews {
			news = append(news, w)
		}
	}
	return news, unusable
}

// take changes what is known of one life of an upstream, and reports whether that is news.
// It is called with mu held.
func (s *Limits) take(now mgclock.Millis, upstream string, born int64, change func(l *limit)) bool {
	l := s.all[upstream]
	switch {
	case l == nil && len(s.all) >= maxWords:
		return false
	case l != nil && born < l.born:
		return false
	}
	held, rate := false, 0.0
	if l != nil {
		held, rate = l.holds(), l.rate
	}
	if l == nil || born > l.born {
		l = &limit{
			born:  born,
			named: math.MinInt64,
		}
	}
	change(l)
	if s.all == nil {
		s.all = map[string]*limit{}
	}
	s.all[upstream] = l
	if l.holds() == held && (!held || l.rate == rate) {
		return false
	}
	l.news = now + newsSpan
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	return true
}

// name takes that the rate was named at a time.
func (l *limit) name(at mgclock.Millis, rate float64) {
	if at >= l.named {
		l.named = at
		l.rate = rate
	}
}

// end takes that the answer to a request, sent at a time, named none.
func (l *limit) end(sent mgclock.Millis) {
	if !l.ended || sent > l.unnamed {
		l.ended = true
		l.unnamed = sent
	}
}

// Rate returns the limit of an upstream whose life began at born by the list, or false where
// it has none. A list may be late: a limit of a later life counts.
func (s *Limits) Rate(upstream string, born int64) (rate float64, limited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.all[upstream]
	if l == nil || born > l.born || !l.holds() {
		return 0, false
	}
	return l.rate, true
}

// Word returns what is known of an upstream, or false where nothing is.
func (s *Limits) Word(now mgclock.Millis, upstream string) (Word, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.all[upstream]
	if l == nil {
		return Word{}, false
	}
	return l.word(now, upstream), true
}

// Words returns all that is known, by upstream.
func (s *Limits) Words(now mgclock.Millis) []Word {
	return s.words(now, func(*limit) bool { return true })
}

// News returns what is to be told on.
func (s *Limits) News(now mgclock.Millis) []Word {
	return s.words(now, func(l *limit) bool { return now < l.news })
}

func (s *Limits) words(now mgclock.Millis, wanted func(l *limit) bool) []Word {
	s.mu.Lock()
	defer s.mu.Unlock()
	var words []Word
	for upstream, l := range s.all {
		if wanted(l) {
			words = append(words, l.word(now, upstream))
		}
	}
	slices.SortFunc(words, func(a, b Word) int { return strings.Compare(a.Upstream, b.Upstream) })
	return words
}

func (l *limit) word(now mgclock.Millis, upstream string) Word {
	w := Word{
		Upstream: upstream,
		Born:     l.born,
		Rate:     l.rate,
		Ended:    l.ended,
		// A word's time may lie ahead of this clock's by what a goroutine waited.
		Named: max(now-l.named, 0),
	}
	if l.ended {
		w.Unnamed = max(now-l.unnamed, 0)
	}
	return w
}

// Changed returns a channel that is closed at the next news.
func (s *Limits) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// Forget drops the upstreams that have long been gone: listed says which aren't.
func (s *Limits) Forget(now mgclock.Millis, listed func(upstream string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.all, func(upstream string, l *limit) bool { return now >= l.named+wordLife && !listed(upstream) })
}
