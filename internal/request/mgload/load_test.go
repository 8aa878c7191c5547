package mgload

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Guards against this failure: three of an engine's nine runs are this entry's. The entry
// sends a fourth one there, where its prompt waits behind two others and the memory is
// full.
func TestLoadedUpstreamIsPreferred(t *testing.T) {
	query := Query{
		Zone:     "a",
		Memory:   4000,
		Capacity: 34000,
	}
	cases := []struct {
		name          string
		better, worse Load
		zone, farther string
	}{
		{
			name:   "fewer runs",
			better: Load{Runs: 2, Memory: 8000},
			worse:  Load{Runs: 3, Memory: 12000},
		},
		{
			name:   "no prompt before it",
			better: Load{Runs: 2, Memory: 8000},
			worse:  Load{Runs: 1, Pending: 3000, Memory: 4000},
		},
		{
			name:   "memory for it",
			better: Load{Runs: 8, Memory: 28000},
			worse:  Load{Runs: 5, Memory: 36000},
		},
		{
			name:    "its own zone, all else alike",
			zone:    "a",
			farther: "b",
		},
	}
	Convey("A request costs less where there is", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				So(Cost(State{Load: c.better, Zone: c.zone}, query), ShouldBeLessThan, Cost(State{Load: c.worse, Zone: c.farther}, query))
			})
		}
		Convey("A copy counts the transfer time between zones", func() {
			near := Load{Runs: 1}
			moved := query
			So(Cost(State{Load: near, Zone: "a"}, moved), ShouldBeGreaterThan, Cost(State{Zone: "b"}, moved))
			moved.Copy = true
			So(Cost(State{Load: near, Zone: "a"}, moved), ShouldBeLessThan, Cost(State{Zone: "b"}, moved))
		})
	})
}

// A sum must neither count an entry's own report nor that of an entry that died.
func TestHubSumIsWrong(t *testing.T) {
	Convey("A hub returns to an entry the sum of the others", t, func() {
		var h Hub
		newReport := func(n int) Report {
			return Report{
				Loads: map[string]Load{"engine": {Runs: n}},
				Paces: map[string]float64{"engine": float64(n)},
			}
		}
		So(h.Exchange(0, "one", newReport(1)).Loads, ShouldBeEmpty)
		So(h.Exchange(10, "two", newReport(2)).Loads["engine"].Runs, ShouldEqual, 1)
		So(h.Exchange(20, "three", newReport(4)).Loads["engine"].Runs, ShouldEqual, 3)
		reply := h.Exchange(30, "one", newReport(8))
		So(reply.Loads["engine"].Runs, ShouldEqual, 6)
		So(reply.Paces["engine"], ShouldEqual, 3)
		Convey("and drops one that is silent", func() {
			So(h.Exchange(reportTTL+25, "one", newReport(8)).Loads, ShouldBeEmpty)
		})
		Convey("whose paces are averaged with the entry's own", func() {
			pace, ok := Pace(map[string]float64{"engine": 5}, reply.Paces, "engine")
			So(ok, ShouldBeTrue)
			So(pace, ShouldEqual, 4)
			_, ok = Pace(nil, reply.Paces, "other")
			So(ok, ShouldBeFalse)
		})
	})
	Convey("A count without requests is empty", t, func() {
		var c Tracker
		c.Add("engine", Load{Runs: 1, Pending: 3000})
		c.Add("engine", Load{Pending: -3000})
		So(c.Load("engine").Runs, ShouldEqual, 1)
		c.Add("engine", Load{Runs: -1})
		So(c.Loads(), ShouldBeEmpty)
	})
}

// Guards against this failure: five entries send runs to twelve engines. By their own
// counts alone one engine gets nine while another has none, and when the first is
// reclaimed, three of its runs are cut off for lack of time.
func TestRunsAreUneven(t *testing.T) {
	Convey("The maximum number of runs at one engine is lower with a hub", t, func() {
		alone, together := simulatePlacement(false), simulatePlacement(true)
		So(together, ShouldBeLessThan, alone)
		So(together, ShouldBeLessThanOrEqualTo, 6)
	})
}

// simulatePlacement places 500 runs of seven to nine seconds, five a second, and returns
// the mean over time of the maximum number of runs at one engine.
func simulatePlacement(usesHub bool) float64 {
	const entries, engines, step = 5, 12, mgclock.Millis(200)
	r := rand.New(rand.NewPCG(1, 2))
	var hub Hub
	counts := make([]Tracker, entries)
	others := make([]Report, entries)
	type end struct {
		at     mgclock.Millis
		entry  int
		engine string
	}
	var running []end
	sum, steps := 0, 0
	for at := mgclock.Millis(0); at < 100*mgclock.Second; at += step {
		kept := running[:0]
		for _, e := range running {
			if e.at > at {
				kept = append(kept, e)
				continue
			}
			counts[e.entry].Add(e.engine, Load{Runs: -1})
		}
		running = kept
		if usesHub {
			for i := range counts {
				others[i] = hub.Exchange(at, fmt.Sprint(i), Report{Loads: counts[i].Loads()})
			}
		}
		entry, best, least := r.IntN(entries), "", 0.0
		for _, k := range r.Perm(engines) {
			engine := fmt.Sprint("engine", k)
			cost := Cost(State{Load: counts[entry].Load(engine).Add(others[entry].Loads[engine])}, Query{})
			if best == "" || cost < least {
				best, least = engine, cost
			}
		}
		counts[entry].Add(best, Load{Runs: 1})
		running = append(running, end{
			at:     at + 7000 + mgclock.Millis(r.IntN(2000)),
			entry:  entry,
			engine: best,
		})
		total := map[string]int{}
		maxRuns := 0
		for _, e := range running {
			total[e.engine]++
			maxRuns = max(maxRuns, total[e.engine])
		}
		sum += maxRuns
		steps++
	}
	return float64(sum) / float64(steps)
}
