package mgplatform_test

import (
	"errors"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
)

// Guards against a list of VMs that is no longer followed because of one row.
func TestOddRowHidesList(t *testing.T) {
	const before, after = `{"version":3,"cordoned":["z"],"vms":[{"name":"a","addr":"x"},`, `,{"name":"b","state":"leaving"}]}`
	Convey("A list is read without a row that", t, func() {
		for name, row := range map[string]string{
			"is a number":             `7`,
			"is a list":               `[{"name":"c"}]`,
			"has a number for a name": `{"name":7}`,
			"has a name for a number": `{"name":"c","cold":"x"}`,
			"has a number too large":  `{"name":"c","born":1e30}`,
			"has a number of 9,000 digits": `{"name":"c","born":` + strings.Repeat("9", 9000) +
				`}`,
			"has lists 9,000 deep": `{"name":"c","models":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000) + `}`,
		} {
			Convey(name, func() {
				list, err := mgplatform.ReadList([]byte(before + row + after))
				var unread *mgplatform.RowsError
				So(errors.As(err, &unread), ShouldBeTrue)
				So(unread.Count(), ShouldEqual, 1)
				So(unread.Unwrap(), ShouldNotBeNil)
				So(list.Version, ShouldEqual, 3)
				So(list.Cordoned, ShouldResemble, []string{"z"})
				So(list.VMs, ShouldHaveLength, 2)
				So(list.VMs[0].Addr, ShouldEqual, "x")
				So(list.VMs[1].State, ShouldEqual, mgplatform.Leaving)
			})
		}
	})
	Convey("A list is none if", t, func() {
		for name, text := range map[string]string{
			"its version is none":   `{"version":"x","vms":[{"name":"a"}]}`,
			"its cordons are none":  `{"version":3,"cordoned":7,"vms":[{"name":"a"}]}`,
			"its rows are no list":  `{"version":3,"vms":{"name":"a"}}`,
			"it is a list itself":   `[]`,
			"it ends within a row":  `{"version":3,"vms":[{"name":"a"`,
			"it is nested too deep": `{"version":3,"vms":[` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `]}`,
		} {
			Convey(name, func() {
				list, err := mgplatform.ReadList([]byte(text))
				So(err, ShouldNotBeNil)
				var unread *mgplatform.RowsError
				So(errors.As(err, &unread), ShouldBeFalse)
				So(list.VMs, ShouldBeEmpty)
			})
		}
	})
}
