package mgconfig

import (
	"encoding/json"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// A route or key of a newer table must not be denied by an entry that can't know it.
func TestCertain(t *testing.T) {
	Convey("A process whose list and table one watch covers", t, func() {
		m, _ := sixth()
		m.spec.Joint = true
		m.current.Store(snapshotOf(7, 0))
		m.answeredManifest(1000, ResultSpec{
			Err: mgplatform.ErrUnchanged,
		})
		word := Word{
			List:     m.members.View().Version(),
			Age:      100,
			Table:    7,
			TableAge: 100,
		}
		listen := func(at mgclock.Millis, word Word) {
			m.listened(at, ResultSpec{
				Action: Action{
					kind: Listen,
					peer: "entry-2",
				},
				Word: word,
			})
		}
		Convey("is certain for a while after the platform's answer about the table", func() {
			So(m.Certain(1000), ShouldBeTrue)
			So(m.Certain(1000+certainSpan), ShouldBeTrue)
			So(m.Certain(1000+certainSpan+1), ShouldBeFalse)
		})
		Convey("or about the list", func() {
			m.answeredList(4000, ResultSpec{
				Err: mgplatform.ErrUnchanged,
			})
			So(m.Certain(4000+certainSpan), ShouldBeTrue)
			So(m.Certain(4000+certainSpan+1), ShouldBeFalse)
		})
		Convey("not for a while after the platform has come back from a copy", func() {
			list := func(era uint64) []byte {
				data, err := json.Marshal(mgplatform.List{
					Version: 1000 + era,
					Era:     era,
				})
				So(err, ShouldBeNil)
				return data
			}
			answers := func(at mgclock.Millis) bool {
				m.answeredManifest(at, ResultSpec{
					Err: mgplatform.ErrUnchanged,
				})
				return m.Certain(at)
			}
			So(m.takeList(2000, list(1)), ShouldBeTrue)
			So(m.takeList(3000, list(2)), ShouldBeTrue)
			So(answers(3000), ShouldBeFalse)
			So(m.Word(3000).TableAge, ShouldEqual, -1)
			So(answers(3000+copySpan-1), ShouldBeFalse)
			So(answers(3000+copySpan), ShouldBeTrue)
		})
		Convey("not after a failed one", func() {
			m.answeredList(4000, ResultSpec{
				Err: mgplatform.ErrDown,
			})
			So(m.Certain(4000), ShouldBeFalse)
		})
		Convey("and after another's word of the same table, by its age", func() {
			listen(4000, word)
			So(m.Certain(3900+certainSpan), ShouldBeTrue)
			So(m.Certain(3900+certainSpan+1), ShouldBeFalse)
			So(m.Word(4050).TableAge, ShouldEqual, 150)
		})
		Convey("not by a word of another table, or one without an age", func() {
			for _, odd := range []Word{
				{
					List:     word.List,
					Age:      100,
					Table:    6,
					TableAge: 100,
				},
				{
					List:     word.List,
					Age:      100,
					Table:    7,
					TableAge: -1,
				},
			} {
				listen(4000, odd)
				So(m.Certain(4000), ShouldBeFalse)
			}
		})
		Convey("not while a peer has a newer table", func() {
			m.learn(1100, mark{
				version: 8,
				digest:  "d",
			}, peer{
				name: "entry-2",
				addr: "entry-2",
			})
			So(m.Certain(1100), ShouldBeFalse)
			So(m.Word(1100).TableAge, ShouldBeLessThan, 0)
		})
		Convey("not while the platform has one that is being read", func() {
			m.LookForTable(1100)
			So(m.Certain(1100), ShouldBeFalse)
			m.answeredManifest(1200, ResultSpec{
				Err: mgplatform.ErrUnchanged,
			})
			So(m.Certain(1200), ShouldBeTrue)
		})
	})
	Convey("Where nobody tells how old the table is, it is taken for the newest", t, func() {
		m, _ := sixth()
		So(m.Certain(mgclock.Minute), ShouldBeTrue)
	})
}
