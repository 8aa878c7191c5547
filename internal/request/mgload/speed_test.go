package mgload

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mgspeed"
)

// Guards against this failure: an engine that takes 1.8 times as long for each step and each
// prompt costs as much as one that doesn't, and gets requests as if it were as fast.
func TestSpeedOfUpstreamIgnored(t *testing.T) {
	slow := mgspeed.Deviation{
		Step: 0.8 * mgspeed.DefaultStep,
		Run:  0.8 * mgspeed.DefaultPerRun,
		Read: 0.8 / ReadRate,
	}
	fast := mgspeed.Deviation{
		Step: -0.4 * mgspeed.DefaultStep,
		Read: -0.4 / ReadRate,
	}
	query := Query{
		Prompt: 740,
		Tokens: 100,
	}
	load := Load{
		Runs:    5,
		Pending: 1480,
	}
	const typical = 200 + 5*RunCost
	cases := []struct {
		name    string
		speed   mgspeed.Deviation
		want    float64 // ms
		pending int
	}{
		{
			name:    "typical speed: as published",
			want:    typical,
			pending: 1480,
		},
		{
			name:  "a slow one: the prompts before it, its own prompt, the runs and its tokens take 0.8 times longer",
			speed: slow,
			want: typical + 0.8*200 + 0.8*100 + 0.8*5*RunCost +
				100*0.8*(mgspeed.DefaultStep+5*mgspeed.DefaultPerRun),
			pending: 2664,
		},
		{
			name:    "a fast one: less",
			speed:   fast,
			want:    typical - 0.4*200 - 0.4*100 - 100*0.4*mgspeed.DefaultStep,
			pending: 888,
		},
	}
	Convey("The cost of a request at an upstream of", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				s := State{Load: load}
				if c.speed != (mgspeed.Deviation{}) {
					s = s.WithSpeed(c.speed)
				}
				So(Cost(s, query), ShouldAlmostEqual, c.want, 1e-6)
				So(s.PendingAsTypical(), ShouldEqual, c.pending)
			})
		}
		Convey("a slow one whose pace has just become far slower: as its pace says", func() {
			s := State{
				Load:      load,
				TokenCost: 60,
			}
			So(s.WithSpeed(slow).TokenCost, ShouldEqual, 60)
		})
	})
}
