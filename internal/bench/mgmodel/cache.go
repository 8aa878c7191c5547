package mgmodel

import "container/list"

// cache is the prefix cache: a set of block hashes with eviction of the least
// recently used.
type cache struct {
	maxBlocks int
	blocks    map[uint64]*list.Element
	lru       list.List
}

// newCache returns a cache that holds up to maxBlocks blocks.
func newCache(maxBlocks int) *cache {
	return &cache{
		maxBlocks: maxBlocks,
		blocks:    make(map[uint64]*list.Element),
	}
}

// match returns the number of leading blocks of prefix that are cached.
func (c *cache) match(prefix []uint64) int {
	for i, hash := range prefix {
		if c.blocks[hash] == nil {
			return i
		}
	}
	return len(prefix)
}

// touch marks the blocks of prefix as the most recently used and evicts blocks
// above the limit. The leading block is marked last, so that it is evicted
// after the blocks that are useless without it.
func (c *cache) touch(prefix []uint64) {
	for i := len(prefix) - 1; i >= 0; i-- {
		c.touchBlock(prefix[i])
	}
	for c.lru.Len() > c.maxBlocks {
		oldest := c.lru.Back()
		c.lru.Remove(oldest)
		delete(c.blocks, oldest.Value.(uint64))
	}
}

func (c *cache) touchBlock(hash uint64) {
	if e := c.blocks[hash]; e != nil {
		c.lru.MoveToFront(e)
		return
	}
	c.blocks[hash] = c.lru.PushFront(hash)
}
