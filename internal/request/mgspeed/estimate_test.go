package mgspeed_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgspeed"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// ratioAt is by how much a step that begins at a time is slower than the default.
type ratioAt func(now mgclock.Millis, runs int) float64

// field is a service of four typical engines and one that is under test, each with two streams
// at each of three entries.
type field struct {
	hub     mgspeed.Hub
	entries [3]mgspeed.Learner
	ratio   ratioAt
	started int64
	random  *rand.Rand
}

const subject = "subject"

// run measures streams from one time to another, and calls each after every second.
func (f *field) run(from, to mgclock.Millis, each func(now mgclock.Millis, row mgspeed.Speed, deviates bool)) {
	if f.random == nil {
		f.random = rand.New(rand.NewPCG(4, 2))
	}
	for now := from + 40; now <= to; now += 40 {
		for name, ratio := range map[string]ratioAt{
			subject: f.ratio,
			"a":     typical, "b": typical, "c": typical, "d": typical,
		} {
			f.record(now, name, ratio)
		}
		if now%1000 == 0 {
			for i := range f.entries {
				f.hub.Store(now, fmt.Sprint(i), f.entries[i].Sums(now))
			}
			speeds := f.hub.Speeds(now)
			for i := range f.entries {
				f.entries[i].Adopt(speeds)
			}
			row, deviates := rowOf(speeds, subject)
			if each != nil {
				each(now, row, deviates)
			}
		}
	}
}

func typical(mgclock.Millis, int) float64 { return 1 }

// record records the tokens of 40 ms, and a first event now and then.
func (f *field) record(now mgclock.Millis, name string, ratio ratioAt) {
	engine := mgspeed.Engine{
		Upstream: name,
		Service:  service,
	}
	if name == subject {
		engine.Start = f.started
	}
	state := mgspeed.State{
		Runs: 4 + int(now/700)%8,
	}
	expected := mgspeed.DefaultStep + mgspeed.DefaultPerRun*float64(state.Runs)
	for i := range f.entries {
		for range 2 {
			noise := 1 + 0.1*f.random.NormFloat64()
			f.entries[i].RecordTokens(now, engine, 4, mgclock.Millis(4*expected*ratio(now, state.Runs)*noise+0.5), state)
		}
	}
	if now%800 == 0 {
		elapsed := 3000 / mgspeed.DefaultReadRate * ratio(now, state.Runs) * (1 + 0.2*f.random.NormFloat64())
		f.entries[0].RecordFirst(now, engine, 3000, mgclock.Millis(elapsed), mgspeed.State{Runs: 1})
	}
}

func rowOf(s *mgspeed.Speeds, upstream string) (mgspeed.Speed, bool) {
	for _, row := range s.Report().Speeds {
		if row.Upstream == upstream {
			return row, true
		}
	}
	return mgspeed.Speed{}, false
}

// Guards against three failures: an engine that is always slow or fast isn't found, one that
// pauses or is slow in spells counts as slow, and a typical one counts as either.
func TestSpeedMisjudged(t *testing.T) {
	spells := inSpells(3)
	cases := []struct {
		name      string
		ratio     ratioAt
		foundBy   mgclock.Millis // when it must deviate at the latest, and from then on; 0 for never
		atMost    int            // seconds of 60 in which it may deviate, if it needn't
		low, high float64        // of the level in the end, if it deviates
	}{
		{
			name:    "that is always 1.6 times as slow",
			ratio:   func(mgclock.Millis, int) float64 { return 1.6 },
			foundBy: 3000,
			low:     1.45,
			high:    1.65,
		},
		{
			name:    "that is always 4 times as slow",
			ratio:   func(mgclock.Millis, int) float64 { return 4 },
			foundBy: 2000,
			low:     3,
			high:    4.1,
		},
		{
			name:    "that is always 1.6 times as fast",
			ratio:   func(mgclock.Millis, int) float64 { return 1 / 1.6 },
			foundBy: 5000,
			low:     0.6,
			high:    0.72,
		},
		{
			name:  "that is as fast as the others",
			ratio: typical,
		},
		{
			name:  "that is a tenth slower",
			ratio: func(mgclock.Millis, int) float64 { return 1.1 },
		},
		{
			name: "that is 2.5 times as slow for 15 % of the time",
			ratio: func(now mgclock.Millis, _ int) float64 {
				return 1 / spells(float64(now), 0)
			},
			atMost: 6,
		},
		{
			name: "that pauses once",
			ratio: func(now mgclock.Millis, _ int) float64 {
				if now == 10_000 {
					return 50
				}
				return 1
			},
		},
	}
	Convey("An engine", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				f := field{ratio: c.ratio}
				seconds := 0
				var last mgspeed.Speed
				f.run(0, 60_000, func(now mgclock.Millis, row mgspeed.Speed, deviates bool) {
					if deviates {
						seconds++
						last = row
					}
					if c.foundBy > 0 && now >= c.foundBy {
						So(deviates, ShouldBeTrue)
					}
				})
				if c.foundBy == 0 {
					So(seconds, ShouldBeLessThanOrEqualTo, c.atMost)
					return
				}
				So(last.Level, ShouldBeBetween, c.low, c.high)
			})
		}
	})
}

