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

// sessionBound bounds the whole session when something hangs.
const sessionBound = 5 * time.Minute

// A scene is a load with one failure at a fixed point in it.
type scene struct {
	name     string
	before   func(f *fleet) // nil for none
	harm     harm
	heal     func(f *fleet) // after the load, nil for none
	lossy    bool           // reports may end in a truthful problem
	doubtful bool           // tickets may
}

// cut breaks the connections of some links.
func cut(links ...string) harm {
	return func(f *fleet) bool {
		struck := 0
		for _, link := range links {
			struck += f.relays[link].Cut()
		}
		return struck > 0
	}
}

// mute silences the connections of some links for good.
func mute(links ...string) harm {
	return func(f *fleet) bool {
		struck := 0
		for _, link := range links {
			struck += f.relays[link].Silence()
		}
		return struck > 0
	}
}

// engineOf returns the engine beside an agent.
func engineOf(agent string) string { return strings.Replace(agent, "agent", "engine", 1) }

// turn turns a stand-in's switch.
func turn(standin, kind string) harm {
	return func(f *fleet) bool {
		f.fault(standin, mgstandin.Fault{Kind: kind})
		return true
	}
}

// heal heals a stand-in.
func heal(standin string) func(f *fleet) {
	return func(f *fleet) { turn(standin, mgstandin.Heal)(f) }
}

// pauseSpan is well past each lease, heartbeat and silence bound between the
// system's processes but shorter than a caller's patience.
const pauseSpan = 4 * time.Second

// pause stops a process, which wakes up late and still believes what was true
// before.
func pause(name string) harm {
	return func(f *fleet) bool {
		struck := f.busy(name)
		f.processes[name].signal(f.t, syscall.SIGSTOP)
		time.AfterFunc(pauseSpan, func() { f.processes[name].signal(f.t, syscall.SIGCONT) })
		return struck
	}
}

// restart kills a process; another takes its place at the same addresses and
// remembers nothing.
func restart(name string) harm {
	return func(f *fleet) bool {
		struck := f.busy(name)
		f.processes[name].restart(f.t)
		return struck
	}
}

// stop asks a process to stop, which it does once its work is done.
func stop(name string) harm {
	return func(f *fleet) bool {
		struck := f.busy(name)
		f.processes[name].signal(f.t, syscall.SIGTERM)
		return struck
	}
}

// replace waits until a process that was asked to stop has ended and starts
// another in its place.
func replace(name string) func(f *fleet) {
	return func(f *fleet) {
		<-f.processes[name].Exited()
		f.processes[name].restart(f.t)
	}
}

// working does harm to an engine's agent that has work in progress. Which one
// the reports went to is for the entries to choose.
func working(do func(agent string) harm) harm {
	return func(f *fleet) bool {
		for _, agent := range []string{"agent-a", "agent-b"} {
			if f.busy(agent) {
				f.struck = agent
				return do(agent)(f)
			}
		}
		return false
	}
}

// scenes is the session.
var scenes = []scene{
	{
		name: "nothing fails",
		harm: func(*fleet) bool { return true },
	},
	{
		name: "the link from callers to an entry is cut",
		harm: cut("entry-a"),
	},
	{
		name: "the link from callers to an entry falls silent",
		harm: mute("entry-a"),
	},
	{
		name: "the links from entries to agents are cut",
		harm: cut("agent-a", "agent-b", "agent-c"),
	},
	{
		name: "the links from entries to agents fall silent",
		harm: mute("agent-a", "agent-b", "agent-c"),
	},
	{
		name: "the links from agents to engines are cut",
		harm: cut("engine-a", "engine-b"),
	},
	{
		name: "the links from agents to engines fall silent",
		harm: mute("engine-a", "engine-b"),
	},
	{
		name: "an entry is killed",
		harm: func(f *fleet) bool {
			struck := f.busy("entry-a")
			f.processes["entry-a"].kill()
			return struck
		},
		heal: func(f *fleet) { f.processes["entry-a"].restart(f.t) },
	},
	{
		name: "an agent is killed and replaced",
		harm: working(restart),
	},
	{
		name:     "the agent of the writes is killed while they run, and replaced",
		before:   func(f *fleet) { f.fault("books", mgstandin.Fault{Kind: mgstandin.Slow, Delay: 1500}) },
		harm:     restart("agent-c"),
		heal:     heal("books"),
		doubtful: true,
	},
	{
		name: "an agent is paused and wakes up late",
		harm: working(pause),
	},
	{
		name:   "the agent of the writes is paused while they run, and wakes up late",
		before: func(f *fleet) { f.fault("books", mgstandin.Fault{Kind: mgstandin.Slow, Delay: 1500}) },
		harm:   pause("agent-c"),
		heal:   heal("books"),
	},
	{
		name: "an entry is paused and wakes up late",
		harm: pause("entry-a"),
	},
	{
		name:     "the answers of the writes are lost",
		harm:     turn("books", mgstandin.Lost),
		heal:     heal("books"),
		doubtful: true,
	},
	{
		name: "the platform is down",
		harm: turn("platform", mgstandin.Down),
		heal: heal("platform"),
	},
	{
		name: "the platform is stale",
		harm: turn("platform", mgstandin.Stale),
		heal: heal("platform"),
	},
	{
		name: "an engine dies",
		harm: working(func(agent string) harm { return turn(engineOf(agent), mgstandin.Die) }),
		heal: func(f *fleet) {
			heal(engineOf(f.struck))(f)
		},
		lossy: true,
	},
	{
		name: "an entry is stopped, which cuts off nothing",
		harm: stop("entry-a"),
		heal: replace("entry-a"),
	},
	{
		name: "an agent is stopped, which cuts off nothing",
		harm: working(stop),
		heal: func(f *fleet) { replace(f.struck)(f) },
	},
	{
		name: "an entry is killed and a link falls silent, twice over",
		harm: func(f *fleet) bool {
			struck := f.busy("entry-a")
			f.processes["entry-a"].kill()
			return mute("entry-b", "agent-a", "agent-b")(f) && struck
		},
		heal: func(f *fleet) { f.processes["entry-a"].restart(f.t) },
	},
}

// Reports stream and tickets are booked while processes die, pause and are
// replaced, links are cut or fall silent, and the platform fails. A caller
// must get each token of its own report once and in order, and no ticket may
// be booked twice, whatever happens; where something is truly lost, the
// problem must say no more than is true.
func TestSession(t *testing.T) {
	if testing.Short() {
		t.Skip("starts nine processes")
	}
	f := newFleet(t)
	Convey("Callers get the truth when", t, func() {
		for _, s := range scenes {
			Convey(s.name, func() {
				ctx, cancel := context.WithTimeout(context.Background(), sessionBound)
				defer cancel()
				f.awaitReady()
				if s.before != nil {
					s.before(f)
				}
				got := f.play(ctx, s.name, s.harm)
				if s.heal != nil {
					s.heal(f)
				}
				So(got.struck, ShouldBeTrue)
				So(f.checkReports(got.reports, !s.lossy), ShouldBeEmpty)
				So(f.checkTickets(s.name, got.tickets, !s.doubtful), ShouldBeEmpty)
			})
		}
	})
}
