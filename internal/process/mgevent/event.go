package mgevent

import "github.com/marjoramgauge/marjoramgauge/pkg/mgclock"

// Kind is the kind of an event.
type Kind string

// The kinds of events.
const (
	TableAdopted  Kind = "adopted"   // a version of the table came into force
	TableRejected Kind = "refused"   // a version of the table was rejected
	ListChanged   Kind = "listed"    // the list of VMs changed
	Leaving       Kind = "leaving"   // an upstream or a process is leaving
	Paused        Kind = "paused"    // this process was paused
	PlanChanged   Kind = "placement" // the assignment of models to engines changed
)

// Event is a control event, the JSON payload of a message.
type Event struct {
	Seq     uint64         `json:"seq"`
	Kind    Kind           `json:"kind"`
	Subject string         `json:"subject,omitempty"`
	Detail  string         `json:"detail,omitempty"`
	At      mgclock.Millis `json:"at"`
}

// Trace is a handled event with its times, for the dump.
type Trace struct {
	Event
	Waited mgclock.Millis `json:"waited"` // from Publish to its handlers
	Took   mgclock.Millis `json:"took"`
}
