package mgprefix

import (
	"container/list"
	"encoding/binary"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// TokenBytes is the usual length of a token in bytes of English text. It is
	// used for estimates only; the engine counts tokens itself.
	TokenBytes = 4
	// BlockTokens is the length of a block in tokens, long enough that a prompt of
	// 8,000 tokens has only 125 blocks (of which MaxBlocks are hashed) and short
	// enough to distinguish system prompts of a few hundred tokens.
	BlockTokens = 64
	// MaxBlocks bounds the hashes of a prompt: the longest shared prefixes
	// (instructions and one document) are shorter.
	MaxBlocks = 64
	// MaxRecordBlocks bounds a Record: 32,768 blocks are 2 M tokens, more than an
	// engine's memory holds, and take about 4 MB.
	MaxRecordBlocks = 1 << 15
)

// Tokens estimates the length of text in tokens; it is at least 1.
func Tokens(text string) int {
	return 1 + len(text)/TokenBytes
}

// Blocks appends the hashes of the complete blocks of text to dst, in the order
// of the text, and returns it.
func Blocks(dst []uint64, text string) []uint64 {
	const size = BlockTokens * TokenBytes
	var chain [8]byte
	digest := xxhash.New()
	for count := 0; len(text) >= size && count < MaxBlocks; count++ {
		digest.Reset()
		_, _ = digest.Write(chain[:])
		_, _ = digest.WriteString(text[:size])
		hash := digest.Sum64()
		binary.LittleEndian.PutUint64(chain[:], hash)
		dst = append(dst, hash)
		text = text[size:]
	}
	return dst
}

// A Record holds the blocks most recently sent to an engine or reported by its
// cache events. The zero Record holds up to MaxRecordBlocks and is ready for
// use by several goroutines.
type Record struct {
	mu       sync.Mutex
	lru      list.List
	elements map[uint64]*list.Element
}

// Add puts the blocks that the engine has into the record, and drops the least
// recently used ones beyond MaxRecordBlocks.
func (r *Record) Add(blocks []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.elements == nil {
		r.elements = map[uint64]*list.Element{}
	}
	for _, block := range blocks {
		if element, ok := r.elements[block]; ok {
			r.lru.MoveToFront(element)
			continue
		}
		r.elements[block] = r.lru.PushFront(block)
	}
	for r.lru.Len() > MaxRecordBlocks {
		r.drop(r.lru.Back())
	}
}

// Remove takes a block that the engine evicted out of the record.
func (r *Record) Remove(block uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if element, ok := r.elements[block]; ok {
		r.drop(element)
	}
}

// Clear removes all blocks, as after a gap in the engine's events, when
// evictions may have been missed.
func (r *Record) Clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lru.Init()
	r.elements = nil
}

// Cached returns how many tokens at the start of a prompt with these blocks the
// engine probably has cached.
func (r *Record) Cached(blocks []uint64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, block := range blocks {
		if _, ok := r.elements[block]; !ok {
			break
		}
		count++
	}
	return count * BlockTokens
}

// Len returns the number of blocks held.
func (r *Record) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lru.Len()
}

func (r *Record) drop(element *list.Element) {
	delete(r.elements, element.Value.(uint64))
	r.lru.Remove(element)
}
