package mgconfig

import (
	"encoding/json"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// An entry denies a route or key of a newer table that it can't know, because it treats
// its old table as the newest.
func TestRouteDeniedByOutdatedTable(t *testing.T) {
	Convey("For a process where one watch covers list and table, the table is confirmed", t, func() {
		m, _ := machineWithFivePeers()
		m.spec.ListConfirmsTable = true
		m.current.Store(newSnapshot(7, 0))
		m.handleManifestResult(1000, ActionResult{
			Err: mgplatform.ErrUnchanged,
		})
		report := VersionReport{
			List:     m.members.View().Version(),
			Age:      100,
			Table:    7,
			TableAge: 100,
		}
		deliverReport := func(at mgclock.Millis, report VersionReport) {
			m.handleLongPollResult(at, ActionResult{
				Action: Action{
					kind: LongPoll,
					peer: "entry-2",
				},
				Report: report,
			})
		}
		Convey("for a limited time after the platform's answer about the table", func() {
			So(m.TableConfirmed(1000), ShouldBeTrue)
			So(m.TableConfirmed(1000+maxTableConfirmationAge), ShouldBeTrue)
			So(m.TableConfirmed(1000+maxTableConfirmationAge+1), ShouldBeFalse)
		})
		Convey("and after its answer about the list", func() {
			m.handleListResult(4000, ActionResult{
				Err: mgplatform.ErrUnchanged,
			})
			So(m.TableConfirmed(4000+maxTableConfirmationAge), ShouldBeTrue)
			So(m.TableConfirmed(4000+maxTableConfirmationAge+1), ShouldBeFalse)
		})
		Convey("not just after the platform was restored from a copy", func() {
			list := func(era uint64) []byte {
				data, err := json.Marshal(mgplatform.VMList{
					Version: 1000 + era,
					Era:     era,
				})
				So(err, ShouldBeNil)
				return data
			}
			confirmedByAnswer := func(at mgclock.Millis) bool {
				m.handleManifestResult(at, ActionResult{
					Err: mgplatform.ErrUnchanged,
				})
				return m.TableConfirmed(at)
			}
			So(m.adoptList(2000, list(1)), ShouldBeTrue)
			So(m.adoptList(3000, list(2)), ShouldBeTrue)
			So(confirmedByAnswer(3000), ShouldBeFalse)
			So(m.Report(3000).TableAge, ShouldEqual, -1)
			So(confirmedByAnswer(3000+restoreWindow-1), ShouldBeFalse)
			So(confirmedByAnswer(3000+restoreWindow), ShouldBeTrue)
		})
		Convey("not after a failed read of the list", func() {
			m.handleListResult(4000, ActionResult{
				Err: mgplatform.ErrUnavailable,
			})
			So(m.TableConfirmed(4000), ShouldBeFalse)
		})
		Convey("after another process's report of the same table, counted from its age", func() {
			deliverReport(4000, report)
			So(m.TableConfirmed(3900+maxTableConfirmationAge), ShouldBeTrue)
			So(m.TableConfirmed(3900+maxTableConfirmationAge+1), ShouldBeFalse)
			So(m.Report(4050).TableAge, ShouldEqual, 150)
		})
		Convey("not by a report of another table, or one without an age", func() {
			for _, report := range []VersionReport{
				{
					List:     report.List,
					Age:      100,
					Table:    6,
					TableAge: 100,
				},
				{
					List:     report.List,
					Age:      100,
					Table:    7,
					TableAge: -1,
				},
			} {
				deliverReport(4000, report)
				So(m.TableConfirmed(4000), ShouldBeFalse)
			}
		})
		Convey("not while a peer has a newer table", func() {
			m.learnVersion(1100, versionKey{
				version: 8,
				digest:  "d",
			}, peer{
				name: "entry-2",
				addr: "entry-2",
			})
			So(m.TableConfirmed(1100), ShouldBeFalse)
			So(m.Report(1100).TableAge, ShouldBeLessThan, 0)
		})
		Convey("not while a newer table of the platform is being read", func() {
			m.ReadTableNow(1100)
			So(m.TableConfirmed(1100), ShouldBeFalse)
			m.handleManifestResult(1200, ActionResult{
				Err: mgplatform.ErrUnchanged,
			})
			So(m.TableConfirmed(1200), ShouldBeTrue)
		})
	})
	Convey("Where the table's age is unknown, it counts as the newest", t, func() {
		m, _ := machineWithFivePeers()
		So(m.TableConfirmed(mgclock.Minute), ShouldBeTrue)
	})
}
