package mgquarantine

import (
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// A note that came on a faster way than the one before it must be told on at once.
func TestFastNoteIsToldOn(t *testing.T) {
	note := func(number uint64, seen mgclock.Millis) Note {
		return Note{
			Origin:   "a",
			Number:   number,
			Digest:   DigestOf("account", "host", "/path", []byte("body")).String(),
			Upstream: "engine",
			Seen:     seen,
		}
	}
	Convey("Of an origin's notes, seen half a second apart", t, func() {
		b := New("b", nil)
		So(b.Take(10400, []Note{note(1, 10000)}), ShouldBeEmpty)
		So(b.Take(10501, []Note{note(2, 10500)}), ShouldBeEmpty)
		Convey("the second is told on and taken, over two more hops", func() {
			for now := mgclock.Millis(10501); now < 11100; now += 50 {
				c, d := New("c", nil), New("d", nil)
				told := b.Lacking(now, nil)
				So(len(told), ShouldEqual, 2)
				So(c.Take(now+3, told), ShouldBeEmpty)
				So(d.Take(now+6, c.Lacking(now+5, nil)), ShouldBeEmpty)
				So(len(d.Lacking(now+6, nil)), ShouldEqual, 2)
			}
		})
		Convey("they keep their order", func() {
			told := b.Lacking(10600, nil)
			c := New("c", nil)
			c.Take(10600, told)
			So(len(c.notes), ShouldEqual, 2)
			at := map[uint64]mgclock.Millis{}
			for name, kept := range c.notes {
				at[name.number] = kept.at
			}
			So(at[2]-at[1], ShouldEqual, 500)
		})
	})
}

// Ages that are told must neither be negative nor shrink on the way.
func TestAgesGrow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		way := rapid.Int64Range(0, 600)
		now := 10 * mgclock.Second
		first := New("a", nil)
		digest := DigestOf("account", "host", "/path", nil)
		seen := map[uint64]mgclock.Millis{}
		var told []Note
		for number := uint64(1); number <= 4; number++ {
			first.Crashed(now, Crash{
				Digest:   digest,
				Upstream: "engine",
			})
			seen[number] = now
			now += mgclock.Millis(way.Draw(t, "pause"))
		}
		told = first.Lacking(now, nil)
		for hop := range 3 {
			next := New(string(rune('b'+hop)), nil)
			ages := map[uint64]mgclock.Millis{}
			slices.SortFunc(told, func(a, b Note) int { return int(a.Number) - int(b.Number) })
			for _, note := range told {
				ages[note.Number] = note.Age
				now += mgclock.Millis(way.Draw(t, "way"))
				if refused := next.Take(now, []Note{note}); len(refused) > 0 {
					t.Fatalf("hop %d: %v", hop, refused)
				}
			}
			now += mgclock.Millis(way.Draw(t, "kept"))
			told = next.Lacking(now, nil)
			for _, note := range told {
				if note.Age < ages[note.Number] || note.Age > now-seen[note.Number] {
					t.Fatalf("hop %d: note %d of %d ms ago was told with %d ms, now with %d", hop, note.Number,
						now-seen[note.Number], ages[note.Number], note.Age)
				}
			}
		}
	})
}
