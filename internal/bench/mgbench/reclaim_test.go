package mgbench

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against moves that cut or pause reports of eight seconds when engines
// are reclaimed at two seconds' notice: without moves they are cut, with many
// copies on one link they stall. Slots must come close to foresight.
func TestMovesCutOrPauseGenerations(t *testing.T) {
	cut, paused := map[string]float64{}, map[string]float64{}
	s := withDuration(reclaimScenario(), 200)
	for _, p := range movePolicies() {
		for seed := range uint64(3) {
			m := simulate(newWorkload(s, seed), p, seed)
			cut[p.name] += m.percent(m.lostForGood) / 3
			paused[p.name] += m.percent(m.pausedByMove) / 3
		}
		t.Logf("%-14s cut %5.2f, paused %5.2f of 100", p.name, cut[p.name], paused[p.name])
	}
	Convey("Among 100 requests, 42 of them reports", t, func() {
		Convey("moves with migration slots lose few", func() {
			So(cut["move/stay"], ShouldBeGreaterThan, 10)
			So(cut["move/self"], ShouldBeGreaterThan, 5*cut["move/turns"])
			So(cut["move/turns"], ShouldBeLessThan, 0.6)
		})
		Convey("and pause few", func() {
			So(paused["move/once"], ShouldBeGreaterThan, 10*paused["move/turns"])
			So(paused["move/self"], ShouldBeGreaterThan, 10*paused["move/turns"])
			So(paused["move/turns"], ShouldBeLessThan, 0.6)
		})
		Convey("and are within half a percentage point of foresight", func() {
			So(cut["move/turns"]-cut["move/foreseen"], ShouldBeLessThan, 0.5)
		})
	})
}

// Guards against requests that wait for seconds at one engine while another
// has memory: two dozen entries see the same empty engine and fill it at once.
// One waiting list for placements must get more answers out on time.
func TestRequestsWaitAtFullEngines(t *testing.T) {
	reports, notes, expired := map[moveStrategy]float64{}, map[moveStrategy]float64{}, map[moveStrategy]float64{}
	s := withDuration(packedScenario(), 60)
	for _, p := range movePolicies() {
		if p.moveStrategy != strategySlots && p.moveStrategy != strategyWaitingList {
			continue
		}
		m := simulate(newWorkload(s, 1), p, 1)
		reports[p.moveStrategy], notes[p.moveStrategy], expired[p.moveStrategy] = m.onTimePercent(0), m.onTimePercent(1), m.percent(m.expired)
	}
	Convey("Where memory is almost full", t, func() {
		So(reports[strategyWaitingList], ShouldBeGreaterThan, reports[strategySlots]+3)
		So(notes[strategyWaitingList], ShouldBeGreaterThan, notes[strategySlots]+10)
		So(expired[strategyWaitingList], ShouldBeLessThan, expired[strategySlots]/2)
	})
}

// Guards against a crash on calls that are given up on the waiting list, which
// are reported without a placement, once the list is longer than its clients
// wait.
func TestGivenUpRequestHasNoPlacement(t *testing.T) {
	Convey("Clients of calls on the waiting list hang up at their deadline", t, func() {
		s := withDuration(packedScenario(), 30)
		s.SaturationRate *= 2
		for _, p := range movePolicies() {
			if p.moveStrategy != strategyWaitingList {
				continue
			}
			m := simulate(newWorkload(s, 1), p, 1)
			So(m.percent(m.expired), ShouldBeGreaterThan, 1)
		}
	})
}

// Guards against scenarios with reclaims under policies whose gates rely on
// engines that stay; their figures would look broken.
func TestPolicyPlaysUnsupportedScenario(t *testing.T) {
	Convey("Only policies with a move strategy run scenarios with reclaims", t, func() {
		So(reclaimScenario().playablePolicies(policies()), ShouldBeEmpty)
		So(len(reclaimScenario().playablePolicies(movePolicies())), ShouldEqual, len(movePolicies()))
		So(calmScenario().playablePolicies(movePolicies()), ShouldBeEmpty)
	})
}
