package mgconfig

import (
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Guards against reads of the platform that grow with the number of entries: it bills a
// hundred entries 4,000 reads in 48 s. Dozens of engines come and go; each entry that
// learns of a newer list requests it from a peer and reads it as well, because its own
// watch ends with the next heartbeat of any engine.
func TestPlatformReadsGrowWithEntries(t *testing.T) {
	Convey("While the list changes three times a second", t, func() {
		const (
			warmUp = 15 * sec
			period = 12 * sec
			// half of an engine's notice of 1.5 s
			maxDelay = 750 * mgclock.Millis(1)
			// a thousand reads in 48 s at low load
			maxReads = 1000 * int(period) / int(48*sec)
		)
		reads := map[int]int{}
		for _, count := range []int{25, 100} {
			f := newLongPollFleet(uint64(count), count)
			f.startAll()
			f.net.Run(warmUp)
			var delays []mgclock.Millis
			for change := 0; f.net.Now() < warmUp+period; change++ {
				began := f.net.Now()
				delays = append(delays, f.timeUntilKnown(change, 1))
				f.net.Run(max(f.net.Now(), began+300))
			}
			reads[count] = f.readsSince(warmUp)
			slices.Sort(delays)
			t.Logf("%d entries: %d reads, %d changes known everywhere after %d ms (median) and %d ms (maximum)",
				count, reads[count], len(delays), delays[len(delays)/2], delays[len(delays)-1])
			So(delays[len(delays)-1], ShouldBeLessThanOrEqualTo, maxDelay)
			So(reads[count], ShouldBeLessThanOrEqualTo, maxReads)
		}
		// Three processes (watchersPerCell) in each of the four cells watch for versions
		// of the table.
		So(reads[100], ShouldBeLessThanOrEqualTo, reads[25]*3/2)
	})
}

// otherHub returns a hub that isn't the reader.
func otherHub(f *fleet) string {
	for _, n := range f.nodes {
		if hub := f.hubOf(n); hub != f.reader() {
			return hub
		}
	}
	return ""
}

// The region's reader or the hub of a cell dies or stalls. An engine gives notice of
// two seconds at that moment, and its answers are cut off unless the others learn of it
// on another path.
func TestListDelayedWhenReaderOrHubFails(t *testing.T) {
	const pauseDuration = 4 * sec
	die := func(f *fleet, name string) { f.kill(name) }
	pause := func(f *fleet, name string) { f.net.Pause(name, pauseDuration) }
	for _, c := range []struct {
		name   string
		victim func(*fleet) string
		fail   func(*fleet, string)
		share  float64 // share of the entries that must know: a stalled one can't
	}{
		{
			name:   "the reader of a region dies",
			victim: (*fleet).reader,
			fail:   die,
			share:  1,
		},
		{
			name:   "the hub of a cell dies",
			victim: otherHub,
			fail:   die,
			share:  1,
		},
		{
			name:   "the reader of a region stalls",
			victim: (*fleet).reader,
			fail:   pause,
			share:  0.99,
		},
		{
			name:   "the hub of a cell stalls",
			victim: otherHub,
			fail:   pause,
			share:  0.99,
		},
	} {
		Convey("When "+c.name, t, func() {
			f := newLongPollFleet(7, 100)
			f.startAll()
			f.net.Run(15 * sec)
			victim := c.victim(f)
			So(victim, ShouldNotBeEmpty)
			c.fail(f, victim)
			delay := f.timeUntilKnown(1, c.share)
			t.Logf("the next change was known after %d ms", delay)
			So(delay, ShouldBeLessThanOrEqualTo, 1500)
			// Later, even after a stalled one resumes, changes are known as fast as
			// before.
			f.net.Run(f.net.Now() + pauseDuration + sec)
			So(f.timeUntilKnown(2, 1), ShouldBeLessThanOrEqualTo, 750)
		})
	}
}

// Half of a region's entries are cut off from the region's reader, but not from the
// platform. That half misses a departure.
func TestListDelayedWhenReaderUnreachable(t *testing.T) {
	Convey("A change is known although half of the entries can't reach the reader", t, func() {
		f := newLongPollFleet(9, 100)
		f.startAll()
		f.net.Run(15 * sec)
		reader := f.reader()
		half := map[string]bool{}
		for i, n := range f.nodes {
			half[n.name] = i%2 == 0 && n.name != reader
		}
		f.net.SetLoss(0, func(from, to string) bool {
			return from == reader && half[to] || to == reader && half[from]
		})
		So(f.timeUntilKnown(1, 1), ShouldBeLessThanOrEqualTo, 1500)
	})
}

// The platform refuses all calls for eight seconds. A hundred entries retry twice a
// second each, 3,300 times in all; or they retry so rarely that they miss an engine's
// notice just after the platform is back.
func TestRetryStormWhilePlatformDown(t *testing.T) {
	Convey("While the platform refuses all calls", t, func() {
		const outage = 8 * sec
		f := newLongPollFleet(11, 100)
		f.startAll()
		f.net.Run(15 * sec)
		before := f.readsSince(0)
		f.platform.down = true
		f.net.Run(15*sec + outage)
		reads := f.readsSince(0) - before
		t.Logf("100 entries made %d reads in %d ms", reads, outage)
		So(reads, ShouldBeLessThanOrEqualTo, 1000)
		f.platform.down = false
		delay := f.timeUntilKnown(1, 1)
		t.Logf("the next change was known everywhere after %d ms", delay)
		So(delay, ShouldBeLessThanOrEqualTo, 1500)
	})
}

// Guards against processes that take an old report for the platform's answer, while the
// platform refuses the calls of the region's reader.
func TestOldReportTakenAsFresh(t *testing.T) {
	Convey("A list without the platform's confirmation is not reported as fresh", t, func() {
		m, _ := machineWithoutPeers()
		m.spec.QuickInterval = 60
		m.listKeyState.confirmedAt = 1000
		m.listKeyState.failures = 1
		So(m.Report(1200).Age, ShouldBeLessThan, 0)
		Convey("unless another process's report confirms it", func() {
			m.peerConfirmedAt = 1100
			m.listKeyState.confirmedAt = 1100
			So(m.Report(1200).Age, ShouldEqual, 100)
			So(m.Report(1100+maxReportAge).Age, ShouldBeLessThan, 0)
		})
	})
}
