package mgqueue

// A heap is a binary heap whose members store their indexes, so that any of them can be
// removed in O(log n).
type heap[T any] struct {
	items []*T
	less  func(a, b *T) bool
	index func(*T) *int // index plus 1 in items, 0 outside
}

func (h *heap[T]) top() *T {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}

func (h *heap[T]) push(x *T) {
	h.items = append(h.items, x)
	*h.index(x) = len(h.items)
	h.up(len(h.items) - 1)
}

// remove removes x, if it is in the heap.
func (h *heap[T]) remove(x *T) {
	i := *h.index(x) - 1
	if i < 0 {
		return
	}
	last := len(h.items) - 1
	h.swap(i, last)
	h.items[last] = nil
	h.items = h.items[:last]
	*h.index(x) = 0
	if i < last {
		h.restore(i)
	}
}

// fix restores the order after x's key changed.
func (h *heap[T]) fix(x *T) {
	if i := *h.index(x) - 1; i >= 0 {
		h.restore(i)
	}
}

func (h *heap[T]) restore(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

// down reports whether the member at i moved.
func (h *heap[T]) down(i int) bool {
	start := i
	for {
		smallest := 2*i + 1
		if smallest >= len(h.items) {
			break
		}
		if right := smallest + 1; right < len(h.items) && h.less(h.items[right], h.items[smallest]) {
			smallest = right
		}
		if !h.less(h.items[smallest], h.items[i]) {
			break
		}
		h.swap(i, smallest)
		i = smallest
	}
	return i > start
}

func (h *heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.index(h.items[i]) = i + 1
	*h.index(h.items[j]) = j + 1
}
