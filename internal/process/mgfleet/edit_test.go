package mgfleet_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/standin/mgstandin"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgdial"
)

// tableWithMark returns a version of the table with one additional service,
// named mark.
func tableWithMark(version int, mark string) string {
	return table(version, 4) + fmt.Sprintf("\n[[service]]\nname = %q\nmodel = \"tank\"\npriority = 5\ndeadline = 20000\nmax = 512\n", mark)
}

// unreachableMark stands for an entry that doesn't answer.
const unreachableMark = "away"

// perRequestClient opens a new connection for each request.
var perRequestClient = mgdial.NewClient()

// marks returns the mark of the table in force at each entry. It is read from a
// single response, so that it can't come from two tables.
func (f *fleet) marks() []string {
	var marks []string
	for _, base := range f.entries {
		marks = append(marks, f.mark(base))
	}
	return marks
}

func (f *fleet) mark(base string) string {
	r, err := http.NewRequest(http.MethodGet, base+"/v1/models", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer sample-tankline")
	response, err := mgdial.Do(perRequestClient, r)
	if err != nil {
		return unreachableMark
	}
	defer response.Body.Close()
	var list struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&list) != nil {
		return unreachableMark
	}
	mark := ""
	for _, model := range list.Data {
		if model.ID != "report" && model.ID != "tank" {
			mark += model.ID
		}
	}
	return mark
}

// awaitTable waits until the table with mark to is in force at each entry. It
// returns anomalies: an entry with a table other than the old and the new one,
// or one that reverted to the old one.
func (f *fleet) awaitTable(from, to string) []string {
	f.t.Helper()
	var anomalies []string
	arrived := make([]bool, len(f.entries))
	waitFor(f.t, "in force everywhere: "+to, func() bool {
		everywhere := true
		for i, mark := range f.marks() {
			reverted := arrived[i] && mark != to
			if reverted || mark != from && mark != to && mark != unreachableMark {
				anomalies = append(anomalies, fmt.Sprintf("entry %d has the table %q", i, mark))
			}
			arrived[i] = arrived[i] || mark == to
			everywhere = everywhere && mark == to
		}
		return everywhere
	})
	return anomalies
}

// edit publishes a version of the table with a mark.
func (f *fleet) edit(version int, mark string) {
	f.t.Helper()
	post(f.t, f.standins["platform"]+"/standin/table", tableWithMark(version, mark))
}

// An editCase is a step of operators' work, with the checks of its result.
type editCase struct {
	name string
	run  func(f *fleet) []string // returns anomalies
}

var editCases = []editCase{
	{
		name: "made by two operators at once results in one table everywhere",
		run: func(f *fleet) []string {
			var both sync.WaitGroup
			for _, mark := range []string{"harbour", "crew"} {
				both.Go(func() { f.edit(2, mark) })
			}
			both.Wait()
			waitFor(f.t, "one of the two in force on both entries", func() bool {
				marks := f.marks()
				return marks[0] == marks[1] && (marks[0] == "harbour" || marks[0] == "crew")
			})
			return nil
		},
	},
	{
		name: "with a newer version replaces it",
		run: func(f *fleet) []string {
			f.edit(3, "pilots")
			return f.awaitTable(f.marks()[0], "pilots")
		},
	},
	{
		name: "with an older version that arrives late changes nothing",
		run: func(f *fleet) []string {
			f.edit(2, "crew")
			f.edit(4, "harbour")
			return f.awaitTable("pilots", "harbour")
		},
	},
	{
		name: "that is invalid is in force nowhere",
		run: func(f *fleet) []string {
			post(f.t, f.standins["platform"]+"/standin/put?key=manifest", `{"version":9,"pages":["00"]}`)
			f.edit(10, "crew")
			return f.awaitTable("harbour", "crew")
		},
	},
	{
		name: "made while the platform is stale is in force once it has recovered",
		run: func(f *fleet) []string {
			f.setFault("platform", mgstandin.Fault{Kind: mgstandin.Stale})
			f.edit(11, "pilots")
			f.setFault("platform", mgstandin.Fault{Kind: mgstandin.Heal})
			return f.awaitTable("crew", "pilots")
		},
	},
	{
		name: "in force is also in force in a process that starts while the configuration service is down",
		run: func(f *fleet) []string {
			f.setFault("platform", mgstandin.Fault{Kind: mgstandin.Down, ExemptKey: mgplatform.ListKey})
			defer f.setFault("platform", mgstandin.Fault{Kind: mgstandin.Heal})
			f.processes["entry-a"].restart(f.t)
			waitFor(f.t, "the new entry is ready", func() bool { return f.ready("entry-a") })
			return f.awaitTable("pilots", "pilots")
		},
	},
	{
		name: "in force is also in force in a process that starts while it is stale",
		run: func(f *fleet) []string {
			f.setFault("platform", mgstandin.Fault{Kind: mgstandin.Stale, ExemptKey: mgplatform.ListKey})
			f.edit(12, "crew")
			f.processes["entry-a"].restart(f.t)
			waitFor(f.t, "the new entry is ready", func() bool { return f.ready("entry-a") })
			anomalies := f.awaitTable("pilots", "pilots")
			f.setFault("platform", mgstandin.Fault{Kind: mgstandin.Heal})
			return append(anomalies, f.awaitTable("pilots", "crew")...)
		},
	},
	{
		name: "made after the links to the platform fell silent is in force nevertheless",
		run: func(f *fleet) []string {
			if f.relays["platform"].DropSilently() == 0 {
				return []string{"no link to the platform was silenced"}
			}
			f.edit(13, "tide")
			return f.awaitTable("crew", "tide")
		},
	},
}

// Operators edit the table while the platform fails, and two of them at once. A
// table that isn't in force everywhere, or that reverts, shows as a service that
// one entry knows and another doesn't, or that changes without an edit.
func TestTableDiffersOrReverts(t *testing.T) {
	if testing.Short() {
		t.Skip("starts nine processes")
	}
	f := newFleet(t)
	Convey("An edit", t, func() {
		for _, e := range editCases {
			Convey(e.name, func() {
				So(e.run(f), ShouldBeEmpty)
			})
		}
	})
}
