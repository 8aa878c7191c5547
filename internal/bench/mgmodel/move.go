package mgmodel

// Hold takes memory for a copy that comes from another engine. It reports
// false, and takes none, when there is no room.
func (e *Engine) Hold(tokens int) bool {
	if tokens > e.Free() {
		return false
	}
	e.used += tokens
	return true
}

// Release gives memory back that Hold took.
func (e *Engine) Release(tokens int) { e.used -= tokens }

// Resume goes on with a sequence whose first produced tokens came from another
// engine, together with all of its context but the rest tokens, which are
// computed here. It goes before all that wait. It reports false, and changes
// nothing, where Add would.
func (e *Engine) Resume(s Sequence, produced, uncopied int) bool {
	if !e.Add(s) {
		return false
	}
	q := e.byID[s.ID]
	q.produced = produced
	q.copied = q.context() - uncopied
	e.removeWaiting(q)
	e.waiting = append([]*sequence{q}, e.waiting...)
	return true
}
