package mgorigin

import "context"

// maxBatch is the maximum number of records in a message.
const maxBatch = 1000

// replica is a process that keeps copies of this process's records. Its fields are guarded by
// the replicator's mu, except where only run uses them.
type replica struct {
	replicator *Replicator
	name       string
	stop       context.CancelFunc
	pending    map[Key]bool // keys of own records to send
	failing    bool         // the last message wasn't answered
	wake       chan struct{}
	urgent     chan struct{}

	incarnation string // of the peer, as it last answered; used by run only
}

func newReplica(replicator *Replicator, name string, stop context.CancelFunc) *replica {
	r := &replica{
		replicator: replicator,
		name:       name,
		stop:       stop,
		wake:       make(chan struct{}, 1),
		urgent:     make(chan struct{}, 1),
	}
	r.enqueueAll()
	return r
}

// enqueue adds an own record to those to send.
func (r *replica) enqueue(key Key) {
	if r.pending == nil {
		r.pending = map[Key]bool{}
	}
	r.pending[key] = true
	notify(r.wake)
}

// enqueueAll adds all own records to those to send.
func (r *replica) enqueueAll() {
	for key := range r.replicator.own {
		r.enqueue(key)
	}
}

// notify sends on a channel with a buffer of one, unless it is full.
func notify(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// run sends messages to the replica until ctx ends.
func (r *replica) run(ctx context.Context) {
	clock := r.replicator.spec.Clock
	for ctx.Err() == nil {
		check := clock.After(checkInterval)
		select {
		case <-r.wake:
		case <-check:
		case <-ctx.Done():
			return
		}
		delay := messageInterval
		if !r.send(ctx) {
			delay = failureDelay
		}
		select {
		case <-clock.After(delay):
		case <-r.urgent:
			notify(r.wake)
		case <-ctx.Done():
		}
	}
}

// batch is what one message holds, with the edition of each record.
type batch struct {
	message  Message
	editions map[Key]int
}

// send sends what is pending, and reports whether the replica answered.
func (r *replica) send(ctx context.Context) bool {
	b, ok := r.takeBatch()
	if !ok {
		return true
	}
	reply, err := r.replicator.spec.Call(ctx, r.name, b.message)
	r.replicator.mu.Lock()
	defer r.replicator.mu.Unlock()
	if err != nil {
		r.replicator.spec.Count("untold")
		r.failing = true
		r.incarnation = "" // which records it has is unknown
		r.enqueueAll()
		r.replicator.wakeWaiting()
		return false
	}
	r.replicator.spec.Count("told")
	r.failing = false
	if reply.Incarnation != r.incarnation {
		r.resendAllBut(b.editions)
		r.incarnation = reply.Incarnation
	}
	for key, edition := range b.editions {
		if known := r.replicator.own[key]; known != nil && known.edition == edition {
			known.copies[r.name] = copyState{
				acked: true,
			}
			known.notifyChanged()
		}
	}
	return true
}

// takeBatch returns what is to be sent now, or false if there is nothing and the replica needn't
// be checked.
func (r *replica) takeBatch() (batch, bool) {
	now := r.replicator.spec.Clock.Now()
	r.replicator.mu.Lock()
	defer r.replicator.mu.Unlock()
	if len(r.replicator.own) == 0 {
		return batch{}, false
	}
	b := batch{
		editions: map[Key]int{},
	}
	for key := range r.pending {
		if len(b.message.Records) == maxBatch {
			notify(r.wake)
			break
		}
		delete(r.pending, key)
		known := r.replicator.own[key]
		if known == nil || now >= known.expiresAt {
			continue
		}
		record := known.record
		record.Left = known.expiresAt - now
		b.message.Records = append(b.message.Records, record)
		b.editions[key] = known.edition
		known.copies[r.name] = copyState{
			outdated: known.copies[r.name].outdated,
		}
	}
	return b, true
}

// resendAllBut enqueues all own records, except those that a peer has just received. The peer
// has restarted and holds no others.
func (r *replica) resendAllBut(sent map[Key]int) {
	for key, known := range r.replicator.own {
		if _, ok := sent[key]; !ok {
			delete(known.copies, r.name)
			r.enqueue(key)
		}
	}
}

// wakeWaiting makes all calls of Confirm check again. mu must be held.
func (p *Replicator) wakeWaiting() {
	for _, known := range p.own {
		known.notifyChanged()
	}
}

func (o *ownRecord) notifyChanged() {
	close(o.changed)
	o.changed = make(chan struct{})
}
