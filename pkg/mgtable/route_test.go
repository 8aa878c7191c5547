package mgtable_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

const tableWithRoutes = `version = 3

[[service]]
name = "ledger"
kind = "plain"

[[service]]
name = "archive"
kind = "plain"

[[route]]
name = "book"
host = "Tanks.example"
prefix = "/book/"
kind = "never"
services = ["ledger=90", "archive=10"]
timeout = 600

[[route]]
name = "look"
host = "tanks.example"
prefix = "/book/look/"
kind = "safe"
services = ["ledger"]
attempts = 2

[[account]]
name = "tankline"
`

// Guards against a shorter prefix taking precedence over a longer one: a write
// that may not be repeated would then follow another route's rules and be repeated.
func TestShorterPrefixTaken(t *testing.T) {
	cases := []struct {
		host, path, route string
	}{
		{host: "tanks.example", path: "/book/2f", route: "book"},
		{host: "TANKS.example", path: "/book/2f", route: "book"},
		{host: "tanks.example", path: "/book/look/2f", route: "look"},
		{host: "tanks.example", path: "/book/look", route: "book"},
		{host: "tanks.example", path: "/book/", route: "book"},
		{host: "tanks.example", path: "/book"},
		{host: "tanks.example", path: "/bookings/1"},
		{host: "tanks.example", path: ""},
		{host: "other.example", path: "/book/2f"},
	}
	Convey("The route with the longest prefix is selected", t, func() {
		table, err := mgtable.Parse([]byte(tableWithRoutes))
		So(err, ShouldBeNil)
		for _, c := range cases {
			Convey(c.host+c.path, func() {
				route := table.Route(c.host, c.path)
				if c.route == "" {
					So(route, ShouldBeNil)
					return
				}
				So(route.Name(), ShouldEqual, c.route)
			})
		}
	})
}

// Guards against a split route that ignores its weights: ten in a hundred calls
// must go to the second service, not all or none.
func TestServicesPickedAgainstWeights(t *testing.T) {
	Convey("Services are selected by their weights", t, func() {
		table, err := mgtable.Parse([]byte(tableWithRoutes))
		So(err, ShouldBeNil)
		got := map[string]int{}
		for drawn := range uint64(1000) {
			got[table.Route("tanks.example", "/book/1").PickService(drawn)]++
		}
		So(got["ledger"], ShouldEqual, 900)
		So(got["archive"], ShouldEqual, 100)
	})
}

// Guards against routes that are lost or changed by a round trip through pages,
// TOML or CSV: requests would go to a service that the operator didn't configure.
func TestRouteLostInRoundTrip(t *testing.T) {
	Convey("Routes are unchanged by a round trip", t, func() {
		table, err := mgtable.Parse([]byte(tableWithRoutes))
		So(err, ShouldBeNil)
		Convey("through TOML", func() {
			again, err := mgtable.Parse(table.TOML())
			So(err, ShouldBeNil)
			So(mgtable.Diff(table, again), ShouldBeEmpty)
			So(again.Digest(), ShouldEqual, table.Digest())
		})
		Convey("through CSV", func() {
			again, err := mgtable.Import(table.Export())
			So(err, ShouldBeNil)
			So(again.Digest(), ShouldEqual, table.Digest())
		})
		Convey("through pages", func() {
			manifest, texts, err := table.Pages(1 << 20)
			So(err, ShouldBeNil)
			var pages []*mgtable.Page
			for _, text := range texts {
				page, err := mgtable.ReadPage(text)
				So(err, ShouldBeNil)
				pages = append(pages, page)
			}
			again, err := mgtable.Join(manifest, pages)
			So(err, ShouldBeNil)
			So(again.Digest(), ShouldEqual, table.Digest())
			So(again.Route("tanks.example", "/book/look/1").MaxAttempts(), ShouldEqual, 2)
		})
	})
}

// Guards against a faulty route that passes the check of the table and fails
// only when a caller uses it.
func TestFaultyRouteAccepted(t *testing.T) {
	cases := map[string]string{
		"unknown service":   `services = ["nobody"]`,
		"no service":        ``,
		"prefix not closed": "services = [\"ledger\"]\nprefix = \"/x\"",
		"weight not whole":  `services = ["ledger=1.5"]`,
	}
	Convey("A route with a fault is refused", t, func() {
		for name, row := range cases {
			Convey(name, func() {
				_, err := mgtable.Parse([]byte(tableWithRoutes + "\n[[route]]\nname = \"bad\"\nhost = \"tanks.example\"\n" + row + "\n"))
				So(err, ShouldNotBeNil)
			})
		}
		Convey("two routes under one host and prefix", func() {
			_, err := mgtable.Parse([]byte(tableWithRoutes + "\n[[route]]\nname = \"twin\"\nhost = \"tanks.example\"\nprefix = \"/book/\"\nservices = [\"ledger\"]\n"))
			So(err, ShouldNotBeNil)
		})
	})
}
