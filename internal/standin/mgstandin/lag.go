package mgstandin

import (
	"github.com/marjoramgauge/marjoramgauge/internal/bench/mgmodel"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// cacheEvents bounds the cache events that are kept.
const cacheEvents = 4096

// lagged is a load report that is a lag old.
type lagged struct {
	shown mgengine.Load
	next  mgengine.Load
	taken mgclock.Millis
	begun bool
}

// take shows the last report once it is old enough, and takes the next.
func (l *lagged) take(load mgengine.Load, now, lag mgclock.Millis) {
	switch {
	case !l.begun || lag == 0:
		l.begun = true
		l.shown = load
	case now-l.taken < lag:
		return
	default:
		l.shown = l.next
	}
	l.next = load
	l.taken = now
}

// cacheLog turns what the prefix cache holds into late events with gaps.
type cacheLog struct {
	blocks []uint64        // blocks that may be cached, in order of arrival
	stored map[uint64]bool // blocks whose last event was Stored, by whether
	events []mgengine.Event
	seq    uint64
	taken  mgclock.Millis
}

// expect notes blocks that a prompt brings into the cache.
func (c *cacheLog) expect(prefix []uint64) {
	if c.stored == nil {
		c.stored = make(map[uint64]bool)
	}
	for _, block := range prefix {
		if _, known := c.stored[block]; !known {
			c.stored[block] = false
			c.blocks = append(c.blocks, block)
		}
	}
}

// take logs the changes since it was last called, at most once in late ms, so
// that each event is up to that late. Each gap-th event is lost.
func (c *cacheLog) take(model *mgmodel.Engine, now, late mgclock.Millis, gap int) {
	if now-c.taken < late {
		return
	}
	c.taken = now
	kept := c.blocks[:0]
	for _, block := range c.blocks {
		cached := model.Cached([]uint64{block}) > 0
		switch {
		case cached && !c.stored[block]:
			c.log(mgengine.Stored, block, gap)
		case !cached && c.stored[block]:
			c.log(mgengine.Evicted, block, gap)
			delete(c.stored, block)
			continue
		}
		c.stored[block] = cached
		kept = append(kept, block)
	}
	c.blocks = kept
}

func (c *cacheLog) log(kind string, block uint64, gap int) {
	c.seq++
	if gap > 0 && c.seq%uint64(gap) == 0 {
		return
	}
	c.events = append(c.events, mgengine.Event{
		Seq:   c.seq,
		Kind:  kind,
		Block: block,
	})
	if len(c.events) > cacheEvents {
		c.events = c.events[1:]
	}
}

// since returns the events after a number.
func (c *cacheLog) since(after uint64) []mgengine.Event {
	events := make([]mgengine.Event, 0, len(c.events))
	for _, event := range c.events {
		if event.Seq > after {
			events = append(events, event)
		}
	}
	return events
}
