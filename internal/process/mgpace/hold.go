package mgpace

import "github.com/marjoramgauge/marjoramgauge/pkg/mgclock"

// The spans of a Hold. Settle is longer than the lag of the list of VMs and of
// an engine's load report, so that one late report changes nothing. Dwell is
// many times what a change costs: a load of weights takes some ten seconds.
const (
	Settle = 15 * mgclock.Second
	Dwell  = 2 * mgclock.Minute
)

// A Band turns a level into on or off with two thresholds. The zero Band is
// off and turns on above 0.
type Band struct {
	high float64
	low  float64
	on   bool
}

// NewBand returns a band that turns on above high and off below low.
func NewBand(low, high float64) *Band {
	return &Band{
		high: high,
		low:  low,
	}
}

// Look returns whether the band is on at a level.
func (b *Band) Look(level float64) bool {
	if b.on {
		b.on = level >= b.low
	} else {
		b.on = level > b.high
	}
	return b.on
}

// A Hold keeps a value, a role or a placement, until another one has been
// wished for long enough. The zero Hold keeps nothing and takes the first wish
// at once.
type Hold[T comparable] struct {
	value   T
	wish    T
	since   mgclock.Millis // of the wish
	changed mgclock.Millis
	held    bool
}

// Value returns what is kept.
func (h *Hold[T]) Value() T { return h.value }

// Wish says what would be best now, and returns what is kept.
func (h *Hold[T]) Wish(now mgclock.Millis, wish T) T {
	if !h.held {
		h.held = true
		h.take(now, wish)
		return h.value
	}
	if wish != h.wish {
		h.wish = wish
		h.since = now
	}
	if wish != h.value && now-h.since >= Settle && now-h.changed >= Dwell {
		h.take(now, wish)
	}
	return h.value
}

// Force takes a value at once, as an operator's order does.
func (h *Hold[T]) Force(now mgclock.Millis, value T) {
	h.held = true
	h.take(now, value)
}

func (h *Hold[T]) take(now mgclock.Millis, value T) {
	h.value = value
	h.wish = value
	h.since = now
	h.changed = now
}
