package mgbench

import "container/heap"

// event is something that happens at a time.
type event struct {
	at    float64 // ms
	order int     // among events of the same time
	do    func(now float64)
}

// agenda is a queue of events by time, then by the order of their entry.
type agenda struct {
	events eventHeap
	count  int
}

// add enters an event.
func (a *agenda) add(at float64, do func(now float64)) {
	a.count++
	heap.Push(&a.events, event{
		at:    at,
		order: a.count,
		do:    do,
	})
}

// run does the events until none is left.
func (a *agenda) run() {
	for len(a.events) > 0 {
		e := heap.Pop(&a.events).(event)
		e.do(e.at)
	}
}

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
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
