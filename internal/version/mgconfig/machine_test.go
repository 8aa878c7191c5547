package mgconfig

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

const sec = mgclock.Second

// schedules is the number of fault schedules that TestSchedules runs.
var schedules = flag.Int("schedules", 100, "number of seeded schedules of faults")

// startedFleet returns a fleet with version 1 in force.
func startedFleet(seed uint64, count int) *fleet {
	f := newFleet(seed, count, 0)
	f.publish(1, 0)
	f.startAll()
	f.net.Run(20 * sec)
	So(f.versions(), ShouldResemble, map[uint64]int{1: count})
	return f
}

func TestSpread(t *testing.T) {
	Convey("A fleet with a version in force", t, func() {
		f := startedFleet(1, 14)
		all := func(version uint64) map[uint64]int { return map[uint64]int{version: 14} }

		Convey("has the next version within seconds", func() {
			f.publish(2, 1)
			f.net.Run(28 * sec)
			So(f.versions(), ShouldResemble, all(2))
		})
		Convey("keeps the newest version while the platform is stale", func() {
			// An operator lowers a cap, and an hour later one entry still allows the
			// old rate: the platform lost a replica and shows an older version, and the
			// entry's VM has just been replaced.
			f.platform.setStale(true)
			f.platform.frozen[mgplatform.ManifestKey] = f.platform.values[mgplatform.ManifestKey]
			f.publish(2, 1)
			f.platform.stale = false
			f.net.Run(28 * sec)
			f.platform.stale = true
			f.startNode(3)
			f.net.Run(60 * sec)
			So(f.versions(), ShouldResemble, all(2))
			So(f.nodes[3].readyAt, ShouldBeLessThan, 34*sec)
		})
		Convey("starts a new process while the platform is down, from its peers", func() {
			f.platform.down = true
			f.startNode(3)
			f.nodes[3].machine.spec.Seeds = []string{"vm-0001", "vm-0002"}
			f.net.Run(30 * sec)
			So(f.nodes[3].machine.Ready(f.net.Now()), ShouldBeTrue)
			So(f.versions(), ShouldResemble, all(1))
		})
		Convey("doesn't let a new process serve that gets no peer's answer", func() {
			// A request is accepted under a table from last week: the process that
			// accepted it started in a partition, alone with a stale platform, while
			// the list named thirteen others.
			f.net.SetLoss(0, func(from, to string) bool {
				return (from == "vm-0003" || to == "vm-0003") && from != "platform" && to != "platform"
			})
			f.startNode(3)
			f.net.Run(80 * sec)
			So(f.nodes[3].machine.Current().Version(), ShouldEqual, 1)
			So(f.nodes[3].machine.Ready(f.net.Now()), ShouldBeFalse)
			f.net.SetLoss(0, nil)
			f.net.Run(120 * sec)
			So(f.nodes[3].machine.Ready(f.net.Now()), ShouldBeTrue)
		})
		Convey("rejects a faulty version everywhere and adopts the next", func() {
			f.publishFaulty(2)
			f.net.Run(30 * sec)
			So(f.versions(), ShouldResemble, all(1))
			version, err := f.nodes[0].machine.LastRejection()
			So(version, ShouldEqual, 2)
			So(err.Error(), ShouldContainSubstring, "column weight")
			f.publish(3, 1)
			f.net.Run(40 * sec)
			So(f.versions(), ShouldResemble, all(3))
		})
		Convey("waits for pages that are published after their manifest", func() {
			// The platform's values change one after another: a watcher reads a
			// manifest whose page isn't there yet.
			table, err := mgtable.Parse(tableText(2, 1))
			So(err, ShouldBeNil)
			m, pages, err := table.Pages(200)
			So(err, ShouldBeNil)
			f.platform.put(mgplatform.ManifestKey, m.Bytes())
			f.net.Run(25 * sec)
			So(f.versions(), ShouldResemble, all(1))
			for i, page := range pages {
				f.platform.put(mgplatform.PageKey(m.Pages[i]), page)
			}
			f.net.Run(40 * sec)
			So(f.versions(), ShouldResemble, all(2))
		})
		Convey("chooses the same one of two manifests under one version everywhere", func() {
			// Two operators publish at once, and each half of the fleet sees another
			// manifest.
			table, err := mgtable.Parse(tableText(2, 5))
			So(err, ShouldBeNil)
			f.publish(2, 1)
			f.net.Run(20*sec + 2)
			m, pages, _ := table.Pages(200)
			for i, page := range pages {
				f.platform.put(mgplatform.PageKey(m.Pages[i]), page)
			}
			f.platform.put(mgplatform.ManifestKey, m.Bytes())
			f.net.Run(40 * sec)
			for _, n := range f.nodes {
				So(n.machine.Current().Digest(), ShouldEqual, f.nodes[0].machine.Current().Digest())
			}
		})
		Convey("exchanges with the sender of a call that carries a newer version", func() {
			n := f.nodes[0]
			So(n.machine.ObserveVersion(f.net.Now(), 1, "vm-0001"), ShouldBeEmpty)
			actions := n.machine.ObserveVersion(f.net.Now(), 2, "vm-0001")
			So(actions, ShouldHaveLength, 1)
			So(actions[0].Peer(), ShouldEqual, "vm-0001")
			So(n.machine.ObserveVersion(f.net.Now(), 2, "vm-0001"), ShouldBeEmpty)
		})
		Convey("doesn't adopt a manifest under another version than its own", func() {
			n := f.nodes[0]
			old := n.machine.Current().manifest
			n.machine.learnVersion(f.net.Now(), versionKey{
				version: 9,
				digest:  mgtable.DigestOf(old).String(),
			}, peer{
				name: "vm-0001",
				addr: "vm-0001",
			})
			n.machine.applyManifest(f.net.Now(), old)
			So(n.machine.pull, ShouldBeNil)
			n.machine.applyManifest(f.net.Now(), []byte("{}"))
			So(n.machine.Status(f.net.Now()).RejectionReason, ShouldContainSubstring, "manifest")
		})
		So(f.regression, ShouldBeEmpty)
	})
}

