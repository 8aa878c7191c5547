package mgbench

import "container/heap"

// event is a function to run at a virtual time.
type event struct {
	due   float64 // ms
	order int     // insertion number, which orders events of the same time
	run   func(now float64)
}

// eventQueue holds the scheduled events, ordered by time, then by insertion.
type eventQueue struct {
	events    eventHeap
	lastOrder int
}

// schedule inserts an event.
func (a *eventQueue) schedule(at float64, run func(now float64)) {
	a.lastOrder++
	heap.Push(&a.events, event{
		due:   at,
		order: a.lastOrder,
		run:   run,
	})
}

// run processes events until none is left.
func (a *eventQueue) run() {
	for len(a.events) > 0 {
		e := heap.Pop(&a.events).(event)
		e.run(e.due)
	}
}

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].due != h[j].due {
		return h[i].due < h[j].due
	}
	return h[i].order < h[j].order
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an event.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes the last event.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
