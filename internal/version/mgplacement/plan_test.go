package mgplacement_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgplacement"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

const sec = mgclock.Second

// table returns a table of engines, each of which may hold each of the models.
func table(engines, models int) *mgtable.Table {
	var b strings.Builder
	var all []string
	for i := range models {
		fmt.Fprintf(&b, "[[model]]\nname = \"m%d\"\ncontext = 9\nmax = 9\n", i)
		all = append(all, fmt.Sprintf("\"m%d\"", i))
	}
	b.WriteString("[[service]]\nname = \"s\"\nmodel = \"m0\"\n[[account]]\nname = \"a\"\n")
	for i := range engines {
		fmt.Fprintf(&b, "[[upstream]]\nname = \"u%03d\"\nmodels = [%s]\nmemory = 9\nbatch = 9\n", i, strings.Join(all, ", "))
	}
	t, err := mgtable.Parse([]byte(b.String()))
	if err != nil {
		panic(err)
	}
	return t
}

// view returns a view of the agents of some upstreams, without the removed ones.
func view(engines int, removed ...int) *mgmember.View {
	list := mgplatform.VMList{
		Version: 1,
	}
	isRemoved := make(map[int]bool)
	for _, i := range removed {
		isRemoved[i] = true
	}
	for i := range engines {
		if isRemoved[i] {
			continue
		}
		list.VMs = append(list.VMs, mgplatform.VM{
			Name:     fmt.Sprintf("vm-%03d", i),
			Kind:     mgplatform.AgentKind,
			Upstream: fmt.Sprintf("u%03d", i),
			State:    mgplatform.Live,
		})
	}
	members := mgmember.New("")
	members.AdoptList(0, list)
	return members.View()
}

func TestPlan(t *testing.T) {
	Convey("A plan for 900 engines and 9 models", t, func() {
		big := table(900, 9)
		plan := mgplacement.Assign(big, view(900))
		Convey("spreads the engines over the models", func() {
			for i := range 9 {
				So(plan.EngineCount(fmt.Sprintf("m%d", i)), ShouldBeBetween, 60, 140)
			}
		})
		Convey("moves nothing when an engine is removed", func() {
			So(mgplacement.Changes(plan, mgplacement.Assign(big, view(900, 5))), ShouldBeEmpty)
		})
	})
	Convey("No model is left without an engine while one can be spared", t, func() {
		small := table(4, 3)
		for i := range 4 {
			plan := mgplacement.Assign(small, view(4, i))
			So(plan.Len(), ShouldEqual, 3)
			for m := range 3 {
				So(plan.EngineCount(fmt.Sprintf("m%d", m)), ShouldEqual, 1)
			}
		}
	})
}

func TestPacer(t *testing.T) {
	Convey("A change of plan", t, func() {
		small := table(4, 3)
		plan := mgplacement.Assign(small, view(4))
		other := mgplacement.Assign(table(4, 1), view(4)) // m0 everywhere
		upstream := ""
		for i := range 4 {
			if name := fmt.Sprintf("u%03d", i); plan.Model(name) != "m0" {
				upstream = name
			}
		}
		p := mgplacement.NewPacer(upstream, 5, 1)
		p.SetPlan(0, plan)
		p.RecordLoaded(0, plan.Model(upstream))
		Convey("that is undone at once loads nothing", func() {
			p.SetPlan(sec, other)
			p.SetPlan(2*sec, plan)
			So(p.Due(100*sec), ShouldEqual, "")
		})
		Convey("is acted upon once it has been stable", func() {
			p.SetPlan(sec, other)
			So(p.Due(30*sec), ShouldEqual, "")
			So(p.Due(32*sec), ShouldEqual, "m0")
			p.RecordLoaded(32*sec, "m0")
			So(p.Due(99*sec), ShouldEqual, "")
		})
	})
}

