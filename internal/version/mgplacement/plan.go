package mgplacement

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// A Plan holds the model of each live engine. It is immutable; the zero Plan is empty.
type Plan struct {
	models       map[string]string // by upstream
	engineCounts map[string]int    // by model
}

// Assign computes the plan for a table and the members on the list. Suspicions are
// ignored: they differ between observers, and the plan must not.
func Assign(table *mgtable.Table, view *mgmember.View) *Plan {
	p := &Plan{
		models:       make(map[string]string),
		engineCounts: make(map[string]int),
	}
	var live []*mgtable.Upstream
	for u := range table.Upstreams() {
		agent, ok := view.Agent(u.Name())
		if u.Kind() == mgtable.Engine && ok && agent.Listed() && !agent.Leaving() {
			live = append(live, u)
			p.set(u.Name(), topModel(u))
		}
	}
	for m := range table.Models() {
		if p.engineCounts[m.Name()] == 0 {
			p.coverModel(m.Name(), live)
		}
	}
	return p
}

func (p *Plan) set(upstream, model string) {
	if before, ok := p.models[upstream]; ok {
		p.engineCounts[before]--
	}
	p.models[upstream] = model
	p.engineCounts[model]++
}

// topModel returns the model that ranks first among those an engine may hold.
func topModel(u *mgtable.Upstream) string {
	best := ""
	for _, model := range u.Models() {
		if best == "" || score(u.Name(), model) > score(u.Name(), best) {
			best = model
		}
	}
	return best
}

func score(upstream, model string) uint64 { return xxhash.Sum64String(upstream + "\x00" + model) }

// coverModel assigns to a model without an engine the one that ranks first for it among
// those whose own model has others.
func (p *Plan) coverModel(model string, live []*mgtable.Upstream) {
	best := ""
	for _, u := range live {
		if !u.ListsModel(model) || p.engineCounts[p.models[u.Name()]] < 2 {
			continue
		}
		if best == "" || score(u.Name(), model) > score(best, model) {
			best = u.Name()
		}
	}
	if best != "" {
		p.set(best, model)
	}
}

// Model returns the model of an upstream, or "" when the plan has none for it.
func (p *Plan) Model(upstream string) string { return p.models[upstream] }

// EngineCount returns the number of engines that hold a model.
func (p *Plan) EngineCount(model string) int { return p.engineCounts[model] }

// Len returns the number of engines.
func (p *Plan) Len() int { return len(p.models) }

// Changes returns the upstreams that load between two plans, in the order of their
// slots. The order differs from plan to plan, so that no engine is always last.
func Changes(older, newer *Plan) []string {
	var changed []string
	for upstream, model := range newer.models {
		if older.models[upstream] != model {
			changed = append(changed, upstream)
		}
	}
	sort.Slice(changed, func(i, j int) bool {
		a, b := score(changed[i], "load "+newer.models[changed[i]]), score(changed[j], "load "+newer.models[changed[j]])
		if a != b {
			return a < b
		}
		return changed[i] < changed[j]
	})
	return changed
}
