package mgbench

import "container/heap"

// event is something that happens at a time.
type event struct {
	due   float64 // ms
	order int     // among events of the same time
	run   func(now float64)
}

// agenda is a queue of events by time, then by the order of their entry.
type eventQueue struct {
	events    eventHeap
	lastOrder int
}

// add enters an event.
func (a *eventQueue) schedule(at float64, run func(now float64)) {
	a.lastOrder++
	heap.Push(&a.events, event{
		due:   at,
		order: a.lastOrder,
		run:   run,
	})
}

// run does the events until none is left.
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
