// Package mgnet simulates the network between the members of a test in virtual
// time: it delays and loses messages, partitions the network and pauses
// members. It serves the tests and scaling measurements of configuration,
// membership and shares, and nothing else.
package mgnet

import (
	"container/heap"
	"math/rand/v2"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Net delivers messages and timers in order of their due times. Its zero value
// neither loses nor delays messages.
type Net struct {
	now     mgclock.Millis
	rng     *rand.Rand
	queue   eventQueue
	lastSeq uint64
	paused  map[string]mgclock.Millis

	// delay returns the latency of a message; isCut reports whether the path
	// between two members is cut.
	delay func(from, to string) mgclock.Millis
	isCut func(from, to string) bool
	loss  float64

	messages map[string]int // sent and received, by member
	bytes    map[string]int
}

// New returns a network whose random losses follow from seed.
func New(seed uint64, delay func(from, to string) mgclock.Millis) *Net {
	return &Net{
		rng:      rand.New(rand.NewPCG(seed, 1)),
		delay:    delay,
		paused:   make(map[string]mgclock.Millis),
		messages: make(map[string]int),
		bytes:    make(map[string]int),
	}
}

// Now returns the virtual time.
func (n *Net) Now() mgclock.Millis { return n.now }

// SetLoss drops the messages for which isCut returns true, and a random fraction
// loss of all others.
func (n *Net) SetLoss(loss float64, isCut func(from, to string) bool) {
	n.loss = loss
	n.isCut = isCut
}

// Pause suspends a member for a duration. Its events are deferred to the end
// of the pause.
func (n *Net) Pause(name string, duration mgclock.Millis) {
	n.paused[name] = max(n.paused[name], n.now+duration)
}

// Send runs a function at the receiver after the delay, unless the message is
// lost.
func (n *Net) Send(from, to string, size int, run func()) {
	n.countTraffic(from, size)
	if n.isCut != nil && n.isCut(from, to) || n.loss > 0 && n.rng.Float64() < n.loss {
		return
	}
	delay := mgclock.Millis(0)
	if n.delay != nil {
		delay = n.delay(from, to)
	}
	n.Schedule(n.now+delay, to, func() {
		n.countTraffic(to, size)
		run()
	})
}

func (n *Net) countTraffic(name string, size int) {
	if n.messages != nil {
		n.messages[name]++
		n.bytes[name] += size
	}
}

// Traffic returns the number of messages and bytes that a member sent and
// received.
func (n *Net) Traffic(name string) (messages, bytes int) { return n.messages[name], n.bytes[name] }

// Schedule schedules a function of a member at a time.
func (n *Net) Schedule(at mgclock.Millis, owner string, run func()) {
	n.lastSeq++
	heap.Push(&n.queue, event{
		due:   at,
		seq:   n.lastSeq,
		owner: owner,
		run:   run,
	})
}

// Run processes all events that are due up to a time.
func (n *Net) Run(until mgclock.Millis) {
	for len(n.queue) > 0 && n.queue[0].due <= until {
		e := heap.Pop(&n.queue).(event)
		n.now = max(n.now, e.due)
		if resumeAt := n.paused[e.owner]; resumeAt > n.now {
			n.Schedule(resumeAt, e.owner, e.run)
			continue
		}
		e.run()
	}
	n.now = max(n.now, until)
}

// event is a message or a timer.
type event struct {
	due   mgclock.Millis
	seq   uint64
	owner string
	run   func()
}

// eventQueue is a heap of events, ordered by due time, then by insertion.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].due != q[j].due {
		return q[i].due < q[j].due
	}
	return q[i].seq < q[j].seq
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