// Guards against an engine that slows down as it fills and counts as one of constant speed.
func TestSlopeMisjudged(t *testing.T) {
	Convey("An engine", t, func() {
		Convey("that slows down by 0.6 ms per running request has a slope", func() {
			f := field{
				ratio: func(_ mgclock.Millis, runs int) float64 {
					return 1 + (0.6-mgspeed.DefaultPerRun)*float64(runs)/(mgspeed.DefaultStep+mgspeed.DefaultPerRun*float64(runs))
				},
			}
			var last mgspeed.Speed
			f.run(0, 20_000, func(_ mgclock.Millis, row mgspeed.Speed, _ bool) { last = row })
			So(last.Slope, ShouldBeBetween, 0.2, 0.6)
			deviation, ok := f.hub.Speeds(20_000).Of(mgspeed.Engine{Upstream: subject})
			So(ok, ShouldBeTrue)
			So(deviation.TokenCost(12), ShouldBeBetween, 3.5, 8) // 5.8 ms
			So(deviation.TokenCost(12), ShouldBeGreaterThan, deviation.TokenCost(4))
		})
	})
}

// Guards against a model that stays with an engine after the incarnation that it was learned
// from.
func TestRestartedEngineKeepsItsSpeed(t *testing.T) {
	changes := func(now mgclock.Millis, _ int) float64 {
		if now < 20_000 {
			return 1.8
		}
		return 1
	}
	Convey("A slow engine that was replaced by a typical one", t, func() {
		f := field{
			ratio:   changes,
			started: 5,
		}
		f.run(0, 20_000, nil)
		speeds := f.hub.Speeds(20_000)
		_, known := speeds.Of(mgspeed.Engine{Upstream: subject, Start: 5})
		So(known, ShouldBeTrue)
		Convey("counts as typical at once in a new incarnation", func() {
			_, known := speeds.Of(mgspeed.Engine{Upstream: subject, Start: 6})
			So(known, ShouldBeFalse)
			f.started = 6
			f.run(20_000, 30_000, func(_ mgclock.Millis, _ mgspeed.Speed, deviates bool) { So(deviates, ShouldBeFalse) })
		})
		Convey("counts as typical after some seconds where its incarnation isn't stated", func() {
			last := mgclock.Millis(0)
			f.run(20_000, 60_000, func(now mgclock.Millis, _ mgspeed.Speed, deviates bool) {
				if deviates {
					last = now
				}
			})
			So(last, ShouldBeBetween, 20_000, 34_000)
		})
	})
	Convey("Samples of an earlier incarnation, which an entry with an old list still has, don't count", t, func() {
		var l mgspeed.Learner
		for start := range int64(2) {
			l.RecordFirst(0, mgspeed.Engine{Upstream: subject, Start: 2 - start}, 1000, 500, mgspeed.State{})
		}
		So(l.Count(), ShouldEqual, 1)
		So(l.Sums(0)[0].Start, ShouldEqual, 2)
	})
}

// Guards against a deployment whose engines are all of another kind than the published one, in
// which each engine that hasn't been measured yet looks the fastest.
func TestOtherKindOfEnginesDeviates(t *testing.T) {
	Convey("Engines that are all three times as slow as the published kind are alike", t, func() {
		var hub mgspeed.Hub
		var l mgspeed.Learner
		for now := mgclock.Millis(0); now <= 40_000; now += 100 {
			for i := range 5 {
				engine := mgspeed.Engine{Upstream: fmt.Sprint(i)}
				l.RecordTokens(now, engine, 4, 4*21, mgspeed.State{})
			}
			if now%1000 == 0 {
				hub.Store(now, "x", l.Sums(now))
				l.Adopt(hub.Speeds(now))
				So(hub.Speeds(now).Report().Speeds, ShouldBeEmpty)
			}
		}
		So(hub.Speeds(40_000).Report().References[0].Level, ShouldBeBetween, 2.9, 3.1)
	})
}

