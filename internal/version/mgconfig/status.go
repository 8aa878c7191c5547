package mgconfig

import "github.com/marjoramgauge/marjoramgauge/pkg/mgclock"

// Counts are the numbers of what a machine has done since it began.
type Counts struct {
	Exchanges int `json:"exchanges"` // sent
	Fetches   int `json:"fetches"`   // sent
	Reads     int `json:"reads"`     // of the platform, watches included
	Listens   int `json:"listens"`   // questions to the process that this one listens at
	Adoptions int `json:"adoptions"`
	Lists     int `json:"lists"` // lists of VMs adopted

	// Reads by reason, which are those of Reads and no others.
	First  int `json:"first"`  // of a key without a value yet, or polled
	Plain  int `json:"plain"`  // in place of each so manieth watch
	Quick  int `json:"quick"`  // watches of the list for others
	Slow   int `json:"slow"`   // watches of the list for this process alone
	Table  int `json:"table"`  // watches for versions of the table
	Pages  int `json:"pages"`  // of the table
	Failed int `json:"failed"` // of all reads, those that brought no answer
}

// read counts a read of the platform and its reason.
func (c *Counts) countRead(counter *int) {
	c.Reads++
	*counter++
}

// Status is a machine's state for the dump.
type Status struct {
	Version  uint64 `json:"version"`
	Digest   string `json:"digest"`
	Accounts int    `json:"accounts"`
	Ready    bool   `json:"ready"`
	Watcher  bool   `json:"watcher"`
	List     uint64 `json:"list"`
	Members  int    `json:"members"`
	Heard    int    `json:"heard"`             // peers that answered while it joined
	Pulling  uint64 `json:"pulling,omitempty"` // version on its way
	Refused  uint64 `json:"refused,omitempty"` // version refused last
	Faults   string `json:"faults,omitempty"`  // why, one fault a line
	Failures int    `json:"failures"`          // reads of the platform failed in a row
	Counts   Counts `json:"counts"`
}

// Status returns the machine's state.
func (m *Machine) Status(now mgclock.Millis) Status {
	s := Status{
		Version:  m.Current().Version(),
		Digest:   m.Current().Digest(),
		Ready:    m.Ready(now),
		Watcher:  m.isWatcher(),
		List:     m.members.View().Version(),
		Members:  len(m.members.View().All()),
		Heard:    len(m.join.peers),
		Refused:  m.rejections.version,
		Failures: m.manifestSource.failures,
		Counts:   m.counts,
	}
	if current := m.Current(); current != nil {
		s.Accounts = current.table.Len()
	}
	if m.pull != nil {
		s.Pulling = m.pull.key.version
	}
	if m.rejections.err != nil {
		s.Faults = m.rejections.err.Error()
	}
	return s
}

// Refused returns the version refused last and why, or nil. Version 0 stands
// for a value that could not be read at all.
func (m *Machine) LastRejection() (uint64, error) { return m.rejections.version, m.rejections.err }
