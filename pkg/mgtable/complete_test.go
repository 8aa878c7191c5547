package mgtable_test

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// drawSpec generates a spec in which any column may have a fault.
func drawSpec(t *rapid.T) mgtable.Spec {
	name := rapid.OneOf(
		rapid.SampledFrom([]string{"", "a", "b", "a b", "a=1", "unusable", "unusable-", "a\"\\\n\x7f", "ü", strings.Repeat("n", 300)}),
		rapid.String(),
	)
	count := rapid.SampledFrom([]int64{0, 1, 9, 10, 7_200_000, -1, math.MaxInt64, math.MinInt64})
	unreadable := rapid.SampledFrom([]error{nil, nil, nil, errors.New("a number in place of a text")})
	key := rapid.Custom(func(t *rapid.T) mgtable.Digest {
		return mgtable.DigestOf([]byte{rapid.Byte().Draw(t, "key") % 4})
	})
	spec := mgtable.Spec{
		Version: 7,
	}
	for range rapid.IntRange(0, 3).Draw(t, "models") {
		spec.Models = append(spec.Models, mgtable.ModelSpec{
			Name:      name.Draw(t, "name"),
			Context:   count.Draw(t, "context"),
			MaxOutput: count.Draw(t, "max"),
		})
	}
	for range rapid.IntRange(0, 4).Draw(t, "services") {
		spec.Services = append(spec.Services, mgtable.ServiceSpec{
			Name:           name.Draw(t, "name"),
			Model:          name.Draw(t, "model"),
			CanMigrate:     rapid.Bool().Draw(t, "move"),
			CanBackup:      rapid.Bool().Draw(t, "backup"),
			TokensPerEvent: count.Draw(t, "stride"),
			CopyMicros:     count.Draw(t, "copy"),
			ColdMillis:     count.Draw(t, "cold"),
			MaxColdRate:    rapid.SampledFrom([]float64{0, 12.5, -1, 1e300, math.NaN(), math.Inf(1)}).Draw(t, "ramp"),
			Unreadable:     unreadable.Draw(t, "unreadable"),
		})
	}
	for range rapid.IntRange(0, 5).Draw(t, "routes") {
		route := mgtable.RouteSpec{
			Name:             name.Draw(t, "name"),
			Host:             name.Draw(t, "host"),
			Prefix:           rapid.SampledFrom([]string{"/", "/a/", "/b c/", "/ü/", "/%C3%BC/", "/\"?#\\/", "a/", "/a", ""}).Draw(t, "prefix"),
			Kind:             rapid.SampledFrom([]string{mgtable.Stream, mgtable.Safe, mgtable.Never, "", "often"}).Draw(t, "kind"),
			MaxAttempts:      count.Draw(t, "attempts"),
			Timeout:          count.Draw(t, "timeout"),
			LatencyGoal:      count.Draw(t, "goal"),
			MaxEventInterval: count.Draw(t, "gap"),
			Priority:         count.Draw(t, "priority"),
			Homes:            rapid.SliceOfN(name, 0, 3).Draw(t, "homes"),
			Unreadable:       unreadable.Draw(t, "unreadable"),
		}
		for range rapid.IntRange(0, 3).Draw(t, "shares") {
			route.Services = append(route.Services, mgtable.ShareSpec{
				Service: name.Draw(t, "service"),
				Weight:  count.Draw(t, "weight"),
			})
		}
		spec.Routes = append(spec.Routes, route)
	}
	for range rapid.IntRange(1, 4).Draw(t, "accounts") {
		spec.Accounts = append(spec.Accounts, mgtable.AccountSpec{
			Name:       name.Draw(t, "name"),
			Keys:       rapid.SliceOfN(key, 0, 4).Draw(t, "keys"),
			Homes:      rapid.SliceOfN(name, 0, 3).Draw(t, "homes"),
			Unreadable: unreadable.Draw(t, "unreadable"),
		})
	}
	return spec
}

