package mgmodel

import "container/list"

// cache is the prefix cache: block hashes, the least recently used first out.
type cache struct {
	maxBlocks int
	blocks    map[uint64]*list.Element
	lru       list.List
}

// newCache returns a cache of at most limit blocks.
func newCache(maxBlocks int) *cache {
	return &cache{
		maxBlocks: maxBlocks,
		blocks:    make(map[uint64]*list.Element),
	}
}

// match returns how many leading blocks of prefix are cached.
func (c *cache) match(prefix []uint64) int {
	for i, hash := range prefix {
		if c.blocks[hash] == nil {
			return i
		}
	}
	return len(prefix)
}

// touch makes the blocks of prefix the most recently used, the leading one
// last, since a chain is of no use without its head.
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
