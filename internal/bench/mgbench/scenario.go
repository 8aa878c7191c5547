package mgbench

import (
	"fmt"

	"github.com/marjoramgauge/marjoramgauge/internal/bench/mgmodel"
)

// Durations and sizes that the scenarios share.
const (
	runDuration = 600.0 // duration of arrivals in s: several times the longest deadline
	runEngines  = 4     // enough for routing to matter, few enough for parameter sweeps
	lossEngines = 8     // a quarter of them is two engines
)

// Saturation rates in requests per second and engine: the tokens per second
// that an engine produces under the policy "peak" at about twice the
// sustainable load, divided by the mean length of an answer
// (docs/MEASUREMENTS.md, "Saturation").
const (
	mixedRate = 3.4
	longRate  = 2.0
	smallRate = 0.85
)

// Scenarios returns all scenarios in the order of the tables.
func Scenarios() []ScenarioSpec {
	return []ScenarioSpec{
		calmScenario(), burstScenario(), heavyScenario(), slowScenario(), longScenario(), smallScenario(),
		saturationScenario("sat10", 1.0), saturationScenario("sat13", 1.3), saturationScenario("sat20", 2.0),
		shiftScenario(), takeoverScenario(), lossScenario(), reclaimScenario(), packedScenario(),
	}
}

// scenarioByName returns the scenario of a name.
func scenarioByName(name string) (ScenarioSpec, error) {
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, nil
		}
	}
	return ScenarioSpec{}, fmt.Errorf("scenario %q: unknown: use all or one of %v", name, scenarioNames())
}

func scenarioNames() []string {
	var names []string
	for _, s := range Scenarios() {
		names = append(names, s.Name)
	}
	return names
}

func lognormal(median, sigma float64, limit int) LengthSpec {
	return LengthSpec{
		Median: median,
		Sigma:  sigma,
		Limit:  limit,
	}
}

func bimodal(firstMedian, secondMedian, secondWeight, sigma float64, limit int) LengthSpec {
	return LengthSpec{
		Median:       firstMedian,
		Sigma:        sigma,
		SecondMedian: secondMedian,
		SecondWeight: secondWeight,
		Limit:        limit,
	}
}

// lookupService requests short answers for which a person waits at a tank.
func lookupService(share float64) ServiceSpec {
	return ServiceSpec{
		Name:         "lookup",
		Share:        share,
		Prompt:       lognormal(300, 0.5, 2000),
		Output:       lognormal(60, 0.6, 512),
		SharedPrefix: 0.6,
		Deadline:     10,
		Priority:     2,
		Prefer:       Steady,
	}
}

// noteService requests notes on gauge anomalies.
func noteService(share float64) ServiceSpec {
	return ServiceSpec{
		Name:         "note",
		Share:        share,
		Prompt:       lognormal(500, 0.5, 3000),
		Output:       lognormal(200, 0.6, 1024),
		SharedPrefix: 0.5,
		Deadline:     30,
		Priority:     1,
		Prefer:       Steady,
	}
}

// reportService requests shift reports and dossiers; a third of them are very
// long.
func reportService(share float64) ServiceSpec {
	return ServiceSpec{
		Name:         "report",
		Share:        share,
		Prompt:       lognormal(600, 0.5, 4000),
		Output:       bimodal(400, 2500, 0.3, 0.5, 6000),
		SharedPrefix: 0.4,
		Deadline:     180,
		Prefer:       Whole,
	}
}

// mixedServices returns the services of most scenarios.
func mixedServices() []ServiceSpec {
	return []ServiceSpec{lookupService(0.45), noteService(0.25), reportService(0.30)}
}

// equalAccounts returns accounts of equal weights and Zipf-like shares of the
// load, so that a few accounts are large.
func equalAccounts(count int, from float64) []AccountSpec {
	accounts := make([]AccountSpec, count)
	for i := range accounts {
		accounts[i] = AccountSpec{
			Name:   fmt.Sprintf("account%02d", i+1),
			Weight: 1,
			Share:  1 / float64(i+1),
			From:   from,
		}
	}
	return accounts
}

func baseScenario(name, text string, load float64) ScenarioSpec {
	return ScenarioSpec{
		Name:           name,
		Description:    text,
		Duration:       runDuration,
		Engines:        runEngines,
		SaturationRate: mixedRate,
		Load:           load,
		Services:       mixedServices(),
		Accounts:       equalAccounts(10, 0),
	}
}

func calmScenario() ScenarioSpec {
	return baseScenario("calm", "half of saturation", 0.5)
}

func burstScenario() ScenarioSpec {
	s := baseScenario("burst", "three times the mean rate for 15 s every 75 s", 0.85)
	s.Burst = BurstSpec{
		Factor:        3,
		BurstDuration: 15,
		CalmDuration:  60,
	}
	return s
}

