package mglength

// HalfLife is the number of answers after which what was counted before them
// weighs half. It leaves enough answers for the tail of a bimodal law.
const HalfLife = 200

// Trust is the weight, in answers, of the level above in each bucket.
const Trust = 4

// Classes is the most classes that an Estimator keeps.
const Classes = 4096

// fresh is the most counts that a curve may lack, out of some thousands that
// weigh: filling it for each count would be most of a decision's cost. A curve
// with little behind it lacks a sixteenth.
const fresh = 64

// A Key names a class and the levels above it.
type Key struct {
	Account string
	Service string
	Model   string
}

// An Estimator learns the lengths of answers. The zero Estimator knows only
// the prior and is ready for use.
type Estimator struct {
	classes  map[Key]*class
	services map[Key]*node // by service and model
	models   map[string]*node
	ring     class // of the classes, the most recently used first
}

// node is a class, a service or a model.
type node struct {
	above  *node // nil for the prior
	users  int   // nodes below, or answers that run
	counts counts
	curve  Curve
	turn   uint64 // of all counts when curve was filled
}

// class is one account's use of a service.
type class struct {
	node
	key  Key
	next *class
	prev *class
}

// An Answer is one running answer, as the Estimator follows it. The zero
// Answer is followed by none.
type Answer struct {
	class  *node
	passed int // buckets left behind
}

// Classes returns the number of classes kept.
func (e *Estimator) Classes() int { return len(e.classes) }

// Levels returns the number of services and models kept.
func (e *Estimator) Levels() int { return len(e.services) + len(e.models) }

// Begin starts to follow an answer.
func (e *Estimator) Begin(key Key) Answer {
	c := e.class(key)
	c.users++
	return Answer{
		class: &c.node,
	}
}

// Curve returns the survival function of a class, or of the lowest level above
// it that is known. It is valid until the next call of a method of the
// Estimator or of one of its Answers.
func (e *Estimator) Curve(key Key) *Curve {
	if c := e.classes[key]; c != nil {
		return c.look()
	}
	if service := e.services[serviceKey(key)]; service != nil {
		return service.look()
	}
	return e.models[key.Model].look()
}

// Curve returns the survival function of the answer's class.
func (a *Answer) Curve() *Curve { return a.class.look() }

// Progress tells that the answer has produced a number of tokens in all.
func (a *Answer) Progress(produced int) {
	for ; a.passed < Buckets-1 && float64(produced) >= edges[a.passed+1]; a.passed++ {
		for n := a.class; n != nil; n = n.above {
			n.counts.pass(a.passed)
		}
	}
}

// Skip tells that the answer had produced a number of tokens when it was first
// seen. That it came so far is no evidence: those that did not were never seen
// (left truncation).
func (a *Answer) Skip(produced int) { a.passed = bucket(produced) }

// Stop ends to follow an answer that was cut off.
func (a *Answer) Stop() {
	if a.class != nil {
		a.class.users--
	}
	a.class = nil
}

// End ends to follow an answer that came to its own end after a number of
// tokens in all.
func (a *Answer) End(produced int) {
	a.Progress(produced)
	for n := a.class; n != nil; n = n.above {
		n.counts.end(a.passed)
	}
	a.Stop()
}

// hazard returns the chance that an answer which reaches bucket b ends in it.
func (n *node) hazard(b int) float64 {
	if n == nil {
		return priorHazard[b]
	}
	return n.counts.hazard(b, n.above.hazard(b))
}

// look returns the curve, filled anew if enough was counted since.
func (n *node) look() *Curve {
	if n == nil {
		return &prior
	}
	turn := uint64(1)
	for m := n; m != nil; m = m.above {
		turn += m.counts.turn
	}
	if stale := turn - n.turn; n.turn == 0 || stale > min(turn/16, fresh) {
		n.turn = turn
		n.curve.fill(n.hazard)
	}
	return &n.curve
}

// class returns the class of a key, which it creates.
func (e *Estimator) class(key Key) *class {
	e.init()
	c := e.classes[key]
	if c == nil {
		c = e.create(key, e.spare())
	}
	e.touch(c)
	return c
}

func (e *Estimator) init() {
	if e.classes != nil {
		return
	}
	e.classes = make(map[Key]*class)
	e.services = make(map[Key]*node)
	e.models = make(map[string]*node)
	e.ring.next = &e.ring
	e.ring.prev = &e.ring
}

// spare returns an empty class. Once there are Classes it is the one used
// longest ago, unless answers of that one still run: they keep it until they
// end.
func (e *Estimator) spare() *class {
	if len(e.classes) < Classes {
		return new(class)
	}
	c := e.ring.prev
	e.forget(c)
	if c.users > 0 {
		return new(class)
	}
	*c = class{}
	return c
}

func (e *Estimator) create(key Key, c *class) *class {
	model := e.models[key.Model]
	if model == nil {
		model = new(node)
		e.models[key.Model] = model
	}
	service := e.services[serviceKey(key)]
	if service == nil {
		service = &node{
			above: model,
		}
		model.users++
		e.services[serviceKey(key)] = service
	}
	service.users++
	c.key = key
	c.above = service
	e.classes[key] = c
	return c
}

// touch moves a class to the front of the ring.
func (e *Estimator) touch(c *class) {
	c.unlink()
	c.next = e.ring.next
	c.prev = &e.ring
	c.next.prev = c
	e.ring.next = c
}

func (c *class) unlink() {
	if c.next == nil {
		return
	}
	c.next.prev = c.prev
	c.prev.next = c.next
}

// forget drops a class, and the levels above it that have no other.
func (e *Estimator) forget(c *class) {
	c.unlink()
	delete(e.classes, c.key)
	service := c.above
	if service.users--; service.users > 0 {
		return
	}
	delete(e.services, serviceKey(c.key))
	model := service.above
	if model.users--; model.users > 0 {
		return
	}
	delete(e.models, c.key.Model)
}

// serviceKey returns the key of the service over a class.
func serviceKey(key Key) Key {
	key.Account = ""
	return key
}
