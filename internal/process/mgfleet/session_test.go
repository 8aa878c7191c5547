package mgfleet_test

import (
	"context"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgstandin"
)

// sessionTimeout ends the whole session if something hangs.
const sessionTimeout = 5 * time.Minute

// A scenario is a load with one failure at a fixed point.
type scenario struct {
	name                       string
	setup                      func(f *fleet) // nil for none
	inject                     injection
	recovery                   func(f *fleet) // runs after the load, nil for none
	mayLoseReports             bool           // reports may end with a truthful problem
	mayLeaveTicketsUnconfirmed bool           // tickets may end with a truthful problem
}

// cutLinks closes the connections of some links.
func cutLinks(links ...string) injection {
	return func(f *fleet) bool {
		closed := 0
		for _, link := range links {
			closed += f.relays[link].Cut()
		}
		return closed > 0
	}
}

// silenceLinks stops the connections of some links from forwarding, permanently.
func silenceLinks(links ...string) injection {
	return func(f *fleet) bool {
		silenced := 0
		for _, link := range links {
			silenced += f.relays[link].DropSilently()
		}
		return silenced > 0
	}
}

// engineOf returns the engine of an agent.
func engineOf(agent string) string { return strings.Replace(agent, "agent", "engine", 1) }

// setStandinFault sets a stand-in's fault.
func setStandinFault(standin, kind string) injection {
	return func(f *fleet) bool {
		f.setFault(standin, mgstandin.Fault{Kind: kind})
		return true
	}
}

// healStandin ends a stand-in's fault.
func healStandin(standin string) func(f *fleet) {
	return func(f *fleet) { setStandinFault(standin, mgstandin.Heal)(f) }
}

// pauseDuration is well above each lease, heartbeat and silence timeout between
// the system's processes but shorter than a caller waits for its answer.
const pauseDuration = 4 * time.Second

// pauseProcess suspends a process, which resumes late with outdated state.
func pauseProcess(name string) injection {
	return func(f *fleet) bool {
		wasBusy := f.busy(name)
		f.processes[name].signal(f.t, syscall.SIGSTOP)
		time.AfterFunc(pauseDuration, func() { f.processes[name].signal(f.t, syscall.SIGCONT) })
		return wasBusy
	}
}

// restartProcess kills a process and starts another at the same addresses,
// without its state.
func restartProcess(name string) injection {
	return func(f *fleet) bool {
		wasBusy := f.busy(name)
		f.processes[name].restart(f.t)
		return wasBusy
	}
}

// stopProcess asks a process to stop, which it does once its work is done.
func stopProcess(name string) injection {
	return func(f *fleet) bool {
		wasBusy := f.busy(name)
		f.processes[name].signal(f.t, syscall.SIGTERM)
		return wasBusy
	}
}

// restartStopped waits until a process that was asked to stop has exited and
// starts another in its place.
func restartStopped(name string) func(f *fleet) {
	return func(f *fleet) {
		<-f.processes[name].Exited()
		f.processes[name].restart(f.t)
	}
}

// intoBusyAgent injects a failure into an engine's agent that has work in
// progress. The entries decide which agent the reports go to.
func intoBusyAgent(inject func(agent string) injection) injection {
	return func(f *fleet) bool {
		for _, agent := range []string{"agent-a", "agent-b"} {
			if f.busy(agent) {
				f.struckAgent = agent
				return inject(agent)(f)
			}
		}
		return false
	}
}

