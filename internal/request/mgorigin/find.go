package mgorigin

import (
	"context"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// findTimeout limits how long other processes are asked for a record. Those that run answer in
// some ms, and the address of one that has ended refuses connections.
const findTimeout = 250 * mgclock.Millis(1)

// A Finding is the result of a search for a stream's origin.
type Finding struct {
	Record Record // its version is "" if the origins in two records differ
	Known  bool   // there is a record
	// Complete reports whether all other processes answered. A record may turn up later
	// otherwise.
	Complete bool
}

// Find returns the origin of a stream that a caller wants to resume. It asks all other
// processes if this one has no record.
func (p *Replicator) Find(ctx context.Context, key Key) Finding {
	if record, ok := p.records.Find(p.spec.Clock.Now(), key); ok {
		return Finding{
			Record:   record,
			Known:    true,
			Complete: true,
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peers := p.spec.Peers()
	answers := make(chan *Reply, len(peers))
	for _, peer := range peers {
		go func() {
			reply, err := p.spec.Call(ctx, peer.Name, Message{
				Find: []Key{key},
			})
			if err != nil {
				answers <- nil
				return
			}
			answers <- &reply
		}()
	}
	timeout := p.spec.Clock.After(findTimeout)
	finding := Finding{
		Complete: true,
	}
	for range peers {
		select {
		case reply := <-answers:
			finding.add(reply)
		case <-timeout:
			finding.Complete = false
			return finding
		case <-ctx.Done():
			finding.Complete = false
			return finding
		}
	}
	return finding
}

// add adds the answer of a process, nil if it didn't answer.
func (f *Finding) add(reply *Reply) {
	if reply == nil {
		f.Complete = false
		return
	}
	for _, record := range reply.Records {
		if f.Known && record.Origin() != f.Record.Origin() {
			f.Record.Version = ""
			continue
		}
		if !f.Known {
			f.Record = record
			f.Known = true
		}
	}
}