func heavyScenario() ScenarioSpec {
	s := baseScenario("heavy", "three of ten accounts, of weights 1, 2 and 3, send three quarters of 1.6 times saturation", 1.6)
	for i := range s.Accounts {
		s.Accounts[i].Share = 0.25 / 7
		if i < 3 {
			s.Accounts[i].Weight = float64(i + 1)
			s.Accounts[i].Share = 0.25
		}
	}
	return s
}

func slowScenario() ScenarioSpec {
	s := baseScenario("slow", "one of four engines runs at a quarter of its speed for half of the run", 0.75)
	s.Fault = FaultSpec{
		Engines: 1,
		From:    0.25,
		Until:   0.75,
		Speed:   0.25,
	}
	return s
}

func longScenario() ScenarioSpec {
	s := baseScenario("long", "one very long report to six lookups", 0.95)
	s.SaturationRate = longRate
	s.Services = []ServiceSpec{lookupService(0.85), reportService(0.15)}
	s.Services[1].Output = lognormal(3000, 0.4, 8000)
	s.Services[1].Deadline = 240
	return s
}

func smallScenario() ScenarioSpec {
	s := baseScenario("small", "memory for a handful of reports", 0.95)
	s.SaturationRate = smallRate
	s.Model = mgmodel.Spec{
		Memory: 12000,
	}
	s.Services = []ServiceSpec{noteService(0.4), reportService(0.6)}
	return s
}

func saturationScenario(name string, load float64) ScenarioSpec {
	return baseScenario(name, fmt.Sprintf("%.1f times saturation", load), load)
}

func shiftScenario() ScenarioSpec {
	s := baseScenario("shift", "a third into the run, outputs grow to 2.5 times and arrivals halve", 0.9)
	s.Phases = []PhaseSpec{{
		From:   1.0 / 3,
		Rate:   0.5,
		Length: 2.5,
	}}
	return s
}

func takeoverScenario() ScenarioSpec {
	s := baseScenario("takeover", "from the middle on, twice the accounts send twice the load", 0.6)
	for _, a := range equalAccounts(10, 0.5) {
		a.Name = "new" + a.Name
		s.Accounts = append(s.Accounts, a)
	}
	s.Phases = []PhaseSpec{{
		From:   0.5,
		Rate:   2,
		Length: 1,
	}}
	return s
}

func lossScenario() ScenarioSpec {
	s := baseScenario("loss", "two of eight engines leave on 30 s notice", 0.85)
	s.Engines = lossEngines
	s.Fault = FaultSpec{
		Engines: 2,
		From:    0.5,
		Notice:  30,
	}
	return s
}

// reclaimScenario models a deployment of twelve engines whose provider
// reclaims a sixth of them every 3.3 s with two seconds' notice; this affects
// four in ten reports.
func reclaimScenario() ScenarioSpec {
	s := baseScenario("reclaim", "two of twelve engines leave on 1.5 to 2.1 s notice every 3.3 s, and are back 4 s later", 0.5)
	s.Engines = 12
	s.SaturationRate = 1.85
	s.Model = mgmodel.Spec{
		Memory:       34000,
		MaxBatch:     32,
		StepCost:     7,
		SequenceCost: 0.12,
		ContextCost:  0.001, // practically zero; 0 itself would select the default
		PrefillCost:  71,
	}
	s.Services = []ServiceSpec{
		{
			Name:            "report",
			Share:           0.42,
			Prompt:          lognormal(2800, 0.35, 9000),
			Output:          lognormal(660, 0.84, 2200),
			Deadline:        39,
			FirstTokenLimit: 1.8,
			Prefer:          Whole,
		},
		{
			Name:            "note",
			Share:           0.58,
			Prompt:          lognormal(2300, 0.3, 6000),
			Output:          lognormal(10, 0.4, 60),
			Deadline:        6,
			FirstTokenLimit: 1.5,
			Prefer:          Steady,
		},
	}
	s.Reclaim = ReclaimSpec{
		Interval:       3.3,
		Engines:        2,
		MinNotice:      1.5,
		MaxExtraNotice: 0.6,
		Downtime:       4,
		Entries:        5,
		Zones:          3,
		CopyPerToken:   0.055,
	}
	return s
}

// packedScenario models a deployment of 44 engines whose memory is almost
// full: running generations take 95 % of the memory of the engines that are
// present.
func packedScenario() ScenarioSpec {
	s := reclaimScenario()
	s.Name = "packed"
	s.Description = "reclaims of seven of 44 engines, whose memory is all but full"
	s.Engines = 44
	s.SaturationRate = 2.5
	s.Model.Memory = 21850
	s.Model.MaxBatch = 24
	s.Services[0].Share = 0.47
	s.Services[0].Output = lognormal(560, 0.84, 2200)
	s.Services[1].Share = 0.53
	s.Accounts = equalAccounts(24, 0)
	s.Reclaim.Engines = 7
	s.Reclaim.Entries = 24
	return s
}