// scenarios are the steps of the session, in order.
var scenarios = []scenario{
	{
		name:   "nothing fails",
		inject: func(*fleet) bool { return true },
	},
	{
		name:   "the link from callers to an entry is cut",
		inject: cutLinks("entry-a"),
	},
	{
		name:   "the link from callers to an entry falls silent",
		inject: silenceLinks("entry-a"),
	},
	{
		name:   "the links from entries to agents are cut",
		inject: cutLinks("agent-a", "agent-b", "agent-c"),
	},
	{
		name:   "the links from entries to agents fall silent",
		inject: silenceLinks("agent-a", "agent-b", "agent-c"),
	},
	{
		name:   "the links from agents to engines are cut",
		inject: cutLinks("engine-a", "engine-b"),
	},
	{
		name:   "the links from agents to engines fall silent",
		inject: silenceLinks("engine-a", "engine-b"),
	},
	{
		name: "an entry is killed",
		inject: func(f *fleet) bool {
			struck := f.busy("entry-a")
			f.processes["entry-a"].kill()
			return struck
		},
		recovery: func(f *fleet) { f.processes["entry-a"].restart(f.t) },
	},
	{
		name:   "an agent is killed and replaced",
		inject: intoBusyAgent(restartProcess),
	},
	{
		name:                       "the agent of the writes is killed while they run, and replaced",
		setup:                      func(f *fleet) { f.setFault("books", mgstandin.Fault{Kind: mgstandin.Slow, Delay: 1500}) },
		inject:                     restartProcess("agent-c"),
		recovery:                   healStandin("books"),
		mayLeaveTicketsUnconfirmed: true,
	},
	{
		name:   "an agent is paused and wakes up late",
		inject: intoBusyAgent(pauseProcess),
	},
	{
		name:     "the agent of the writes is paused while they run, and wakes up late",
		setup:    func(f *fleet) { f.setFault("books", mgstandin.Fault{Kind: mgstandin.Slow, Delay: 1500}) },
		inject:   pauseProcess("agent-c"),
		recovery: healStandin("books"),
	},
	{
		name:   "an entry is paused and wakes up late",
		inject: pauseProcess("entry-a"),
	},
	{
		name:                       "the answers of the writes are lost",
		inject:                     setStandinFault("books", mgstandin.Lost),
		recovery:                   healStandin("books"),
		mayLeaveTicketsUnconfirmed: true,
	},
	{
		name:     "the platform is down",
		inject:   setStandinFault("platform", mgstandin.Down),
		recovery: healStandin("platform"),
	},
	{
		name:     "the platform is stale",
		inject:   setStandinFault("platform", mgstandin.Stale),
		recovery: healStandin("platform"),
	},
	{
		name:   "an engine dies",
		inject: intoBusyAgent(func(agent string) injection { return setStandinFault(engineOf(agent), mgstandin.Die) }),
		recovery: func(f *fleet) {
			healStandin(engineOf(f.struckAgent))(f)
		},
		mayLoseReports: true,
	},
	{
		name:     "an entry is stopped, which cuts off nothing",
		inject:   stopProcess("entry-a"),
		recovery: restartStopped("entry-a"),
	},
	{
		name:     "an agent is stopped, which cuts off nothing",
		inject:   intoBusyAgent(stopProcess),
		recovery: func(f *fleet) { restartStopped(f.struckAgent)(f) },
	},
	{
		name: "an entry is killed and a link falls silent, twice over",
		inject: func(f *fleet) bool {
			struck := f.busy("entry-a")
			f.processes["entry-a"].kill()
			return silenceLinks("entry-b", "agent-a", "agent-b")(f) && struck
		},
		recovery: func(f *fleet) { f.processes["entry-a"].restart(f.t) },
	},
}

// Processes die, pause and are replaced, links fail, and so does the platform.
// Each token must arrive once and in order, no ticket may be booked twice, and
// the problem of a lost request must be truthful.
func TestSessionLosesOrRepeatsWork(t *testing.T) {
	if testing.Short() {
		t.Skip("starts nine processes")
	}
	f := newFleet(t)
	Convey("Callers get complete answers or truthful problems when", t, func() {
		for _, s := range scenarios {
			Convey(s.name, func() {
				ctx, cancel := context.WithTimeout(context.Background(), sessionTimeout)
				defer cancel()
				f.awaitReady()
				if s.setup != nil {
					s.setup(f)
				}
				got := f.runLoad(ctx, s.name, s.inject)
				if s.recovery != nil {
					s.recovery(f)
				}
				So(got.hitWork, ShouldBeTrue)
				So(f.checkReports(got.reports, !s.mayLoseReports), ShouldBeEmpty)
				So(f.checkTickets(s.name, got.tickets, !s.mayLeaveTicketsUnconfirmed), ShouldBeEmpty)
			})
		}
	})
}
