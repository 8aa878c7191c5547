package mgnode

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgrelay"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgsettings"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgload"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgspeed"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// measureEngines has an entry measure the streams of engines until ctx ends. The engine 0 is 1.8
// times as slow as the others.
func measureEngines(ctx context.Context, n *Node, engines int) {
	for n.clock.Sleep(ctx, 100) {
		now := n.clock.Now()
		for i := range engines {
			elapsed := mgclock.Millis(4 * mgspeed.DefaultStep)
			if i == 0 {
				elapsed = elapsed * 18 / 10
			}
			n.speeds.learner.RecordTokens(now, mgspeed.Engine{
				Upstream: fmt.Sprint("engine-", i),
				Service:  "llm",
				Start:    3,
			}, 4, elapsed, mgspeed.State{})
		}
	}
}

// deviating reports whether a process knows that the engine 0 is slow, and no other one is.
func deviating(n *Node) bool {
	rows := n.speeds.known.Load().Report().Speeds
	return len(rows) == 1 && rows[0].Upstream == "engine-0"
}

// Guards against measurements that don't reach the hub or the other entries, that are lost with
// the hub, or that an entry loses whose hub is of the previous release.
func TestMeasurementsLost(t *testing.T) {
	cases := []struct {
		name      string
		measuring func(c *permitCluster, hub int) []int // entries that run streams
		scenario  func(c *permitCluster, hub int, sleep func(mgclock.Millis))
		skip      func(hub int) int // an entry that isn't asked in the end, or -1
	}{
		{
			name:      "that one entry other than the hub makes",
			measuring: func(_ *permitCluster, hub int) []int { return []int{(hub + 1) % 3} },
		},
		{
			name:      "that the hub makes",
			measuring: func(_ *permitCluster, hub int) []int { return []int{hub} },
		},
		{
			name:      "that another entry made before the hub died",
			measuring: func(_ *permitCluster, hub int) []int { return []int{(hub + 1) % 3} },
			scenario: func(c *permitCluster, hub int, sleep func(mgclock.Millis)) {
				sleep(5 * mgclock.Second)
				c.setCut(func(from, to int) bool { return from == hub || to == hub })
			},
			skip: func(hub int) int { return hub },
		},
		{
			name:      "that each entry makes, with a hub of the previous release",
			measuring: func(*permitCluster, int) []int { return []int{0, 1, 2} },
			scenario: func(c *permitCluster, hub int, _ func(mgclock.Millis)) {
				c.nodes[hub].speeds.isOn.Store(false)
			},
			skip: func(hub int) int { return hub },
		},
	}
	Convey("All entries know which engine is slow by measurements", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				var known []bool
				var at int
				synctest.Test(t, func(t *testing.T) {
					cluster := newPermitCluster(t, 3, 1)
					ctx, cancel := context.WithCancel(context.Background())
					hub := 0
					for i, n := range cluster.nodes {
						n.speeds.isOn.Store(true)
						if n.hubPeer() == nil {
							hub = i
						}
					}
					if c.scenario != nil {
						go c.scenario(cluster, hub, func(pause mgclock.Millis) { cluster.clock.Sleep(ctx, pause) })
					}
					time.Sleep(time.Millisecond)
					for _, i := range c.measuring(cluster, hub) {
						go measureEngines(ctx, cluster.nodes[i], 5)
					}
					for _, n := range cluster.nodes {
						if n.speeds.isOn.Load() {
							go n.exchangeSpeeds(ctx)
						}
						go n.reportLoads(ctx, &mgload.Tracker{}) // suspects a hub that died
					}
					time.Sleep(15 * time.Second)
					skip := -1
					if c.skip != nil {
						skip = c.skip(hub)
					}
					for i, n := range cluster.nodes {
						if i != skip {
							known = append(known, deviating(n))
							at++
						}
					}
					cancel()
					time.Sleep(time.Second)
				})
				So(at, ShouldBeGreaterThan, 1)
				So(known, ShouldNotContain, false)
			})
		}
	})
}

// Guards against an entry whose setting has no effect.
func TestSpeedsSettingIgnored(t *testing.T) {
	Convey("An entry's relay measures engines and uses their speeds: by the setting", t, func() {
		for _, isOn := range []bool{true, false} {
			n := originNode(t, "")
			n.relayHeaders = &mgrelay.HeaderNames{}
			n.speeds.isOn.Store(isOn)
			spec := n.relaySpec(mgsettings.Entry{})
			So(spec.Learner != nil, ShouldEqual, isOn)
			So(spec.Speeds != nil, ShouldEqual, isOn)
		}
		var settings mgsettings.Entry
		So(mgsettings.Parse("entry", []byte("speeds = false"), &settings), ShouldNotBeNil) // lacks other keys
		So(settings.Speeds, ShouldBeFalse)
		So(mgsettings.Parse("entry", nil, &settings), ShouldNotBeNil)
		So(settings.Speeds, ShouldBeTrue)
	})
}

// Guards against reports of measurements that take more than their part of what entries may send one another at 300
// entries and 3,000 engines. An entry of a cell of 38 runs streams at some 170 of its 375 engines.
func TestSpeedReportsExceedBandwidth(t *testing.T) {
	const (
		engines  = 170
		maxBytes = 4000 // a second, of 15,000 for all control traffic
	)
	Convey("A report of measurements of 170 engines", t, func() {
		random := rand.New(rand.NewPCG(1, 1))
		var l mgspeed.Learner
		for now := mgclock.Millis(0); now < 10_000; now += 100 {
			for i := range engines {
				slow := 1 + float64(i%7)/4 // many deviate
				l.RecordTokens(now, mgspeed.Engine{
					Upstream: fmt.Sprintf("engine-%d-%08x", i, uint32(i)*2654435761),
					Service:  "llm",
					Start:    1_790_000_000_000 + int64(i)*7919,
				}, 4, mgclock.Millis(28*slow*(1+0.2*random.Float64())), mgspeed.State{Runs: random.IntN(9)})
			}
		}
		sums := l.Sums(10_000)[:engines]
		request, err := compressJSON(speedsRequest{
			Entry: "entry-12",
			Sums:  sums,
		})
		So(err, ShouldBeNil)
		report := mgspeed.Estimate(sums).Report()
		So(report.Speeds, ShouldNotBeEmpty)
		reply, err := compressJSON(report)
		So(err, ShouldBeNil)
		interval := speedsInterval(len(sums) + len(report.Speeds))
		rate := float64(len(request)+len(reply)) / float64(interval) * 1000
		t.Logf("%d bytes of %d rows and %d of %d rows each %d ms: %.0f bytes a second", len(request), len(sums),
			len(reply), len(report.Speeds), interval, rate)
		So(rate, ShouldBeLessThan, maxBytes)
	})
}
