package mgforecast

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// serveSteadily offers and serves requests of a cost each 100 ms, until the given time.
func serveSteadily(f *Forecast, until mgclock.Millis, offered, served float64) {
	f.SetBusy(0, true)
	for now := mgclock.Millis(0); now < until; now += 100 {
		f.Offer(now, offered)
		f.Serve(now, served)
	}
}

func TestStart(t *testing.T) {
	const now = 30 * mgclock.Second
	Convey("Where upstreams serve 2 ms of capacity in each ms", t, func() {
		var f Forecast
		serveSteadily(&f, now, 100, 200)
		Convey("a request starts once what is before it is served", func() {
			So(f.Start(now, 2000)-now, ShouldBeBetween, 950, 1100)
		})
		Convey("one that later ones overtake has what they leave", func() {
			So(f.StartBehind(now, 1000)-now, ShouldBeBetween, 900, 1200)
		})
		Convey("the rates are those of the last seconds", func() {
			offered, served := f.Rates(now)
			So(offered, ShouldAlmostEqual, 1, 0.05)
			So(served, ShouldAlmostEqual, 2, 0.1)
		})
	})
	Convey("Where more is offered than served", t, func() {
		var f Forecast
		serveSteadily(&f, now, 300, 200)
		Convey("a request that later ones overtake never starts", func() {
			So(f.StartBehind(now, 1), ShouldEqual, Never)
		})
		Convey("a request that they don't overtake does", func() {
			So(f.Start(now, 2000), ShouldBeLessThan, now+2*mgclock.Second)
		})
	})
	Convey("Without any grant, nothing starts", t, func() {
		var f Forecast
		So(f.Start(now, 1), ShouldEqual, Never)
	})
}

// The rate at which an idle service is asked must not be taken for all that it bears.
func TestIdleRateTakenForCapacity(t *testing.T) {
	Convey("The rate is known only after requests have waited for a while", t, func() {
		var f Forecast
		for now := mgclock.Millis(0); now < 10*mgclock.Second; now += 500 {
			f.Serve(now, 50)
		}
		So(f.IsKnown(10*mgclock.Second), ShouldBeFalse)
		f.SetBusy(10*mgclock.Second, true)
		So(f.IsKnown(10*mgclock.Second), ShouldBeFalse)
		So(f.IsKnown(12*mgclock.Second), ShouldBeTrue)
		f.SetBusy(12*mgclock.Second, false)
		So(f.IsKnown(12*mgclock.Second), ShouldBeFalse)
	})
}

// Guards against a margin that isn't the mean error of recent predictions.
func TestMarginMisjudged(t *testing.T) {
	Convey("The margin is the mean of the recent errors", t, func() {
		var f Forecast
		So(f.Margin(0), ShouldEqual, 0)
		f.RecordError(0, 100, 300)
		f.RecordError(0, 500, 100)
		So(f.Margin(100), ShouldBeBetween, 298, 301)
	})
}
