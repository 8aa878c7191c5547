package mgbench

import (
	"context"
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// shortened returns a scenario with a span in seconds.
func withDuration(s ScenarioSpec, duration float64) ScenarioSpec {
	s.Duration = duration
	return s
}

// A user sees each request answered, turned away or timed out, once, whatever
// happens to engines on the way. Each scenario runs under each policy; the
// model's memory and the order of tokens are checked by the driver and the
// model. A request that was counted twice or got lost would flatter a policy,
// and one that ours leaves waiting until its deadline never hears "not run".
func TestRequestEndsMoreThanOnceOrNever(t *testing.T) {
	for _, r := range measureAll(t, scenarioNames(), 8, 1) {
		Convey(r.scenario+" and "+r.policy, t, func() {
			So(r.meter.inTime+r.meter.refused+r.meter.expired+r.meter.lostForGood, ShouldEqual, r.meter.asked)
			if strings.HasPrefix(r.policy, "ours") {
				So(r.meter.lateNotRun, ShouldEqual, 0)
			}
		})
	}
}

// measured runs scenarios of a span in seconds under all policies.
func measureAll(t *testing.T, names []string, duration float64, seeds int) []run {
	c := Command{
		Scenario: strings.Join(names, ","),
		Seed:     1,
		Seeds:    seeds,
		Span:     duration,
	}
	scenarios, err := c.scenarios()
	if err != nil {
		t.Fatal(err)
	}
	runs, err := c.measure(context.Background(), c.jobs(scenarios, append(policies(), movePolicies()...)))
	if err != nil {
		t.Fatal(err)
	}
	return runs
}

// The oracle knows all lengths, so that a policy that answers more in time
// shows that the oracle is wrong and every figure against it misleads. The
// cases are small enough for an order to matter: a burst that must wait, and a
// memory that holds a handful of reports.
func TestPolicyBeatsOracle(t *testing.T) {
	limits := make(map[string]int)
	runs := measureAll(t, []string{"burst", "slow", "small", "long", "sat20"}, 50, 2)
	for _, r := range runs {
		if r.policy == "oracle" {
			limits[r.label()] = r.meter.inTime
		}
	}
	for _, r := range runs {
		Convey(r.label()+", "+r.policy, t, func() {
			So(r.meter.inTime, ShouldBeLessThanOrEqualTo, limits[r.label()])
		})
	}
}

// A quick engine could answer in time what the oracle turns away, because the
// slow engine beside it looked at the request first and saw no time left. A
// policy then beats the oracle. The load is light enough for the quick engines
// to do all.
func TestOracleRefusesBecauseOfSlowEngine(t *testing.T) {
	Convey("The oracle turns nothing away for the sake of a slow engine", t, func() {
		s := withDuration(slowScenario(), 60)
		s.Load = 0.6
		s.Fault.From, s.Fault.Until, s.Fault.Speed = 0, 1, 0.1
		for _, p := range oracleOrders() {
			So(simulate(newWorkload(s, 1), p, 1).refused, ShouldEqual, 0)
		}
	})
}

// name returns what a run shares with those of the other policies.
func (r run) label() string { return fmt.Sprintf("%s, seed %d", r.scenario, r.seed) }

// refuser is a policy that turns each request away and says when to return.
func refusingPolicy(retryAfter mgclock.Millis) policy {
	problem := mgproblem.New(mgproblem.Crowded, mgproblem.NotRun, "full", "come back")
	return policy{
		build: func(_ ScenarioSpec, us []*upstream, _ uint64) router {
			for _, u := range us {
				u.gate = gate{
					submit: func(mgclock.Millis, *call) *mgproblem.Problem { return problem.WithRetry(retryAfter) },
					poll:   func(_ mgclock.Millis, dst []verdict) []verdict { return dst },
				}
			}
			return leastConnections(us)
		},
	}
}

func TestClientRetries(t *testing.T) {
	s := withDuration(calmScenario(), 20)
	s.Services = []ServiceSpec{lookupService(1)}
	cases := []struct {
		name  string
		retry mgclock.Millis
		asked int
	}{
		{"not told to return, doesn't", 0, 1},
		{"told a second, asks as often as a person would", mgclock.Second, maxAttempts},
		{"told a time past its deadline, doesn't", 20 * mgclock.Second, 1},
		{"told a moment, waits the least time", 1, maxAttempts},
	}
	for _, c := range cases {
		Convey("A client that is "+c.name, t, func() {
			m := simulate(newWorkload(s, 1), refusingPolicy(c.retry), 1)
			So(m.refusals, ShouldEqual, c.asked*m.asked)
			So(m.refused, ShouldEqual, m.asked)
			So(m.lateNotRun, ShouldEqual, 0)
		})
	}
}

// A caller whose stream stands still until it hangs up has stalled, though no
// later token closes the gap. A meter that counts gaps at the next token only
// would make the policy that starves a stream look the best.
func TestOpenGapNotCountedAsStall(t *testing.T) {
	Convey("A gap that is open at the deadline counts", t, func() {
		m := newMeter(calmScenario())
		c := &call{
			request: &request{
				deadline: 5000,
			},
			state: running,
		}
		m.token(1000, c)
		m.expire(5000, c)
		So(m.stall, ShouldEqual, 4000)
	})
}

// A client whose request waits until its deadline never learns that it didn't
// run. A gate that keeps quiet so that the client doesn't ask again must not
// get away with it: the request counts as a late "not run".
func TestUnansweredRequestNotCountedAsLate(t *testing.T) {
	Convey("A request that waits until its deadline counts as late", t, func() {
		silent := refusingPolicy(0)
		build := silent.build
		silent.build = func(s ScenarioSpec, us []*upstream, seed uint64) router {
			r := build(s, us, seed)
			for _, u := range us {
				u.gate.submit = nil
			}
			return r
		}
		m := simulate(newWorkload(withDuration(calmScenario(), 20), 1), silent, 1)
		So(m.lateNotRun, ShouldEqual, m.asked)
	})
}

func TestJain(t *testing.T) {
	cases := []struct {
		name   string
		served []float64
		want   float64
	}{
		{"alike", []float64{2, 2, 2}, 1},
		{"one gets all", []float64{9, 0, 0}, 1.0 / 3},
		{"none gets any", []float64{0, 0}, 1},
		{"one gets twice as much", []float64{1, 2}, 0.9},
	}
	for _, c := range cases {
		Convey("Jain's index when "+c.name, t, func() {
			So(jain(c.served), ShouldAlmostEqual, c.want)
		})
	}
}

func TestWorkload(t *testing.T) {
	Convey("A workload", t, func() {
		Convey("keeps the mean rate, with bursts too", func() {
			for _, s := range []ScenarioSpec{calmScenario(), burstScenario()} {
				s = withDuration(s, 3000)
				mean := s.SaturationRate * s.Load * float64(s.Engines) * s.Duration
				So(float64(len(newWorkload(s, 2).requests))/mean, ShouldAlmostEqual, 1, 0.1)
			}
		})

		Convey("repeats by its seed", func() {
			s := withDuration(burstScenario(), 60)
			So(newWorkload(s, 5).requests, ShouldResemble, newWorkload(s, 5).requests)
			So(newWorkload(s, 5).requests, ShouldNotResemble, newWorkload(s, 6).requests)
		})

		Convey("doubles its accounts at a takeover", func() {
			s := takeoverScenario()
			for _, r := range newWorkload(s, 1).requests {
				if s.Accounts[r.account].From*s.Duration*1000 > r.arrival {
					So(r, ShouldBeZeroValue)
				}
			}
		})
	})
}

func BenchmarkSimulate(b *testing.B) {
	s := withDuration(saturationScenario("sat10", 1), 60)
	w := newWorkload(s, 1)
	p := simplePolicy()
	tokens := int64(0)
	for b.Loop() {
		tokens += simulate(w, p, 1).tokenGaps.TotalCount()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(tokens), "ns/token")
}
