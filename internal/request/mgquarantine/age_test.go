package mgquarantine

import (
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// A record that was forwarded with less delay than the one before it gives a smaller clock
// offset of its origin, which also lowers the time bounds of the origin's earlier records.
// The record itself must be merged and forwarded at once although those bounds change too.
func TestRecordOnFasterPathIsNotForwarded(t *testing.T) {
	newRecord := func(number uint64, seen mgclock.Millis) Record {
		return Record{
			Origin:   "a",
			Number:   number,
			Digest:   DigestOf("account", "host", "/path", []byte("body")).String(),
			Upstream: "engine",
			Seen:     seen,
		}
	}
	Convey("Two records of an origin, seen half a second apart", t, func() {
		b := New("b", nil)
		So(b.Merge(10400, []Record{newRecord(1, 10000)}), ShouldBeEmpty)
		So(b.Merge(10501, []Record{newRecord(2, 10500)}), ShouldBeEmpty)
		Convey("are both forwarded and merged over two more hops", func() {
			for now := mgclock.Millis(10501); now < 11100; now += 50 {
				c, d := New("c", nil), New("d", nil)
				sent := b.MissingRecords(now, nil)
				So(len(sent), ShouldEqual, 2)
				So(c.Merge(now+3, sent), ShouldBeEmpty)
				So(d.Merge(now+6, c.MissingRecords(now+5, nil)), ShouldBeEmpty)
				So(len(d.MissingRecords(now+6, nil)), ShouldEqual, 2)
			}
		})
		Convey("keep their order and distance", func() {
			sent := b.MissingRecords(10600, nil)
			c := New("c", nil)
			c.Merge(10600, sent)
			So(len(c.records), ShouldEqual, 2)
			at := map[uint64]mgclock.Millis{}
			for id, stored := range c.records {
				at[id.number] = stored.seenBound
			}
			So(at[2]-at[1], ShouldEqual, 500)
		})
	})
}

// An age that is sent must be neither negative nor smaller than the age received: clock
// offsets are only estimated, from the ages of records, which don't include their network
// delays.
func TestAgeIsNegativeOrShrinks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		delayRange := rapid.Int64Range(0, 600)
		now := 10 * mgclock.Second
		first := New("a", nil)
		digest := DigestOf("account", "host", "/path", nil)
		seen := map[uint64]mgclock.Millis{}
		var sent []Record
		for number := uint64(1); number <= 4; number++ {
			first.RecordCrash(now, Crash{
				Digest:   digest,
				Upstream: "engine",
			})
			seen[number] = now
			now += mgclock.Millis(delayRange.Draw(t, "pause"))
		}
		sent = first.MissingRecords(now, nil)
		for hop := range 3 {
			next := New(string(rune('b'+hop)), nil)
			ages := map[uint64]mgclock.Millis{}
			slices.SortFunc(sent, func(a, b Record) int { return int(a.Number) - int(b.Number) })
			for _, record := range sent {
				ages[record.Number] = record.Age
				now += mgclock.Millis(delayRange.Draw(t, "delay"))
				if invalid := next.Merge(now, []Record{record}); len(invalid) > 0 {
					t.Fatalf("hop %d: %v", hop, invalid)
				}
			}
			now += mgclock.Millis(delayRange.Draw(t, "stored"))
			sent = next.MissingRecords(now, nil)
			for _, record := range sent {
				if record.Age < ages[record.Number] || record.Age > now-seen[record.Number] {
					t.Fatalf("hop %d: record %d, %d ms old, was sent with age %d ms, now with %d", hop, record.Number,
						now-seen[record.Number], ages[record.Number], record.Age)
				}
			}
		}
	})
}
