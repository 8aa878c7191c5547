package mgconfig

import (
	"context"
	"encoding/json"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgrpc"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// machineWithoutPeers returns a machine on a platform that lists one upstream and no
// process, and its members.
func machineWithoutPeers() (*Machine, *mgmember.Members) {
	members := mgmember.New("entry-1")
	m := NewMachine(0, MachineSpec{
		Name: "entry-1",
		Zone: "a",
	}, members)
	m.listKeyState.finishRead(0, ActionResult{Value: mgplatform.NewValue(5, nil)}, m)
	m.adoptList(0, upstreamList(5, mgplatform.Live))
	return m, members
}

func upstreamList(version uint64, state string) []byte {
	data, _ := json.Marshal(mgplatform.VMList{
		Version: version,
		VMs: []mgplatform.VM{
			{
				Name:     "engine-1",
				Kind:     mgplatform.UpstreamKind,
				Upstream: "engine-1",
				Zone:     "a",
				Services: []string{"reports"},
				State:    state,
			},
		},
	})
	return data
}

// Guards against a request that is cut off because an entry sends it to an engine two
// seconds after the engine announced that it leaves. The entry's watch hangs on a
// partitioned connection; its peers know, but a minimum
// interval of five seconds since its last fetch keeps the entry from fetching their list.
func TestDepartureMissedWhileWatchHangs(t *testing.T) {
	Convey("A newer list is fetched from peers while the own watch hangs", t, func() {
		m, members := machineWithoutPeers()
		So(m.readPlatform(sec), ShouldNotBeEmpty) // a watch that never returns
		fetches := 0
		for at := sec; at < 3*sec; at += 200 {
			for _, action := range m.applySummary(at, &mgrpc.Summary{
				Name:        "entry-2",
				Incarnation: "life",
				Addr:        "10.0.0.2:1",
				List:        5 + uint64(at),
			}) {
				if action.Kind() != Fetch {
					continue
				}
				fetches++
				m.HandleResult(at, ActionResult{
					Action: action,
					List:   upstreamList(5+uint64(at), mgplatform.Leaving),
				})
			}
		}
		So(fetches, ShouldEqual, 10)
		So(members.View().Hosts("reports"), ShouldBeEmpty)
	})
}

// No entry is ready for half a minute after a start: the platform lists upstreams only,
// each entry treats another process as the watcher, and reads the platform only at its
// own rare poll (pollIntervalMin).
func TestUnlistedProcessWaitsForPoll(t *testing.T) {
	Convey("A process that the list doesn't name", t, func() {
		m, members := machineWithoutPeers()
		Convey("watches the platform itself", func() {
			So(m.isWatcher(), ShouldBeTrue)
		})
		Convey("is ready without peers, because upstreams aren't peers", func() {
			So(m.countLiveOthers(), ShouldEqual, 0)
		})
		Convey("learns of another process from its summary", func() {
			m.applySummary(sec, &mgrpc.Summary{
				Name:        "entry-2",
				Incarnation: "life",
				Addr:        "10.0.0.2:1",
			})
			peers := members.View().Peers()
			So(len(peers), ShouldEqual, 1)
			So(peers[0].PeerAddr(), ShouldEqual, "10.0.0.2:1")
			Convey("and forgets it when it was not seen for a while", func() {
				members.Tick(sec + mgclock.Minute)
				So(members.View().Peers(), ShouldBeEmpty)
			})
		})
	})
}

// Guards against watches that ignore the settings: a platform loses answers, and the
// operator sets short waits. Without them a lost answer hides a change for twenty-five
// seconds.
func TestWatchIgnoresSettings(t *testing.T) {
	Convey("Timeouts and backoff follow the settings", t, func() {
		m, _ := machineWithoutPeers()
		m.spec.WatchWait = 2 * sec
		m.spec.AnswerTimeout = 500
		for _, action := range m.readPlatform(sec) {
			if action.Kind() == Watch {
				So(actionTimeout(action), ShouldEqual, 2500)
			}
		}
		m.spec.MaxBackoff = sec
		for n := range 20 {
			m.listKeyState.finishRead(mgclock.Millis(n)*sec, ActionResult{Err: mgplatform.ErrUnavailable}, m)
			So(m.listKeyState.next, ShouldBeLessThanOrEqualTo, mgclock.Millis(n)*sec+1500)
		}
	})
}

// Guards against two entries that know only the same seed and never learn of each other.
// Each then computes itself as the one that grants migration slots (package mgmigration);
// the transfers of two migrations share a link, and the callers of both see a pause.
func TestSeedPeersNeverMeet(t *testing.T) {
	Convey("A summary names processes that were seen recently", t, func() {
		m, members := machineWithoutPeers()
		exchange := func(at mgclock.Millis, name string, known ...*mgrpc.Known) *mgrpc.Summary {
			reply, _ := m.HandleExchange(at, &mgrpc.Summary{
				Name:        name,
				Incarnation: "life",
				Addr:        name + ":1",
				Zone:        "b",
				Known:       known,
			})
			return reply
		}
		exchange(sec, "entry-2")
		reply := exchange(2*sec, "entry-3")
		So(len(reply.GetKnown()), ShouldEqual, 1)
		So(reply.GetKnown()[0].GetName(), ShouldEqual, "entry-2")
		So(reply.GetKnown()[0].GetZone(), ShouldEqual, "b")
		Convey("and a process that it names becomes known, but isn't named to others", func() {
			reply := exchange(3*sec, "entry-3", &mgrpc.Known{
				Name: "entry-4",
				Addr: "entry-4:1",
			})
			_, ok := members.View().Member("entry-4")
			So(ok, ShouldBeTrue)
			for _, k := range reply.GetKnown() {
				So(k.GetName(), ShouldNotEqual, "entry-4")
			}
		})
		Convey("and a dead process is forgotten although others named it", func() {
			for at := 3 * sec; at < 60*sec; at += 2 * sec {
				exchange(at, "entry-3")
				members.Tick(at)
			}
			_, ok := members.View().Member("entry-2")
			So(ok, ShouldBeFalse)
		})
	})
}

// The platform loses a third of its answers and keeps the connections open. Every
// entry's watch hangs for six seconds, and engines that announced that they leave end
// with all running work.
func TestLostAnswerHidesChange(t *testing.T) {
	Convey("A list whose changes must be known soon", t, func() {
		m, _ := machineWithoutPeers()
		m.spec.QuickInterval = 60
		m.spec.WatchWait = 5 * sec
		m.spec.AnswerTimeout = sec
		Convey("is watched for at most a second, including the answer", func() {
			for _, action := range m.readPlatform(sec) {
				if action.Key() == mgplatform.ListKey {
					So(actionTimeout(action), ShouldBeLessThanOrEqualTo, sec)
				}
			}
		})
		Convey("is read again at once after a failure", func() {
			m.listKeyState.failures = 0
			m.listKeyState.finishRead(sec, ActionResult{Err: mgplatform.ErrUnavailable}, m)
			So(m.listKeyState.next-sec, ShouldBeLessThanOrEqualTo, 3*firstRetryDelay)
			So(m.IsListStale(sec), ShouldBeTrue)
		})
	})
}

// Guards against a fetch that waits for a dead peer. A new route then answers 404 at
// one entry for three seconds after it was accepted: the entry's watch hangs, and the
// peer from which it fetches the version loses power before it answers.
func TestFetchWaitsForDeadPeer(t *testing.T) {
	Convey("A version is fetched from another peer when the first doesn't answer", t, func() {
		m, _ := machineWithoutPeers()
		m.spec.FetchTimeout = 600
		summary := func(name string) *mgrpc.Summary {
			return &mgrpc.Summary{
				Name:        name,
				Incarnation: "life",
				Addr:        name + ":1",
				Version:     14,
				Digest:      "d",
			}
		}
		first := m.applySummary(sec, summary("dark"))
		So(len(first), ShouldEqual, 1)
		So(first[0].Kind(), ShouldEqual, Fetch)
		So(actionTimeout(first[0]), ShouldEqual, 600)
		So(m.applySummary(sec, summary("other")), ShouldBeEmpty)
		second := m.HandleResult(sec+600, ActionResult{
			Action: first[0],
			Err:    context.DeadlineExceeded,
		})
		So(len(second), ShouldEqual, 1)
		So(second[0].Addr(), ShouldEqual, "other:1")
	})
}

// Guards against a departure that isn't forwarded: one entry asks an engine and learns
// that it is leaving. The others ask a second later, and what runs there for them is cut
// off.
func TestDepartureNotForwarded(t *testing.T) {
	Convey("An upstream's announcement that it leaves reaches the peers", t, func() {
		m, members := machineWithoutPeers()
		m.applySummary(sec, &mgrpc.Summary{
			Name:        "entry-2",
			Incarnation: "life",
			Addr:        "10.0.0.2:1",
		})
		actions := m.HandleDeparture(sec, "engine-1")
		So(members.View().Hosts("reports"), ShouldBeEmpty)
		So(actions, ShouldNotBeEmpty)
		So(actions[0].Summary().GetDeparted(), ShouldResemble, []string{"engine-1 0"})
		So(m.HandleDeparture(sec, "engine-1"), ShouldBeEmpty)
		Convey("which apply and forward it", func() {
			other, known := machineWithoutPeers()
			summary := actions[0].Summary()
			summary.Name = "entry-9" // both machines of this test have the same name
			forwarded := other.applySummary(sec, summary)
			So(known.View().Hosts("reports"), ShouldBeEmpty)
			So(forwarded, ShouldNotBeEmpty)
			So(forwarded[0].Summary().GetDeparted(), ShouldResemble, []string{"engine-1 0"})
			So(other.applySummary(sec, summary), ShouldBeEmpty)
		})
		Convey("and is forwarded for a limited time only", func() {
			m.now = sec + departureTTL
			So(m.departures(), ShouldBeEmpty)
		})
	})
}

// All entries restart while the platform is down for two more seconds. When it answers
// again, they still wait, because they back off for as long as a process that has a
// table and serves callers.
func TestFirstReadBacksOffTooLong(t *testing.T) {
	Convey("A process without a table retries soon, with increasing delays", t, func() {
		m := NewMachine(0, MachineSpec{
			Name:       "entry-1",
			MaxBackoff: sec,
		}, mgmember.New("entry-1"))
		at, readCount := mgclock.Millis(0), 0
		for at < 10*sec {
			m.listKeyState.finishRead(at, ActionResult{Err: mgplatform.ErrUnavailable}, m)
			if at < sec {
				readCount++
			}
			So(m.listKeyState.next-at, ShouldBeBetweenOrEqual, firstRetryDelay/2, sec+firstRetryDelay)
			at = m.listKeyState.next
		}
		So(readCount, ShouldBeGreaterThanOrEqualTo, 4)
	})
}

// All entries start before the operators publish the first table. Each reads it again
// and again, and the platform bills three hundred reads that found nothing.
func TestMissingTableReadTooOften(t *testing.T) {
	Convey("A value that isn't published yet is read about once a second", t, func() {
		m, _ := machineWithoutPeers()
		m.spec.QuickInterval = 60
		for n := range 20 {
			at := mgclock.Millis(n) * sec
			m.manifestKeyState.finishRead(at, ActionResult{Err: mgplatform.ErrMissing}, m)
			So(m.manifestKeyState.next-at, ShouldBeBetweenOrEqual, sec/2, 3*sec/2)
		}
	})
}

// Guards against two faults. If every entry of a region watches the list quickly, the
// platform counts each call. If none does, an engine's notice of two seconds is half over
// when it is seen.
func TestMoreThanOneQuickWatcher(t *testing.T) {
	Convey("Exactly one process of a region watches quickly", t, func() {
		names := []string{"entry-1", "entry-2", "entry-3"}
		quickWatchers := 0
		for _, name := range names {
			members := mgmember.New(name)
			m := NewMachine(0, MachineSpec{
				Name:          name,
				Region:        "south",
				QuickInterval: 60,
			}, members)
			m.adoptList(0, upstreamList(5, mgplatform.Live))
			for _, other := range names {
				if other == name {
					continue
				}
				members.Introduce(0, mgplatform.VM{
					Name:   other,
					Kind:   mgplatform.EntryKind,
					Addr:   other,
					Region: "south",
				})
			}
			// Before discoveryWindow is over, a process that nobody polls may merely
			// not know the others.
			interval := m.nextReadAt(discoveryWindow, &m.listKeyState) - discoveryWindow
			if interval == 60 {
				quickWatchers++
			} else {
				So(interval, ShouldEqual, slowWatchInterval)
			}
			So(m.nextReadAt(0, &m.manifestKeyState), ShouldEqual, watchInterval)
		}
		So(quickWatchers, ShouldEqual, 1)
	})
	Convey("A process that knows no other one watches quickly", t, func() {
		m, _ := machineWithoutPeers()
		m.spec.QuickInterval = 60
		So(m.nextReadAt(0, &m.listKeyState), ShouldEqual, 60)
	})
}

// The platform stops answering without an error, and an engine gives notice in the same
// second. Guards against requests that are cut off there 1.7 s later: the engine would
// have told of its departure, but entries asked it only once the list was 1.5 s old.
func TestSilentPlatformHidesNotice(t *testing.T) {
	Convey("The quick watcher treats its list as stale once two watches are overdue", t, func() {
		m, _ := machineWithoutPeers()
		m.spec.QuickInterval = 60
		m.listKeyState.confirmedAt = 1000
		So(m.IsListStale(1000+quickStaleTimeout-1), ShouldBeFalse)
		So(m.IsListStale(1000+quickStaleTimeout), ShouldBeTrue)
	})
}
