package mgbench

// moveStrategy determines how generations leave an engine that is reclaimed.
type moveStrategy string

// Move strategies.
const (
	strategyStay        moveStrategy = "stay"     // generations are not moved
	strategyOnce        moveStrategy = "once"     // all generations are stopped and copied at once
	strategySelf        moveStrategy = "self"     // each entry moves its own generations in two phases, uncoordinated
	strategySlots       moveStrategy = "turns"    // two phases, coordinated by migration slots
	strategyWaitingList moveStrategy = "room"     // migration slots, and requests wait for memory in one waiting list
	strategyForeseen    moveStrategy = "foreseen" // migration slots, and earlier notice
)

// movePolicies returns one policy per move strategy. All use the same routing
// and admission, in which entries reach engines directly.
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

// directBuild sets gates that pass each call to the engine at once, where it
// waits in the engine's own queue.
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
