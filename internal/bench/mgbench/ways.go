package mgbench

// way is how generations leave an engine that is reclaimed.
type way string

// The ways.
const (
	wayStay     way = "stay"     // not at all
	wayOnce     way = "once"     // stopped and copied, all at once
	waySelf     way = "self"     // each entry for itself, in two steps
	wayTurns    way = "turns"    // by turns, in two steps
	wayRoom     way = "room"     // by turns, and requests wait for memory in one line
	wayForeseen way = "foreseen" // by turns, and the leaving is known earlier
)

// movePolicies returns the ways of moving generations over the same placement
// and admission, which is that of entries that reach engines directly.
func movePolicies() []policy {
	texts := []struct {
		way  way
		text string
	}{
		{wayStay, "a reclaimed engine's generations are cut"},
		{wayOnce, "all are stopped and copied at once"},
		{waySelf, "each entry copies its own one by one, then stops and copies the rest"},
		{wayTurns, "the same, by turns that one entry gives"},
		{wayRoom, "by turns, and requests wait for memory in one line, not at engines"},
		{wayForeseen, "by turns, with a second of notice more"},
	}
	var all []policy
	for _, t := range texts {
		all = append(all, policy{
			name:  "move/" + string(t.way),
			text:  t.text,
			way:   t.way,
			build: directBuild,
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
			fits:     func(*call, int) bool { return true },
		}
		u.gate = f.gate()
	}
	return leastConnections(us)
}