// An engine loads another model each time a list flaps, every second or every minute,
// loses its caches each time, and is slow all the time.
func TestFlappingListReloadsModels(t *testing.T) {
	some := mgplacement.Assign(table(4, 3), view(4))
	all := mgplacement.Assign(table(4, 1), view(4)) // m0 everywhere
	upstream := ""
	for i := range 4 {
		if name := fmt.Sprintf("u%03d", i); some.Model(name) != "m0" {
			upstream = name
		}
	}
	cases := []struct {
		name     string
		every    mgclock.Millis
		maxLoads int // in ten minutes
	}{
		{
			name:  "each second",
			every: sec,
		},
		{
			name:  "at the pace of the list",
			every: 20 * sec,
		},
		{
			name:     "each minute: at most once per dwell time",
			every:    60 * sec,
			maxLoads: 5,
		},
	}
	Convey("A list that flaps", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				p := mgplacement.NewPacer(upstream, 5, 1)
				p.SetPlan(0, some)
				p.RecordLoaded(0, some.Model(upstream))
				loads := 0
				for now := sec; now < 600*sec; now += sec {
					plan := some
					if now/c.every%2 == 1 {
						plan = all
					}
					p.SetPlan(now, plan)
					if model := p.Due(now); model != "" {
						p.RecordLoaded(now, model)
						loads++
					}
				}
				So(loads, ShouldBeLessThanOrEqualTo, c.maxLoads)
			})
		}
	})
}

// A load starts less than a second after a refusal, or an engine changes its model
// twice within two minutes, for some sequence of lists and store replies.
func TestPacerProperties(t *testing.T) {
	plans := []*mgplacement.Plan{
		mgplacement.Assign(table(4, 3), view(4)),
		mgplacement.Assign(table(4, 2), view(4)),
		mgplacement.Assign(table(4, 1), view(4)),
	}
	rapid.Check(t, func(t *rapid.T) {
		upstream := fmt.Sprintf("u%03d", rapid.IntRange(0, 3).Draw(t, "engine"))
		p := mgplacement.NewPacer(upstream, 5, rapid.Uint64().Draw(t, "seed"))
		now, refused, changed := mgclock.Millis(0), -sec, -120*sec
		held := ""
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += mgclock.Millis(rapid.IntRange(0, 60_000).Draw(t, "span"))
			p.SetPlan(now, plans[rapid.IntRange(0, 2).Draw(t, "plan")])
			model := p.Due(now)
			if model == "" {
				continue
			}
			if model == held || now-refused < sec {
				t.Fatalf("%q loaded over %q, %d ms after a refusal", model, held, now-refused)
			}
			if rapid.Bool().Draw(t, "refused") {
				p.RecordRefusal(now)
				refused = now
				continue
			}
			if held != "" && now-changed < 120*sec {
				t.Fatalf("changed after %d ms", now-changed)
			}
			p.RecordLoaded(now, model)
			held, changed = model, now
		}
	})
}

// A region restarts after a power cut, and 900 agents start with empty engines.
// Requests for all models fail for an hour if the agents retry in step and the weight
// store refuses most of them again and again.
func TestColdStartOverloadsStore(t *testing.T) {
	Convey("A cold start of 900 engines stays near the store's rate", t, func() {
		const engines, rate = 900, 5
		plan := mgplacement.Assign(table(engines, 9), view(engines))
		pacers := make([]*mgplacement.Pacer, engines)
		for i := range pacers {
			pacers[i] = mgplacement.NewPacer(fmt.Sprintf("u%03d", i), rate, uint64(i))
			pacers[i].SetPlan(0, plan)
		}
		loaded, attempts, latePeak := 0, 0, 0
		now := mgclock.Millis(0)
		for loaded < engines && now < 3600*sec {
			now += sec
			admitted, requested := 0, 0
			for _, p := range pacers {
				model := p.Due(now)
				if model == "" {
					continue
				}
				requested++
				if admitted == rate {
					p.RecordRefusal(now)
					continue
				}
				admitted++
				p.RecordLoaded(now, model)
				loaded++
			}
			attempts += requested
			if now > 120*sec {
				latePeak = max(latePeak, requested)
			}
		}
		Printf("all loaded after %d s with %.1f attempts each, at most %d a second after two minutes ",
			now/sec, float64(attempts)/engines, latePeak)
		So(now, ShouldBeLessThan, 900*sec)
		So(float64(attempts)/engines, ShouldBeLessThan, 8)
		So(latePeak, ShouldBeLessThan, 4*rate)
	})
}