// Guards against a version that is refused because of a row that can't be used, and against one that other
// processes read in another way.
func TestCompleteSpecRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec, faults := drawSpec(t).Complete()
		again, more := spec.Complete()
		if fmt.Sprintf("%+v", again) != fmt.Sprintf("%+v", spec) {
			t.Fatalf("completed twice:\n%+v\n%+v", spec, again)
		}
		for _, fault := range more.List() {
			if !strings.Contains(fault.Text(), "control characters") {
				t.Fatalf("a fault of a spec that is complete: %v", fault)
			}
		}
		for _, fault := range faults.List() {
			if fault.Row() == "" || fault.Text() == "" || fault.Remedy() == "" {
				t.Fatalf("a fault without its row, text or remedy: %v", fault)
			}
		}
		built, err := mgtable.Build(spec)
		must(t, err)
		manifest, pages, err := spec.Pages(1 << 20)
		must(t, err)
		received := make([]*mgtable.Page, 0, len(pages))
		for _, page := range pages {
			again, err := mgtable.ReadPage(page.Bytes())
			must(t, err)
			received = append(received, again)
		}
		joined, err := mgtable.Join(manifest, received)
		must(t, err)
		if joined.Digest() != built.Digest() {
			t.Fatalf("changed by the round trip:\n%s\n%s", built.TOML(), joined.TOML())
		}
	})
}

// Guards against requests of a row that can't be used that another row, or a region that may not run them,
// takes.
func TestUnusableRowServedByAnother(t *testing.T) {
	Convey("A spec with a route and an account that can't be read whole", t, func() {
		unreadable := errors.New("a number in place of a text")
		spec, faults := mgtable.Spec{
			Version: 1,
			Services: []mgtable.ServiceSpec{
				{
					Name: "ledger",
				},
				{
					Name: "unusable",
				},
			},
			Routes: []mgtable.RouteSpec{
				{
					Name:   "all",
					Host:   "a.example",
					Prefix: "/",
					Services: []mgtable.ShareSpec{
						{
							Service: "ledger",
							Weight:  1,
						},
					},
				},
				{
					Name:       "deep",
					Host:       "a.example",
					Prefix:     "/deep/",
					Homes:      []string{"south"},
					Unreadable: unreadable,
				},
			},
			Accounts: []mgtable.AccountSpec{
				{
					Name:       "depot",
					Keys:       []mgtable.Digest{mgtable.DigestOf([]byte("k"))},
					Unreadable: unreadable,
				},
			},
		}.Complete()
		So(len(faults.List()), ShouldEqual, 2)
		table, err := mgtable.Build(spec)
		So(err, ShouldBeNil)
		So(table.Route("a.example", "/7").PickService(0), ShouldEqual, "ledger")
		So(table.Route("a.example", "/deep/7").PickService(0), ShouldEqual, "unusable-")
		So(table.AccountByKey("k").HomeRegions(), ShouldResemble, []string{"unusable"})
	})
	Convey("A literal prefix goes before the percent-encoding of another one", t, func() {
		for _, prefixes := range [][]string{{"/ü/", "/%C3%BC/"}, {"/%C3%BC/", "/ü/"}} {
			spec := mgtable.Spec{
				Version: 1,
				Accounts: []mgtable.AccountSpec{
					{
						Name: "depot",
					},
				},
			}
			for i, prefix := range prefixes {
				spec.Routes = append(spec.Routes, mgtable.RouteSpec{
					Name:   fmt.Sprint(i),
					Host:   "a.example",
					Prefix: prefix,
					Services: []mgtable.ShareSpec{
						{
							Service: prefix,
							Weight:  1,
						},
					},
				})
			}
			spec, _ = spec.Complete()
			table, err := mgtable.Build(spec)
			So(err, ShouldBeNil)
			So(table.Route("a.example", "/%C3%BC/7").PickService(0), ShouldEqual, "/%C3%BC/")
			So(table.Route("a.example", "/ü/7").PickService(0), ShouldEqual, "/ü/")
		}
	})
}
