package mgorigin

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

func messageBytes(message Message) int {
	data, err := json.Marshal(message)
	if err != nil {
		return 0
	}
	return len(data)
}

// Guards against streams that can't be resumed because the record of their origin was lost with
// processes that ended, restarted or were cut off.
func TestRecordLostWithProcesses(t *testing.T) {
	const streams = 40
	cases := []struct {
		name  string
		count int
		fail  func(m *mesh)
		found float64 // least part of the streams whose origin must be known
	}{
		{
			name:  "the process that relayed them is killed",
			count: 5,
			fail:  func(m *mesh) { m.kill("front-0") },
			found: 1,
		},
		{
			name:  "it is killed and started again",
			count: 5,
			fail: func(m *mesh) {
				m.kill("front-0")
				m.start("front-0")
			},
			found: 1,
		},
		{
			name:  "it is cut off",
			count: 5,
			fail:  func(m *mesh) { m.cutOff("front-0", true) },
			found: 1,
		},
		{
			name:  "it and three of four others are killed",
			count: 5,
			fail: func(m *mesh) {
				for i := range 4 {
					m.kill(fmt.Sprint("front-", i))
				}
			},
			found: 1,
		},
		{
			name:  "all others restart in turn before it is killed",
			count: 5,
			fail: func(m *mesh) {
				for _, name := range m.names[1:] {
					m.kill(name)
					m.start(name)
					time.Sleep(3 * time.Second)
				}
				m.kill("front-0")
			},
			found: 1,
		},
		{
			name:  "a partition of it heals before it is killed",
			count: 5,
			fail: func(m *mesh) {
				m.cutOff("front-0", true)
				for i := range streams {
					m.of("front-0").Announce(recordOf(fmt.Sprint("cut ", i), "v1"))
				}
				time.Sleep(5 * time.Second)
				m.cutOff("front-0", false)
				time.Sleep(2 * time.Second)
				m.kill("front-0")
			},
			found: 1,
		},
		{
			name:  "an availability zone of 22 processes is lost",
			count: 22,
			fail: func(m *mesh) {
				for _, name := range m.names {
					if zoneOf(name) == zoneOf("front-0") {
						m.kill(name)
					}
				}
			},
			found: 1,
		},
		{
			name:  "an availability zone of 120 processes is lost",
			count: 120,
			fail: func(m *mesh) {
				for _, name := range m.names {
					if zoneOf(name) == zoneOf("front-0") {
						m.kill(name)
					}
				}
			},
			found: 1,
		},
	}
	for _, c := range cases {
		Convey("After "+c.name, t, func() {
			found := 0
			runMesh(t, c.count, func(m *mesh) {
				time.Sleep(time.Second)
				for i := range streams {
					record := recordOf(fmt.Sprint(i), "v1")
					m.of("front-0").Announce(record)
					m.of("front-0").Confirm(context.Background(), record.Key)
				}
				c.fail(m)
				for i := range streams {
					got := m.lastRunning().Find(context.Background(), recordOf(fmt.Sprint(i), "").Key)
					if got.Known && got.Record.Version == "v1" {
						found++
					}
				}
			})
			So(found, ShouldBeGreaterThanOrEqualTo, int(c.found*streams))
		})
	}
}

