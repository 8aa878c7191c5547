package mglimit

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestInvalidRateIsParsed(t *testing.T) {
	Convey("The rates that upstreams name are parsed", t, func() {
		for text, rate := range map[string]float64{
			"4.9":  4.9,
			" 5 ":  5,
			"0":    0,
			"0.25": 0.25,
			"1e2":  100,
		} {
			got, err := Parse(text)
			So(err, ShouldBeNil)
			So(got, ShouldEqual, rate)
		}
		Convey("and anything else is an error", func() {
			for _, text := range []string{"", "few", "-1", "NaN", "Inf", "1e999", "5/s", "5, 6"} {
				_, err := Parse(text)
				So(err, ShouldNotBeNil)
			}
		})
	})
}
