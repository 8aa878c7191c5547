package mgbackup

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// ended is when the memory of a backup is returned.
type ended struct {
	at      mgclock.Millis
	process int
	grant   Grant
}

// simulate lets processes ask for a backup for each of their generations, and returns the
// average and the maximum memory of all backups.
func simulate(supply Supply, perSecond float64, duration mgclock.Millis) (average, most float64) {
	budgets := make([]Budget, supply.Processes)
	random := rand.New(rand.NewPCG(1, 2))
	var running []ended
	held, sum := 0, 0.0
	for now := range duration {
		kept := running[:0]
		for _, e := range running {
			if now < e.at {
				kept = append(kept, e)
				continue
			}
			budgets[e.process].Release(now, e.grant)
			held -= e.grant.Memory
		}
		running = kept
		if random.Float64() < perSecond/1000 {
			process := random.IntN(supply.Processes)
			output := 300 + int(700*random.ExpFloat64())
			run := Run{
				Prompt:   3000,
				Output:   output,
				Duration: 600 + 9*mgclock.Millis(output),
			}
			grant := Grant{
				Service:  "llm",
				Memory:   run.Memory(),
				At:       now,
				Duration: run.Duration,
			}
			if budgets[process].Take(grant, supply) {
				held += grant.Memory
				// Runs take another time than expected, and some copies are held after a failure.
				at := now + mgclock.Millis((0.5+random.Float64())*float64(run.Duration))
				if random.IntN(10) == 0 {
					at += 5 * mgclock.Second
				}
				running = append(running, ended{
					at:      at,
					process: process,
					grant:   grant,
				})
			}
		}
		sum += float64(held)
		most = max(most, float64(held))
	}
	return sum / float64(duration), most
}

// Guards against copies that fill the memory (once half of it), and against a share that is lost
// because each process's part is smaller than one backup.
func TestBackupsUseMoreThanTheirShare(t *testing.T) {
	cases := []struct {
		name      string
		supply    Supply
		perSecond float64
		least     float64 // part of the share that must be used
	}{
		{
			name: "much free memory, 22 processes",
			supply: Supply{
				Free:      700_000,
				Capacity:  890_000,
				Processes: 22,
			},
			perSecond: 22,
			least:     0.6,
		},
		{
			name: "little free memory, 22 processes",
			supply: Supply{
				Free:      200_000,
				Capacity:  730_000,
				Processes: 22,
			},
			perSecond: 22,
			least:     0.5,
		},
		{
			name: "one process",
			supply: Supply{
				Free:      700_000,
				Capacity:  890_000,
				Processes: 1,
			},
			perSecond: 22,
			least:     0.6,
		},
		{
			name: "300 processes",
			supply: Supply{
				Free:      3_000_000,
				Capacity:  8_000_000,
				Processes: 300,
			},
			perSecond: 200,
			least:     0.5,
		},
		{
			name: "no free memory",
			supply: Supply{
				Capacity:  730_000,
				Processes: 22,
			},
			perSecond: 22,
		},
	}
	Convey("With", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				average, most := simulate(c.supply, c.perSecond, 10*mgclock.Minute)
				share := c.supply.total()
				t.Logf("%s: share %.0f tokens, average %.0f, maximum %.0f", c.name, share, average, most)
				So(average, ShouldBeLessThanOrEqualTo, share)
				So(average, ShouldBeGreaterThanOrEqualTo, c.least*share)
				if share > 0 {
					// Processes don't know of one another's backups, which are some 3,400 tokens each.
					So(most, ShouldBeLessThanOrEqualTo, 1.5*share+5*3400)
				} else {
					So(most, ShouldEqual, 0)
				}
			})
		}
	})
}

// Guards against a burst of backups after a quiet time, in which all processes saved up.
func TestBurstAfterQuietTime(t *testing.T) {
	supply := Supply{
		Free:      200_000,
		Capacity:  200_000,
		Processes: 10,
	}
	grantAt := func(now mgclock.Millis, memory int, duration mgclock.Millis) Grant {
		return Grant{
			Service:  "llm",
			Memory:   memory,
			At:       now,
			Duration: duration,
		}
	}
	Convey("A process saves up for a limited time", t, func() {
		var b Budget
		first := grantAt(0, 4000, 10_000)
		So(b.Take(first, supply), ShouldBeTrue)
		b.Release(10_000, first)
		late := grantAt(mgclock.Minute, 4000, 10_000)
		So(b.Take(late, supply), ShouldBeTrue)
		b.Release(mgclock.Minute+10_000, late)
		// It has earned for 10 s more since, and spent that.
		next := grantAt(mgclock.Minute+10_000, 4000, 10_000)
		So(b.Take(next, supply), ShouldBeTrue)
		So(b.Take(grantAt(mgclock.Minute+10_001, 4000, 10_000), supply), ShouldBeFalse)
	})
	Convey("A backup that wasn't made costs nothing, and one that is held for longer costs more", t, func() {
		var b Budget
		for range 10 {
			refused := grantAt(0, 4000, 10_000)
			So(b.Take(refused, supply), ShouldBeTrue)
			b.Release(0, refused)
		}
		held := grantAt(0, 4000, 10_000)
		So(b.Take(held, supply), ShouldBeTrue)
		b.Release(15_000, held)
		So(b.Take(grantAt(15_000, 4000, 10_000), supply), ShouldBeFalse)
		So(b.Take(grantAt(20_000, 4000, 10_000), supply), ShouldBeTrue)
	})
	Convey("A process that has a backup holds no more than its part", t, func() {
		var b Budget
		one := grantAt(0, 3000, 3000)
		So(b.Take(one, supply), ShouldBeTrue)
		So(b.Take(one, supply), ShouldBeFalse)
		So(b.Held(), ShouldEqual, 3000)
		b.Release(0, one)
		So(b.Held(), ShouldEqual, 0)
	})
}
