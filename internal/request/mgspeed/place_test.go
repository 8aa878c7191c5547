package mgspeed_test

import (
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// score sums several plays.
type score struct {
	onTime, late, refused, deviating int
	finish                           float64 // ms, mean
}

const (
	plays       = 6
	playSeconds = 40
)

// playAll plays 12 engines under a policy, with the same requests for each policy.
func playAll(kind func(i int) speedAt, load float64, choose policy, start func(now float64) int64) score {
	var all [plays]*play
	var wait sync.WaitGroup
	for seed := range all {
		var speeds []speedAt
		for i := range 12 {
			speeds = append(speeds, kind(i))
		}
		p := newPlay(speeds, choose)
		for _, e := range p.engines {
			e.start = start
		}
		all[seed] = p
		wait.Go(func() { p.run(playSeconds, load*12*pairRate, uint64(seed)) })
	}
	wait.Wait()
	var s score
	for _, p := range all {
		s.onTime += p.onTime
		s.late += p.late
		s.refused += p.refused
		s.finish += p.meanFinish() / plays
		for _, count := range p.deviating {
			s.deviating += count
		}
	}
	return s
}

// Guards against a placement by learned speeds that is worse than one that knows the engines, or
// than one by the published speed of one kind of engine.
func TestPlacementByLearnedSpeeds(t *testing.T) {
	cases := []struct {
		name  string
		kind  func(i int) speedAt
		start func(now float64) int64
		equal bool // no engine may deviate at any time
		// gain is by how much the mean finish time must be shorter than by constants, at 0.6
		// of the load that the engines bear.
		gain float64
	}{
		{
			name: "fast, normal, slow and bending engines",
			kind: func(i int) speedAt {
				return []speedAt{constant(1.6), constant(1), constant(1 / 1.8), bending}[i%4]
			},
			gain: 0.08,
		},
		{
			name: "one slow engine of six",
			kind: func(i int) speedAt {
				if i%6 == 0 {
					return constant(1 / 1.8)
				}
				return constant(1)
			},
			gain: 0.01,
		},
		{
			name:  "equal engines",
			kind:  func(int) speedAt { return constant(1) },
			equal: true,
		},
		{
			name: "engines that are slow in spells",
			kind: func(i int) speedAt { return inSpells(uint64(i)) },
		},
		{
			name: "engines that are replaced by others of another speed, with a new incarnation",
			kind: func(i int) speedAt {
				if i%2 == 0 {
					return changing(1/1.8, 1, 20_000)
				}
				return changing(1, 1/1.8, 20_000)
			},
			start: func(now float64) int64 {
				if now < 20_000 {
					return 1
				}
				return 2
			},
		},
		{
			name: "engines that are replaced by others of another speed, under the same incarnation",
			kind: func(i int) speedAt {
				if i%2 == 0 {
					return changing(1/1.8, 1, 20_000)
				}
				return changing(1, 1/1.8, 20_000)
			},
		},
	}
	Convey("Placement by learned speeds", t, func() {
		for _, c := range cases {
			Convey("at "+c.name, func() {
				for _, load := range playedLoads {
					constants := playAll(c.kind, load, byConstants, c.start)
					model := playAll(c.kind, load, byModel, c.start)
					oracle := playAll(c.kind, load, byTruth, c.start)
					seconds := float64(plays * playSeconds)
					for _, row := range []struct {
						name string
						score
					}{{"constants", constants}, {"model", model}, {"oracle", oracle}} {
						t.Logf("%s, load %.1f, by %s: %.2f/s on time, %d late, %d refused, finish after %.0f ms", c.name, load,
							row.name, float64(row.onTime)/seconds, row.late, row.refused, row.finish)
					}
					So(float64(model.onTime), ShouldBeGreaterThanOrEqualTo, 0.95*float64(oracle.onTime))
					So(model.finish, ShouldBeLessThanOrEqualTo, oracle.finish/0.95)
					So(float64(model.onTime), ShouldBeGreaterThanOrEqualTo, 0.99*float64(constants.onTime))
					So(model.finish, ShouldBeLessThanOrEqualTo, 1.01*constants.finish)
					if load == 0.6 {
						So(model.finish, ShouldBeLessThanOrEqualTo, (1-c.gain)*constants.finish)
					}
					if c.equal {
						So(model.deviating, ShouldEqual, 0)
						So(model, ShouldResemble, constants)
					}
				}
			})
		}
	})
}

// Guards against an engine that is marked as slow for long since it is slow in spells.
func TestSpellsMarkEngines(t *testing.T) {
	Convey("Of 12 engines that are slow in spells, few deviate at any time", t, func() {
		total := 0
		for _, load := range playedLoads {
			s := playAll(func(i int) speedAt { return inSpells(uint64(i)) }, load, byModel, nil)
			total += s.deviating
		}
		seconds := len(playedLoads) * plays * playSeconds
		t.Logf("%d of %d seconds of engines", total, 12*seconds)
		So(total, ShouldBeLessThan, 12*seconds/100)
	})
}
