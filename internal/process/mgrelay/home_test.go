package mgrelay_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgrelay"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgwaitlist"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// Guards against a customer's documents leaving the country that they may not leave:
// the nearest engine with free memory, or the one that is left after another failed,
// may be in another country.
func TestRequestRunsOutsideHomes(t *testing.T) {
	Convey("A request runs in its homes only", t, func() {
		for name, c := range map[string]struct {
			route   string // homes
			account string
			regions []string // of the upstreams a, b and c
			signed  string   // who answers, or ""
		}{
			"if its route has homes": {
				route:   `homes = ["south"]`,
				regions: []string{"north", "south", "south"},
				signed:  "signed by b",
			},
			"if its account has homes": {
				account: `homes = ["south"]`,
				regions: []string{"north", "north", "south"},
				signed:  "signed by c",
			},
			"if both have homes, in a region of both": {
				route:   `homes = ["south", "east"]`,
				account: `homes = ["north", "east"]`,
				regions: []string{"north", "south", "east"},
				signed:  "signed by c",
			},
			"and is refused at once if no upstream is in a home": {
				route:   `homes = ["south"]`,
				regions: []string{"north", "north", "east"},
			},
			"and is refused at once if its route and its account have no home in common": {
				route:   `homes = ["south"]`,
				account: `homes = ["north"]`,
				regions: []string{"north", "south", "east"},
			},
			"or anywhere if there are no homes": {
				regions: []string{"north", "south", "east"},
				signed:  "signed by a",
			},
		} {
			Convey(name, func() {
				g := newHarness(t, answerWith("x"), answerWith("x"), answerWith("x"))
				text := strings.Replace(tableText, `prefix = "/once/"`, "prefix = \"/once/\"\n"+c.route, 1)
				text = strings.Replace(text, `[[account]]`, "[[account]]\n"+c.account, 1)
				table, err := mgtable.Parse([]byte(text))
				So(err, ShouldBeNil)
				g.table = table
				for i, region := range c.regions {
					g.hosts[i].Region = region
				}
				got := g.send(context.Background(), http.MethodPost, "/once/1", "x", nil)
				if c.signed == "" {
					So(got.status, ShouldEqual, http.StatusServiceUnavailable)
					So(got.header.Get("Retry-After"), ShouldNotBeEmpty)
					So(g.requests(), ShouldBeEmpty)
					return
				}
				So(got.header.Get("Signature"), ShouldEqual, c.signed)
				So(len(g.requests()), ShouldEqual, 1)
			})
		}
	})
	Convey("No placement is requested if homes exclude upstreams", t, func() {
		for homes, signed := range map[string]string{
			`homes = ["south"]`:          "signed by b",
			`homes = ["south", "north"]`: "signed by a", // excludes none
		} {
			Convey(homes, func() {
				g := newHarness(t, answerWith("id: 1\n\n"), answerWith("id: 1\n\n"))
				g.configureModel(strings.Replace(tableText, `prefix = "/write/"`, "prefix = \"/write/\"\n"+homes, 1))
				g.hosts[0].Region = "north"
				g.hosts[1].Region = "south"
				asked := 0
				g.startRelay(func(spec *mgrelay.Spec) {
					spec.AwaitPlacement = func(context.Context, string, mgwaitlist.Request) (mgwaitlist.Grant, bool) {
						asked++
						return mgwaitlist.Grant{Place: "a"}, true
					}
				})
				got := g.send(context.Background(), http.MethodPost, "/write/1", "x", http.Header{"Tokens": {"100,50"}})
				So(got.header.Get("Signature"), ShouldEqual, signed)
				So(asked == 0, ShouldEqual, signed == "signed by b")
			})
		}
	})
}
