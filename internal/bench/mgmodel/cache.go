package mgmodel

import "container/list"

// cache is the prefix cache: block hashes, the least recently used first out.
type cache struct {
	limit  int
	blocks map[uint64]*list.Element
	recent list.List
}

// newCache returns a cache of at most limit blocks.
func newCache(limit int) *cache {
	return &cache{
		limit:  limit,
		blocks: make(map[uint64]*list.Element),
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
		c.use(prefix[i])
	}
	for c.recent.Len() > c.limit {
		oldest := c.recent.Back()
		c.recent.Remove(oldest)
		delete(c.blocks, oldest.Value.(uint64))
	}
}

func (c *cache) use(hash uint64) {
	if e := c.blocks[hash]; e != nil {
		c.recent.MoveToFront(e)
		return
	}
	c.blocks[hash] = c.recent.PushFront(hash)
}
