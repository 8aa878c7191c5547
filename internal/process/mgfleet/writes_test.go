package mgfleet_test

import (
	"context"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgstandin"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

const (
	// writes is the number of tickets, clerks how many are booked at once.
	writes = 2000
	clerks = 16
	// between is the number of tickets from one fault to the next.
	between = 150
	// shortPause lets the clerks' calls run into the pause of a process.
	shortPause = 500 * time.Millisecond
)

// mishaps follow one another, each between so many tickets.
var mishaps = []func(f *fleet){
	strike(mgstandin.Lost),
	strike(mgstandin.Early),
	strike(mgstandin.Refuse),
	func(f *fleet) { f.relays["books"].Cut() },
	func(f *fleet) { f.relays["agent-c"].Cut() },
	func(f *fleet) { f.relays["agent-c"].Silence() },
	func(f *fleet) { f.processes["agent-c"].restart(f.t) },
	func(f *fleet) { f.relays["entry-a"].Cut() },
	func(f *fleet) { f.processes["entry-a"].restart(f.t) },
	func(f *fleet) { doze(f, "agent-c") },
	func(f *fleet) { doze(f, "entry-b") },
	func(f *fleet) { f.processes["agent-c"].restart(f.t) },
	strike(mgstandin.Lost),
}

// strike lets a fault of the service strike some of its calls.
func strike(kind string) func(f *fleet) {
	return func(f *fleet) {
		f.fault("books", mgstandin.Fault{
			Kind:  kind,
			Times: clerks,
		})
	}
}

// doze pauses a process for a while.
func doze(f *fleet, name string) {
	f.processes[name].signal(f.t, syscall.SIGSTOP)
	time.AfterFunc(shortPause, func() { f.processes[name].signal(f.t, syscall.SIGCONT) })
}

// Clerks book tickets all day, and one thing after another goes wrong around
// them. A ticket that is booked twice moves two barrels for one; one that is
// told not run and ran makes the clerk book it again, which is the same.
func TestWrites(t *testing.T) {
	if testing.Short() {
		t.Skip("starts nine processes")
	}
	f := newFleet(t)
	Convey("No ticket is booked twice or wrongly told not run", t, func() {
		ctx, cancel := context.WithTimeout(context.Background(), sessionBound)
		defer cancel()
		var next atomic.Int64
		booked := make([]ticket, writes)
		var all sync.WaitGroup
		for range clerks {
			all.Go(func() {
				for i := int(next.Add(1)) - 1; i < writes; i = int(next.Add(1)) - 1 {
					if n := i / between; i%between == 0 && n > 0 && n <= len(mishaps) {
						mishaps[n-1](f)
					}
					booked[i] = f.book(ctx, "a day", i)
				}
			})
		}
		all.Wait()
		So(f.checkTickets("a day", booked, false), ShouldBeEmpty)
		outcomes := map[mgproblem.Outcome]int{}
		for _, b := range booked {
			outcome := mgproblem.Done
			if b.err != nil {
				outcome = mgproblem.From(b.err).Outcome()
			}
			outcomes[outcome]++
		}
		t.Logf("%d writes, %d mishaps: %v", writes, len(mishaps), outcomes)
		So(outcomes[mgproblem.Done], ShouldBeGreaterThan, writes*9/10)
	})
}
