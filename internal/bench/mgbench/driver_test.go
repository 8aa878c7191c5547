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

// withDuration returns a scenario with a duration of arrivals in seconds.
func withDuration(s ScenarioSpec, duration float64) ScenarioSpec {
	s.Duration = duration
	return s
}

// Guards against requests that end twice or get lost, which would flatter a
// policy, when engines fail: each must be answered, refused or timed out once.
// Under "ours" none may wait until its deadline without a refusal "not run".
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

// measureAll runs scenarios, with a duration of arrivals in seconds, under all
// policies.
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

// Guards against an oracle that is no upper bound: it knows all lengths, so a
// policy with more answers in time means that every comparison misleads. The
// cases are small enough for the order to matter.
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

// Guards against an oracle that refuses a request because a slow engine, which
// sees it first, can't meet its deadline, though a fast engine could. The load
// is light enough for the fast engines alone.
func TestOracleRefusesBecauseOfSlowEngine(t *testing.T) {
	Convey("The oracle refuses nothing because of a slow engine", t, func() {
		s := withDuration(slowScenario(), 60)
		s.Load = 0.6
		s.Fault.From, s.Fault.Until, s.Fault.Speed = 0, 1, 0.1
		for _, p := range oracleOrders() {
			So(simulate(newWorkload(s, 1), p, 1).refused, ShouldEqual, 0)
		}
	})
}

// label returns the scenario and seed, which runs of different policies share.
func (r run) label() string { return fmt.Sprintf("%s, seed %d", r.scenario, r.seed) }

// refusingPolicy returns a policy that refuses each request with a retry time.
func refusingPolicy(retryAfter mgclock.Millis) policy {
	problem := mgproblem.New(mgproblem.Overloaded, mgproblem.NotRun, "full", "come back")
	return policy{
		build: func(_ ScenarioSpec, us []*upstream, _ uint64) router {
			for _, u := range us {
				u.gate = gate{
					submit: func(mgclock.Millis, *call) *mgproblem.Problem { return problem.WithRetryAfter(retryAfter) },
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
		{"given no retry time doesn't retry", 0, 1},
		{"given one second retries until its attempts are used up", mgclock.Second, maxAttempts},
		{"given a time past its deadline doesn't retry", 20 * mgclock.Second, 1},
		{"given a very short time waits for the minimum", 1, maxAttempts},
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

// Guards against a meter that counts gaps only at the next token: a stream
// that stalls until its client hangs up has no next token, so the policy that
// starves streams would look best.
func TestOpenGapNotCountedAsStall(t *testing.T) {
	Convey("A gap that is open at the deadline counts as stall time", t, func() {
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

// Guards against a gate that leaves a request waiting until its deadline, so
// that its client neither learns that it didn't run nor retries. Such a
// request must count as a late "not run".
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
		{"all are served equally", []float64{2, 2, 2}, 1},
		{"one gets everything", []float64{9, 0, 0}, 1.0 / 3},
		{"none gets anything", []float64{0, 0}, 1},
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
		Convey("keeps the mean rate, also with bursts", func() {
			for _, s := range []ScenarioSpec{calmScenario(), burstScenario()} {
				s = withDuration(s, 3000)
				mean := s.SaturationRate * s.Load * float64(s.Engines) * s.Duration
				So(float64(len(newWorkload(s, 2).requests))/mean, ShouldAlmostEqual, 1, 0.1)
			}
		})

		Convey("is reproducible from its seed", func() {
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