// The platform is down for an hour, in which an operator publishes an edit to it. When
// it comes back, all processes that kept retrying read at once and overload it again.
func TestRetryStormAfterOutage(t *testing.T) {
	Convey("After an hour's outage the platform isn't overloaded, and the edit is in force", t, func() {
		const count = 42
		f := startedFleet(2, count)
		f.platform.down = true
		f.net.Run(3600 * sec)
		retries := f.readsSince(3000 * sec)
		f.publish(2, 1)
		f.platform.down = false
		f.net.Run(3640 * sec)
		Printf("%.2f reads a second while down, a peak of %d in a second after ", float64(retries)/600, f.platform.peak(3600*sec))
		So(float64(retries)/600, ShouldBeLessThan, 4.5)
		// Twenty-one watchers read at most a manifest and nine new pages each.
		So(f.platform.peak(3600*sec), ShouldBeLessThan, 60)
		So(f.versions(), ShouldResemble, map[uint64]int{2: count})
		So(f.regression, ShouldBeEmpty)
	})
}

// TestSchedules runs seeded schedules of faults: partitions between members and from
// the platform, loss, pauses, restarts, a platform that is down or stale, faulty
// versions. A member that goes back would undo an edit.
func TestSchedules(t *testing.T) {
	reverted, diverged := 0, 0
	for seed := range *schedules {
		f := runSchedule(uint64(seed))
		if f.regression != "" {
			reverted++
			t.Errorf("seed %d: %s", seed, f.regression)
		}
		last := f.nodes[0].machine.Current().key()
		for _, n := range f.nodes {
			if n.machine.Current().key() != last || last.version%4 == 0 {
				diverged++
				t.Errorf("seed %d: %s has %v, not %v", seed, n.name, n.machine.Current().key(), last)
				break
			}
		}
	}
	t.Logf("%d schedules: %d with a member that went back, %d without agreement after the faults ended", *schedules, reverted, diverged)
}

// runSchedule runs a minute of faults and then 90 s without faults. Every fourth
// version is faulty, but not the last.
func runSchedule(seed uint64) *fleet {
	rng := rand.New(rand.NewPCG(seed, 3))
	f := newFleet(seed, 8, sec)
	f.publish(1, 0)
	f.startAll()
	version := uint64(1)
	for f.net.Now() < 60*sec {
		f.net.Run(f.net.Now() + mgclock.Millis(200+rng.IntN(3000)))
		switch rng.IntN(8) {
		case 0:
			f.net.SetLoss(0, nil)
		case 1:
			f.net.SetLoss(0.2, nil)
		case 2, 3:
			side := rng.Uint64()
			f.net.SetLoss(0, func(from, to string) bool { return half(side, from) != half(side, to) })
		case 4:
			f.net.Pause(f.nodes[rng.IntN(8)].name, mgclock.Millis(rng.IntN(15_000)))
		case 5:
			f.startNode(rng.IntN(8))
		case 6:
			f.platform.down = rng.IntN(2) == 0
			f.platform.setStale(rng.IntN(2) == 0)
		case 7:
			version++
			if version%4 == 0 {
				f.publishFaulty(version)
				break
			}
			f.publish(version, rng.IntN(7))
		}
	}
	f.net.SetLoss(0, nil)
	f.platform.down = false
	f.platform.stale = false
	f.publish(version+4-version%4+1, 3)
	f.net.Run(f.net.Now() + 90*sec)
	return f
}

// half returns the side of a partition on which a member, or the platform, is. In the
// bit mask side, bit i is the side of vm-i, and bit 63 that of the platform.
func half(side uint64, name string) bool {
	bit := 63
	_, _ = fmt.Sscanf(name, "vm-%d", &bit)
	return side>>bit&1 == 1
}

func TestServe(t *testing.T) {
	Convey("A damaged value from a peer is an error", t, func() {
		_, _, err := decompressReply(&mgrpc.FetchReply{
			Values: [][]byte{{1, 2, 3}},
		})
		So(err, ShouldWrap, errDamagedValue)
		_, _, err = decompressReply(&mgrpc.FetchReply{
			List: compress(make([]byte, maxValueBytes+1)),
		})
		So(err, ShouldWrap, errDamagedValue)
	})
}
