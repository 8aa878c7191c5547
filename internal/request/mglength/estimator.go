package mglength

// HalfLife is the number of answers after which earlier counts weigh half. It
// leaves enough answers for the tail of a bimodal distribution.
const HalfLife = 200

// PriorWeight is the weight, in answers, of the parent level in each bucket.
const PriorWeight = 4

// MaxClasses is the maximum number of classes that an Estimator keeps.
const MaxClasses = 4096

// maxStaleChanges is the maximum number of changes that a curve may lag behind
// its histograms, whose counts add up to some thousands: filling it after each
// change would be most of a decision's cost. A curve with few answers may lag
// by a sixteenth of its changes.
const maxStaleChanges = 64

// A Key names a class and its parent levels.
type Key struct {
	Account string
	Service string
	Model   string
}

// An Estimator estimates the lengths of answers from earlier ones. The zero
// Estimator uses the prior only and is ready for use.
type Estimator struct {
	classes  map[Key]*class
	services map[Key]*node // by service and model
	models   map[string]*node
	lru      class // list head of the classes, the most recently used first
}

// node is a class, a service or a model.
type node struct {
	parent       *node // nil for the prior
	refCount     int   // child nodes, or running answers
	histogram    histogram
	curve        Curve
	curveVersion uint64 // 1 plus the versions of all levels when curve was filled
}

// class is one account's use of a service.
type class struct {
	node
	key  Key
	next *class
	prev *class
}

// An Answer is one running answer that an Estimator follows. The zero Answer
// belongs to no Estimator.
type Answer struct {
	class         *node
	passedBuckets int // number of buckets that the answer has passed
}

// Classes returns the number of classes kept.
func (e *Estimator) Classes() int { return len(e.classes) }

// Levels returns the number of services and models kept, the levels above the
// classes.
func (e *Estimator) Levels() int { return len(e.services) + len(e.models) }

// Begin starts following an answer.
func (e *Estimator) Begin(key Key) Answer {
	c := e.classOf(key)
	c.refCount++
	return Answer{
		class: &c.node,
	}
}

// Curve returns the survival function of a class, or of the lowest known level
// above it. It is valid until the next call of a method of the Estimator or of
// one of its Answers.
func (e *Estimator) Curve(key Key) *Curve {
	if c := e.classes[key]; c != nil {
		return c.currentCurve()
	}
	if service := e.services[serviceKey(key)]; service != nil {
		return service.currentCurve()
	}
	return e.models[key.Model].currentCurve()
}

// Curve returns the survival function of the answer's class.
func (a *Answer) Curve() *Curve { return a.class.currentCurve() }

// Progress records how many tokens the answer has produced in all.
func (a *Answer) Progress(produced int) {
	for ; a.passedBuckets < Buckets-1 && float64(produced) >= edges[a.passedBuckets+1]; a.passedBuckets++ {
		for n := a.class; n != nil; n = n.parent {
			n.histogram.addPassed(a.passedBuckets)
		}
	}
}

// SkipTo skips the tokens that the answer had produced when it was first seen.
// Reaching that length is no evidence, because answers that ended before were
// never seen (left truncation).
func (a *Answer) SkipTo(produced int) { a.passedBuckets = bucket(produced) }

// Stop stops following an answer that was cut off.
func (a *Answer) Stop() {
	if a.class != nil {
		a.class.refCount--
	}
	a.class = nil
}

// End records that an answer ended by itself after a number of tokens in all,
// and stops following it.
func (a *Answer) End(produced int) {
	a.Progress(produced)
	for n := a.class; n != nil; n = n.parent {
		n.histogram.addEnded(a.passedBuckets)
	}
	a.Stop()
}

// hazard returns the probability that an answer which reaches bucket b ends in
// it.
func (n *node) hazard(b int) float64 {
	if n == nil {
		return priorHazard[b]
	}
	return n.histogram.hazard(b, n.parent.hazard(b))
}

// currentCurve returns the curve, recomputed if it lags behind too many
// changes.
func (n *node) currentCurve() *Curve {
	if n == nil {
		return &prior
	}
	version := uint64(1)
	for m := n; m != nil; m = m.parent {
		version += m.histogram.version
	}
	if staleChanges := version - n.curveVersion; n.curveVersion == 0 || staleChanges > min(version/16, maxStaleChanges) {
		n.curveVersion = version
		n.curve.fill(n.hazard)
	}
	return &n.curve
}

// classOf returns the class of a key, which it creates if needed.
func (e *Estimator) classOf(key Key) *class {
	e.init()
	c := e.classes[key]
	if c == nil {
		c = e.addClass(key, e.allocClass())
	}
	e.markUsed(c)
	return c
}

func (e *Estimator) init() {
	if e.classes != nil {
		return
	}
	e.classes = make(map[Key]*class)
	e.services = make(map[Key]*node)
	e.models = make(map[string]*node)
	e.lru.next = &e.lru
	e.lru.prev = &e.lru
}

// allocClass returns an empty class. At MaxClasses it evicts the least recently
// used one, and reuses its memory unless answers of it still run: they keep it
// until they end.
func (e *Estimator) allocClass() *class {
	if len(e.classes) < MaxClasses {
		return new(class)
	}
	c := e.lru.prev
	e.removeClass(c)
	if c.refCount > 0 {
		return new(class)
	}
	*c = class{}
	return c
}

func (e *Estimator) addClass(key Key, c *class) *class {
	model := e.models[key.Model]
	if model == nil {
		model = new(node)
		e.models[key.Model] = model
	}
	service := e.services[serviceKey(key)]
	if service == nil {
		service = &node{
			parent: model,
		}
		model.refCount++
		e.services[serviceKey(key)] = service
	}
	service.refCount++
	c.key = key
	c.parent = service
	e.classes[key] = c
	return c
}

// markUsed moves a class to the front of the LRU list.
func (e *Estimator) markUsed(c *class) {
	c.unlink()
	c.next = e.lru.next
	c.prev = &e.lru
	c.next.prev = c
	e.lru.next = c
}

func (c *class) unlink() {
	if c.next == nil {
		return
	}
	c.next.prev = c.prev
	c.prev.next = c.next
}

// removeClass removes a class, and its parent levels if they have no other.
func (e *Estimator) removeClass(c *class) {
	c.unlink()
	delete(e.classes, c.key)
	service := c.parent
	if service.refCount--; service.refCount > 0 {
		return
	}
	delete(e.services, serviceKey(c.key))
	model := service.parent
	if model.refCount--; model.refCount > 0 {
		return
	}
	delete(e.models, c.key.Model)
}

// serviceKey returns the key of a class's service.
func serviceKey(key Key) Key {
	key.Account = ""
	return key
}
