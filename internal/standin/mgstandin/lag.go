package mgstandin

import (
	"github.com/marjoramgauge/marjoramgauge/internal/bench/mgmodel"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// maxCacheEvents bounds the number of cache events that are kept.
const maxCacheEvents = 4096

// laggedLoad is a load report that is published with a lag.
type laggedLoad struct {
	published mgengine.Load
	pending   mgengine.Load
	sampledAt mgclock.Millis
	hasSample bool
}

// sample publishes the pending report once it is a lag old, and samples the next.
func (l *laggedLoad) sample(load mgengine.Load, now, lag mgclock.Millis) {
	switch {
	case !l.hasSample || lag == 0:
		l.hasSample = true
		l.published = load
	case now-l.sampledAt < lag:
		return
	default:
		l.published = l.pending
	}
	l.pending = load
	l.sampledAt = now
}

// cacheLog turns changes of the prefix cache into events that come late and with gaps.
type cacheLog struct {
	candidates []uint64        // blocks that may be cached, in the order of their first use
	stored     map[uint64]bool // whether the last event of a block was Stored
	events     []mgengine.Event
	seq        uint64
	sampledAt  mgclock.Millis
}

// addCandidates adds the blocks that a prompt may bring into the cache.
func (c *cacheLog) addCandidates(prefix []uint64) {
	if c.stored == nil {
		c.stored = make(map[uint64]bool)
	}
	for _, block := range prefix {
		if _, known := c.stored[block]; !known {
			c.stored[block] = false
			c.candidates = append(c.candidates, block)
		}
	}
}

// sample logs the changes since its last run, at most once per interval, so that each
// event is delayed by up to the interval. Every lossInterval-th event is lost.
func (c *cacheLog) sample(model *mgmodel.Engine, now, interval mgclock.Millis, lossInterval int) {
	if now-c.sampledAt < interval {
		return
	}
	c.sampledAt = now
	kept := c.candidates[:0]
	for _, block := range c.candidates {
		cached := model.Cached([]uint64{block}) > 0
		switch {
		case cached && !c.stored[block]:
			c.appendEvent(mgengine.Stored, block, lossInterval)
		case !cached && c.stored[block]:
			c.appendEvent(mgengine.Evicted, block, lossInterval)
			delete(c.stored, block)
			continue
		}
		c.stored[block] = cached
		kept = append(kept, block)
	}
	c.candidates = kept
}

func (c *cacheLog) appendEvent(kind string, block uint64, lossInterval int) {
	c.seq++
	if lossInterval > 0 && c.seq%uint64(lossInterval) == 0 {
		return
	}
	c.events = append(c.events, mgengine.Event{
		Seq:   c.seq,
		Kind:  kind,
		Block: block,
	})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// since returns the events with a sequence number above after.
func (c *cacheLog) since(after uint64) []mgengine.Event {
	events := make([]mgengine.Event, 0, len(c.events))
	for _, event := range c.events {
		if event.Seq > after {
			events = append(events, event)
		}
	}
	return events
}
