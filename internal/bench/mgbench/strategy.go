package mgbench

// way is how generations leave an engine that is reclaimed.
type moveStrategy string

// The ways.
const (
	strategyStay        moveStrategy = "stay"     // not at all
	strategyOnce        moveStrategy = "once"     // stopped and copied, all at once
	strategySelf        moveStrategy = "self"     // each entry for itself, in two steps
	strategySlots       moveStrategy = "turns"    // by turns, in two steps
	strategyWaitingList moveStrategy = "room"     // by turns, and requests wait for memory in one line
	strategyForeseen    moveStrategy = "foreseen" // by turns, and the leaving is known earlier
)

// movePolicies returns the ways of moving generations over the same placement
// and admission, which is that of entries that reach engines directly.
func movePolicies() []policy {
	texts := []struct {
		strategy moveStrategy
		text     string
	}{
		{strategyStay, "a reclaimed engine's generations are cut"},
		{strategyOnce, "all are stopped and copied at once"},
		{strategySelf, "each entry copies its own one by one, then stops and copies the rest"},
		{strategySlots, "the same, by turns that one entry gives"},
		{strategyWaitingList, "by turns, and requests wait for memory in one line, not at engines"},
		{strategyForeseen, "by turns, with a second of notice more"},
	}
	var all []policy
	for _, t := range texts {
		all = append(all, policy{
			name:         "move/" + string(t.strategy),
			description:  t.text,
			moveStrategy: t.strategy,
			build:        directBuild,
		})
	}
	return all
}

// directBuild sets gates that give each call to the engine at once, where it
// waits in the engine's own line.
func directBuild(_ ScenarioSpec, us []*upstream, _ uint64) router {
	for _, u := range us {
		f := &fifo{
			upstream: u,
			canAdmit: func(*call, int) bool { return true },
		}
		u.gate = f.gate()
	}
	return leastConnections(us)
}
