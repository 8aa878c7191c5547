package mgmodel

// Reserve reserves memory for a copy from another engine. It returns false, and
// reserves nothing, if there is not enough free memory.
func (e *Engine) Reserve(tokens int) bool {
	if tokens > e.Free() {
		return false
	}
	e.used += tokens
	return true
}

// Release frees memory that Reserve reserved.
func (e *Engine) Release(tokens int) { e.used -= tokens }

// Resume continues a sequence whose first produced tokens came from another
// engine, together with its whole context except uncopied tokens, which are
// computed here. The sequence is placed at the head of the waiting queue,
// whatever its priority. It returns false, and changes nothing, in the cases
// in which Add does.
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
