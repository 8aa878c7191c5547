package mgqueue

// A heap is a binary heap whose members know their places, so that one in the
// middle is removed in O(log n).
type heap[T any] struct {
	list  []*T
	less  func(a, b *T) bool
	place func(*T) *int // index plus 1 within list, 0 outside
}

func (h *heap[T]) top() *T {
	if len(h.list) == 0 {
		return nil
	}
	return h.list[0]
}

func (h *heap[T]) push(x *T) {
	h.list = append(h.list, x)
	*h.place(x) = len(h.list)
	h.up(len(h.list) - 1)
}

// remove takes x out; an x outside the heap is left alone.
func (h *heap[T]) remove(x *T) {
	i := *h.place(x) - 1
	if i < 0 {
		return
	}
	last := len(h.list) - 1
	h.swap(i, last)
	h.list[last] = nil
	h.list = h.list[:last]
	*h.place(x) = 0
	if i < last {
		h.settle(i)
	}
}

// fix restores the order after x's key changed.
func (h *heap[T]) fix(x *T) {
	if i := *h.place(x) - 1; i >= 0 {
		h.settle(i)
	}
}

func (h *heap[T]) settle(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.list[i], h.list[parent]) {
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
		least := 2*i + 1
		if least >= len(h.list) {
			break
		}
		if right := least + 1; right < len(h.list) && h.less(h.list[right], h.list[least]) {
			least = right
		}
		if !h.less(h.list[least], h.list[i]) {
			break
		}
		h.swap(i, least)
		i = least
	}
	return i > start
}

func (h *heap[T]) swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	*h.place(h.list[i]) = i + 1
	*h.place(h.list[j]) = j + 1
}