// Guards against sums that add up wrongly, and against those of a faulty process.
func TestSumsMergedWrongly(t *testing.T) {
	Convey("Sums", t, func() {
		var first, second, both mgspeed.Learner
		engine := mgspeed.Engine{Upstream: subject}
		for now := mgclock.Millis(0); now < 10_000; now += 500 {
			l := &first
			if now%1000 == 0 {
				l = &second
			}
			before := mgspeed.State{Runs: int(now / 1000)}
			l.RecordFirst(now, engine, 2000, 400, before)
			both.RecordFirst(now, engine, 2000, 400, before)
		}
		Convey("of two entries are those of one that measured all", func() {
			parts := mgspeed.Estimate(append(first.Sums(10_000), second.Sums(10_000)...)).Report().References[0]
			whole := mgspeed.Estimate(both.Sums(10_000)).Report().References[0]
			So(parts.Samples, ShouldAlmostEqual, whole.Samples, 1e-6)
			So(parts.Prompt, ShouldAlmostEqual, whole.Prompt, 1e-6)
		})
		Convey("survive a message", func() {
			data, err := json.Marshal(both.Sums(10_000))
			So(err, ShouldBeNil)
			var read []mgspeed.Sums
			So(json.Unmarshal(data, &read), ShouldBeNil)
			So(read[0].Read.YY, ShouldAlmostEqual, both.Sums(10_000)[0].Read.YY, 1e-3)
			So(json.Unmarshal([]byte(`[{"step":"x"}]`), &read), ShouldNotBeNil)
		})
		Convey("that no samples have aren't used", func() {
			for _, text := range []string{
				`[{"upstream":"","step":[9,0,0,90,0,900]}]`,
				`[{"upstream":"x","step":[-9,0,0,90,0,900]}]`,
				`[{"upstream":"x","step":[9,0,0,1e300,0,900]}]`,
				`[{"upstream":"x","age":-1,"step":[9,0,0,90,0,900]}]`,
			} {
				var read []mgspeed.Sums
				So(json.Unmarshal([]byte(text), &read), ShouldBeNil)
				So(mgspeed.Estimate(read).Report().References, ShouldBeEmpty)
			}
		})
		Convey("of nothing give no speeds", func() {
			var none *mgspeed.Speeds
			_, deviates := none.Of(engine)
			So(deviates, ShouldBeFalse)
			So(none.Slowest(), ShouldEqual, 1)
			So(none.Report().Speeds, ShouldBeEmpty)
			So(mgspeed.Estimate(nil).Report().Speeds, ShouldBeEmpty)
		})
		Convey("of an engine that is gone are dropped", func() {
			So(both.Sums(10_000), ShouldNotBeEmpty)
			So(both.Sums(90_000), ShouldBeEmpty)
		})
	})
}

// A long answer must not be placed at an engine that has just started and is slow, as some of the
// service's are, while others are known to be fast.
func TestUnmeasuredEngineCountsAsFast(t *testing.T) {
	Convey("Where two of six engines are 2.4 times as slow as the others", t, func() {
		var l mgspeed.Learner
		for now := mgclock.Millis(0); now <= 10_000; now += 100 {
			for i := range 6 {
				elapsed := mgclock.Millis(4 * 7)
				if i < 2 {
					elapsed = 4 * 17
				}
				l.RecordTokens(now, mgspeed.Engine{Upstream: fmt.Sprint(i), Service: service}, 4, elapsed, mgspeed.State{})
			}
		}
		speeds := mgspeed.Estimate(l.Sums(10_000))
		fresh := mgspeed.Engine{
			Upstream: "fresh",
			Service:  service,
		}
		Convey("one of which nothing is known costs a third of what a slow one costs", func() {
			slow, deviates := speeds.Of(mgspeed.Engine{Upstream: "0", Service: service})
			So(deviates, ShouldBeTrue)
			unknown, isUnmeasured := speeds.OfUnmeasured(fresh)
			So(isUnmeasured, ShouldBeTrue)
			So(unknown.TokenCost(0), ShouldAlmostEqual, slow.TokenCost(0)/3, 0.5)
		})
		Convey("a typical one doesn't, nor one of an unknown service", func() {
			_, isUnmeasured := speeds.OfUnmeasured(mgspeed.Engine{Upstream: "5", Service: service})
			So(isUnmeasured, ShouldBeFalse)
			_, isUnmeasured = speeds.OfUnmeasured(mgspeed.Engine{Upstream: "fresh", Service: "other"})
			So(isUnmeasured, ShouldBeFalse)
		})
		Convey("a new incarnation of a known one does", func() {
			_, isUnmeasured := speeds.OfUnmeasured(mgspeed.Engine{Upstream: "5", Service: service, Start: 9})
			So(isUnmeasured, ShouldBeTrue)
		})
	})
	Convey("Where all engines are alike, one of which nothing is known counts as one of them", t, func() {
		var l mgspeed.Learner
		for now := mgclock.Millis(0); now <= 10_000; now += 100 {
			for i := range 6 {
				l.RecordTokens(now, mgspeed.Engine{Upstream: fmt.Sprint(i), Service: service}, 4, 4*7, mgspeed.State{})
			}
		}
		_, isUnmeasured := mgspeed.Estimate(l.Sums(10_000)).OfUnmeasured(mgspeed.Engine{Upstream: "fresh", Service: service})
		So(isUnmeasured, ShouldBeFalse)
	})
}
