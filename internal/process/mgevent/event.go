package mgevent

import "github.com/marjoramgauge/marjoramgauge/pkg/mgclock"

// Kind is what happened.
type Kind string

// The kinds of events.
const (
	Adopted   Kind = "adopted"   // a version of the table is in force
	Refused   Kind = "refused"   // a version was refused
	Listed    Kind = "listed"    // the list of VMs changed
	Leaving   Kind = "leaving"   // an upstream or a process leaves
	Paused    Kind = "paused"    // this process overslept
	Placement Kind = "placement" // the plan of models changed
)

// Event is the payload of a message.
type Event struct {
	Seq     uint64         `json:"seq"`
	Kind    Kind           `json:"kind"`
	Subject string         `json:"subject,omitempty"`
	Detail  string         `json:"detail,omitempty"`
	At      mgclock.Millis `json:"at"`
}

// Trace is a handled event for the dump.
type Trace struct {
	Event
	Waited mgclock.Millis `json:"waited"` // from Publish to its handlers
	Took   mgclock.Millis `json:"took"`
}