// Guards against a first event that leaves before another process has the record of its stream.
func TestEventLeavesBeforeRecord(t *testing.T) {
	Convey("A stream is confirmed once a replica has its record", t, func() {
		var kept int
		var confirmed bool
		var waited time.Duration
		runMesh(t, 5, func(m *mesh) {
			time.Sleep(time.Second)
			began := time.Now()
			record := recordOf("1", "v1")
			m.of("front-0").Announce(record)
			confirmed = m.of("front-0").Confirm(context.Background(), record.Key)
			waited = time.Since(began)
			for _, name := range m.names[1:] {
				if _, ok := m.of(name).records.Find(mgclock.Clock{}.Now(), record.Key); ok {
					kept++
				}
			}
		})
		So(confirmed, ShouldBeTrue)
		So(kept, ShouldBeGreaterThan, 0)
		So(waited, ShouldBeLessThanOrEqualTo, 2*callLatency)
	})
	Convey("It isn't held up while no other process answers", t, func() {
		var confirmed bool
		var waited time.Duration
		runMesh(t, 3, func(m *mesh) {
			m.cutOff("front-0", true)
			first, second := recordOf("1", "v1"), recordOf("2", "v1")
			m.of("front-0").Announce(first)
			time.Sleep(time.Second)
			began := time.Now()
			m.of("front-0").Announce(second)
			confirmed = m.of("front-0").Confirm(context.Background(), second.Key)
			waited = time.Since(began)
		})
		So(confirmed, ShouldBeTrue)
		So(waited, ShouldEqual, 0)
	})
}

// Guards against events of a second version while another process may state the first.
func TestReplacedRecordStatesFirstVersion(t *testing.T) {
	Convey("A request that is sent to a second version before its first event", t, func() {
		Convey("is recorded with that everywhere", func() {
			var confirmed bool
			versions := map[string]bool{}
			runMesh(t, 5, func(m *mesh) {
				time.Sleep(time.Second)
				for _, version := range []string{"v1", "v1.1"} {
					m.of("front-0").Announce(recordOf("1", version))
					time.Sleep(50 * time.Millisecond)
				}
				confirmed = m.of("front-0").Confirm(context.Background(), recordOf("1", "").Key)
				for _, name := range m.names {
					got := m.of(name).Find(context.Background(), recordOf("1", "").Key)
					versions[got.Record.Version] = true
				}
			})
			So(confirmed, ShouldBeTrue)
			So(versions, ShouldResemble, map[string]bool{"v1.1": true})
		})
		Convey("isn't confirmed while a replica that has the first can't be reached", func() {
			var confirmed bool
			runMesh(t, 5, func(m *mesh) {
				time.Sleep(time.Second)
				m.of("front-0").Announce(recordOf("1", "v1"))
				time.Sleep(time.Second)
				m.cutOff("front-3", true)
				m.of("front-0").Announce(recordOf("1", "v1.1"))
				confirmed = m.of("front-0").Confirm(context.Background(), recordOf("1", "").Key)
			})
			So(confirmed, ShouldBeFalse)
		})
	})
}

// Guards against joining a stream to one of several versions that processes state.
func TestDifferingRecordsAreTrusted(t *testing.T) {
	Convey("Two processes state different versions of a stream", t, func() {
		var got Finding
		runMesh(t, 3, func(m *mesh) {
			for i, version := range []string{"v1", "v1.1"} {
				m.of(m.names[i]).Handle("", Message{
					Records: []Record{recordOf("1", version)},
				})
			}
			got = m.of("front-2").Find(context.Background(), recordOf("1", "").Key)
		})
		So(got.Known, ShouldBeTrue)
		So(got.Record.Origin().Accepts("report", "v1"), ShouldBeFalse)
		So(got.Record.Origin().Accepts("report", "v1.1"), ShouldBeFalse)
	})
}

// Guards against a process that leaves and isn't asked for a record that it alone has, or is
// sent records that it takes with it.
func TestDepartingProcessIsSkipped(t *testing.T) {
	Convey("A process that leaves", t, func() {
		var got Finding
		var kept bool
		runMesh(t, 4, func(m *mesh) {
			m.of("front-1").Handle("", Message{
				Records: []Record{recordOf("1", "v1")},
			})
			m.depart("front-1")
			time.Sleep(time.Second)
			got = m.of("front-0").Find(context.Background(), recordOf("1", "").Key)
			m.of("front-0").Announce(recordOf("2", "v1"))
			time.Sleep(time.Second)
			_, kept = m.of("front-1").records.Find(mgclock.Clock{}.Now(), recordOf("2", "").Key)
		})
		Convey("is asked for records", func() {
			So(got.Record.Version, ShouldEqual, "v1")
			So(got.Complete, ShouldBeTrue)
		})
		Convey("gets none", func() {
			So(kept, ShouldBeFalse)
		})
	})
}

