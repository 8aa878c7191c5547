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
	// totalTickets is the number of tickets, clientCount how many are booked
	// concurrently.
	totalTickets = 2000
	clientCount  = 16
	// ticketsPerFault is the number of tickets from one fault to the next.
	ticketsPerFault = 150
	// shortPause is long enough for the clients' calls to hit a paused process.
	shortPause = 500 * time.Millisecond
)

// faults are injected in order, one every ticketsPerFault tickets.
var faults = []func(f *fleet){
	serviceFault(mgstandin.Lost),
	serviceFault(mgstandin.Early),
	serviceFault(mgstandin.Refuse),
	func(f *fleet) { f.relays["books"].Cut() },
	func(f *fleet) { f.relays["agent-c"].Cut() },
	func(f *fleet) { f.relays["agent-c"].DropSilently() },
	func(f *fleet) { f.processes["agent-c"].restart(f.t) },
	func(f *fleet) { f.relays["entry-a"].Cut() },
	func(f *fleet) { f.processes["entry-a"].restart(f.t) },
	func(f *fleet) { pauseBriefly(f, "agent-c") },
	func(f *fleet) { pauseBriefly(f, "entry-b") },
	func(f *fleet) { f.processes["agent-c"].restart(f.t) },
	serviceFault(mgstandin.Lost),
}

// serviceFault sets a fault of the service that affects some of its calls.
func serviceFault(kind string) func(f *fleet) {
	return func(f *fleet) {
		f.setFault("books", mgstandin.Fault{
			Kind:  kind,
			Times: clientCount,
		})
	}
}

// pauseBriefly pauses a process for shortPause.
func pauseBriefly(f *fleet, name string) {
	f.processes[name].signal(f.t, syscall.SIGSTOP)
	time.AfterFunc(shortPause, func() { f.processes[name].signal(f.t, syscall.SIGCONT) })
}

// Clients book tickets while one fault after another is injected. A ticket that
// is booked twice, or that ran but is reported as not run and therefore booked
// again, moves two barrels instead of one.
func TestTicketBookedTwice(t *testing.T) {
	if testing.Short() {
		t.Skip("starts nine processes")
	}
	f := newFleet(t)
	Convey("No ticket is booked twice or falsely reported as not run", t, func() {
		ctx, cancel := context.WithTimeout(context.Background(), sessionTimeout)
		defer cancel()
		var next atomic.Int64
		booked := make([]ticketResult, totalTickets)
		var all sync.WaitGroup
		for range clientCount {
			all.Go(func() {
				for i := int(next.Add(1)) - 1; i < totalTickets; i = int(next.Add(1)) - 1 {
					if n := i / ticketsPerFault; i%ticketsPerFault == 0 && n > 0 && n <= len(faults) {
						faults[n-1](f)
					}
					booked[i] = f.bookTicket(ctx, "a day", i)
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
		t.Logf("%d writes, %d faults: %v", totalTickets, len(faults), outcomes)
		So(outcomes[mgproblem.Done], ShouldBeGreaterThan, totalTickets*9/10)
	})
}
