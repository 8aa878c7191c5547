package mgbackup

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// destination returns an engine that may hold a backup of longRun.
func destination(name string, change func(d *Destination)) Destination {
	d := Destination{
		Engine: Engine{
			Name:  name,
			Zone:  "south",
			Start: 1000,
		},
		Version:  "v1",
		Capacity: 26_868,
		Free:     15_000,
	}
	if change != nil {
		change(&d)
	}
	return d
}

// Guards against a backup at an engine that can't hold it, can't continue the generation,
// or would have to displace requests.
func TestBackupAtUnfitEngine(t *testing.T) {
	cases := []struct {
		name   string
		change func(d *Destination)
		reason Reason
	}{
		{
			name:   "fit",
			reason: Named,
		},
		{
			name:   "the generation's own engine",
			change: func(d *Destination) { d.Name = "e0" },
			reason: Unfit,
		},
		{
			name:   "cold",
			change: func(d *Destination) { d.Cold = true },
			reason: Unfit,
		},
		{
			name:   "limited",
			change: func(d *Destination) { d.Limited = true },
			reason: Unfit,
		},
		{
			name:   "suspected",
			change: func(d *Destination) { d.Suspect = true },
			reason: Unfit,
		},
		{
			name:   "leaving or cordoned",
			change: func(d *Destination) { d.Barred = true },
			reason: Unfit,
		},
		{
			name:   "of another software version",
			change: func(d *Destination) { d.Version = "v2" },
			reason: Unfit,
		},
		{
			name:   "of an unknown software version",
			change: func(d *Destination) { d.Version = "" },
			reason: Unfit,
		},
		{
			// 3,827 tokens of the generation and a reserve of 4,030 are needed.
			name:   "without room beside the reserve",
			change: func(d *Destination) { d.Free = 7800 },
			reason: NoRoom,
		},
		{
			name:   "with just enough room",
			change: func(d *Destination) { d.Free = 7900 },
			reason: Named,
		},
		{
			name:   "of unknown memory",
			change: func(d *Destination) { d.Capacity = 0 },
			reason: NoRoom,
		},
	}
	Convey("An engine that is", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				_, reason := Choose(longRun(), Rates{}, []Destination{destination("d", c.change)})
				So(reason, ShouldEqual, c.reason)
			})
		}
	})
	Convey("Unknown versions are not equal", t, func() {
		run := longRun()
		run.Version = ""
		_, reason := Choose(run, Rates{}, []Destination{destination("d", func(d *Destination) { d.Version = "" })})
		So(reason, ShouldEqual, Unfit)
	})
	Convey("Without engines there is no backup", t, func() {
		_, reason := Choose(longRun(), Rates{}, nil)
		So(reason, ShouldEqual, Unfit)
	})
}

// Guards against a backup that is lost together with the generation's engine, or at the
// same engine as those of all other processes.
func TestBackupAtBadEngine(t *testing.T) {
	rates := Rates{
		Zones: map[string]float64{"west": 0.0001},
	}
	cases := []struct {
		name  string
		worse func(d *Destination)
	}{
		{
			name:  "in an availability zone that loses engines",
			worse: func(d *Destination) { d.Zone = "west" },
		},
		{
			name:  "that started long ago, and is fuller",
			worse: func(d *Destination) { d.Start, d.Free = 1, 9000 },
		},
		{
			name:  "in the generation's zone, and started long ago",
			worse: func(d *Destination) { d.Zone, d.Start = "north", 1 },
		},
	}
	Convey("An engine isn't chosen", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				for i := range 100 {
					run := longRun()
					run.ID = fmt.Sprint(i)
					best, reason := Choose(run, rates, []Destination{destination("a", c.worse), destination("b", nil)})
					So(reason, ShouldEqual, Named)
					So(best, ShouldEqual, 1)
				}
			})
		}
	})
	Convey("Generations are spread over engines that are alike", t, func() {
		counts := map[int]int{}
		for i := range 1000 {
			run := longRun()
			run.ID = fmt.Sprint(i)
			best, _ := Choose(run, rates, []Destination{destination("a", nil), destination("b", nil), destination("c", nil)})
			counts[best]++
		}
		for i := range 3 {
			So(counts[i], ShouldBeBetween, 250, 420)
		}
	})
}

// Guards against backups of generations that gain little, and against none for one that
// has lost its engine before and has much to lose.
func TestExposureMisjudged(t *testing.T) {
	rates := Rates{
		Engine: 1.0 / 500_000, // an engine lasts for 500 s
	}
	cases := []struct {
		name   string
		change func(r *Run)
		reason Reason
	}{
		{
			name:   "of average length",
			change: func(*Run) {},
			reason: Named,
		},
		{
			name:   "that is short",
			change: func(r *Run) { r.Output, r.Duration = 200, 2400 },
			reason: Short,
		},
		{
			name:   "that is somewhat longer",
			change: func(r *Run) { r.Output, r.Duration = 300, 3300 },
			reason: Safe,
		},
		{
			name:   "of as much further output that has produced much before",
			change: func(r *Run) { r.Output, r.Generated, r.Duration = 1500, 1200, 2700 },
			reason: Named,
		},
		{
			name:   "whose caller waits no longer",
			change: func(r *Run) { r.Duration = 100 },
			reason: Short,
		},
		{
			name:   "of unknown size",
			change: func(r *Run) { *r = Run{} },
			reason: Short,
		},
	}
	Convey("A generation", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				run := longRun()
				c.change(&run)
				So(run.Justifies(rates), ShouldEqual, c.reason)
			})
		}
	})
}