// Guards against telling a caller that a stream is unknown for good while a process that may
// know it doesn't answer.
func TestMissingAnswerTakenForUnknown(t *testing.T) {
	Convey("A stream without a record", t, func() {
		for _, cut := range []bool{false, true} {
			Convey(fmt.Sprint("with a process that is cut off: ", cut), func() {
				var got Finding
				var waited time.Duration
				runMesh(t, 3, func(m *mesh) {
					m.cutOff("front-1", cut)
					began := time.Now()
					got = m.of("front-0").Find(context.Background(), recordOf("1", "").Key)
					waited = time.Since(began)
				})
				So(got.Known, ShouldBeFalse)
				So(got.Complete, ShouldEqual, !cut)
				So(waited, ShouldBeLessThanOrEqualTo, findTimeout.Duration())
			})
		}
	})
}

// Guards against records of callers' requests that use up the memory.
func TestRecordsGrowWithoutBound(t *testing.T) {
	Convey("Records are limited in number, length and time", t, func() {
		var s Records
		for i := range maxRecords {
			So(s.Put(0, recordOf(fmt.Sprint(i), "v1")), ShouldBeTrue)
		}
		So(s.Put(0, recordOf("one more", "v1")), ShouldBeFalse)
		So(s.Put(60_000, recordOf("one more", "v1")), ShouldBeTrue)
		So(s.Len(), ShouldEqual, 1)
		long := recordOf("long", string(make([]byte, maxNameLength+1)))
		So(s.Put(60_000, long), ShouldBeFalse)
	})
	Convey("A record is kept for its caller's time, and then dropped, also at replicas", t, func() {
		keptBefore, keptAfter := 0, 0
		runMesh(t, 5, func(m *mesh) {
			time.Sleep(time.Second)
			record := recordOf("1", "v1")
			m.of("front-0").Announce(record)
			count := func() (kept int) {
				for _, name := range m.names {
					if _, known := m.of(name).records.Find(m.of(name).spec.Clock.Now(), record.Key); known {
						kept++
					}
				}
				return kept
			}
			time.Sleep(record.Left.Duration() - time.Second)
			keptBefore = count()
			time.Sleep(2 * time.Second)
			keptAfter = count()
		})
		So(keptBefore, ShouldEqual, 5)
		So(keptAfter, ShouldEqual, 0)
	})
}

// Guards against records that change on their way.
func TestRecordChangesInTransit(t *testing.T) {
	Convey("A record keeps its value as JSON", t, func() {
		sent := recordOf("1", "v1.1")
		sent.Upstream, sent.Start = "i-1", 1_796_332_504_123
		data, err := json.Marshal(sent)
		So(err, ShouldBeNil)
		var received Record
		So(json.Unmarshal(data, &received), ShouldBeNil)
		So(received, ShouldResemble, sent)
		for _, invalid := range []string{`{}`, `[]`, `["short","a","b","c",1,1]`, `["` + sent.Key.String() + `","a","b","c",1]`} {
			So(json.Unmarshal([]byte(invalid), &received), ShouldNotBeNil)
		}
	})
}

// Guards against two client accounts whose requests have the same id.
func TestAccountsShareRequestID(t *testing.T) {
	Convey("Keys differ by account and by request", t, func() {
		So(KeyOf("a", "bc"), ShouldNotEqual, KeyOf("ab", "c"))
		So(KeyOf("a", "1"), ShouldNotEqual, KeyOf("b", "1"))
		So(KeyOf("a", "1"), ShouldEqual, KeyOf("a", "1"))
	})
	Convey("A key keeps its value as text", t, func() {
		var parsed Key
		So(parsed.UnmarshalText([]byte(KeyOf("a", "1").String())), ShouldBeNil)
		So(parsed, ShouldEqual, KeyOf("a", "1"))
		So(parsed.UnmarshalText([]byte("short")), ShouldNotBeNil)
	})
}
