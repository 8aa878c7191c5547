package mgprobe

import "github.com/marjoramgauge/marjoramgauge/pkg/mgclock"

// A Message holds answers of engines, for another entry. So does its response.
type Message struct {
	Entry string `json:"entry"`
	// Answers holds the age of the last answer, in ms, by engine.
	Answers map[string]mgclock.Millis `json:"answers,omitempty"`
	// All is true if the message has all recent answers that its sender knows, so that the response has those of
	// its receiver.
	All bool `json:"all,omitempty"`
	// Idle is true in the response of an entry that doesn't probe now.
	Idle bool `json:"idle,omitempty"`
}
