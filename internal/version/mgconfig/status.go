package mgconfig

import "github.com/marjoramgauge/marjoramgauge/pkg/mgclock"

// Counts holds counters of a machine's actions since its start.
type Counts struct {
	Exchanges     int `json:"exchanges"` // sent
	Fetches       int `json:"fetches"`   // sent
	Reads         int `json:"reads"`     // reads of the platform, watches included
	LongPolls     int `json:"listens"`   // long polls sent
	Adoptions     int `json:"adoptions"`
	ListAdoptions int `json:"lists"` // lists of VMs adopted

	// Reads by reason. They add up to Reads, except FailedReads, which counts those without
	// an answer.
	FirstReads   int `json:"first"`  // of a key without a value yet, or by the rare poll of a member that is no watcher
	PlainReads   int `json:"plain"`  // plain reads in place of watches
	QuickWatches int `json:"quick"`  // watches of the list on behalf of others
	SlowWatches  int `json:"slow"`   // watches of the list for this process alone
	TableWatches int `json:"table"`  // watches of the table's manifest
	PageReads    int `json:"pages"`  // of pages of the table
	FailedReads  int `json:"failed"` // reads that got no answer
}

// countRead counts a read and its reason.
func (c *Counts) countRead(counter *int) {
	c.Reads++
	*counter++
}

// Status is a machine's state for the debug dump.
type Status struct {
	Version         uint64 `json:"version"`
	Digest          string `json:"digest"`
	Accounts        int    `json:"accounts"`
	Ready           bool   `json:"ready"`
	Watcher         bool   `json:"watcher"`
	List            uint64 `json:"list"`
	Members         int    `json:"members"`
	AnsweredPeers   int    `json:"heard"`             // peers that answered before it was ready
	PullVersion     uint64 `json:"pulling,omitempty"` // version that is being fetched
	RejectedVersion uint64 `json:"refused,omitempty"` // last rejected version
	RejectionReason string `json:"faults,omitempty"`  // reasons of the rejection, one per line
	Failures        int    `json:"failures"`          // consecutive failed reads of the platform
	Counts          Counts `json:"counts"`
}

// Status returns the machine's state.
func (m *Machine) Status(now mgclock.Millis) Status {
	s := Status{
		Version:         m.Current().Version(),
		Digest:          m.Current().Digest(),
		Ready:           m.Ready(now),
		Watcher:         m.isWatcher(),
		List:            m.members.View().Version(),
		Members:         len(m.members.View().All()),
		AnsweredPeers:   len(m.join.answeredPeers),
		RejectedVersion: m.rejections.lastVersion,
		Failures:        m.manifestKeyState.failures,
		Counts:          m.counts,
	}
	if current := m.Current(); current != nil {
		s.Accounts = current.table.AccountCount()
	}
	if m.pull != nil {
		s.PullVersion = m.pull.key.version
	}
	if m.rejections.lastErr != nil {
		s.RejectionReason = m.rejections.lastErr.Error()
	}
	return s
}

// LastRejection returns the version that was rejected last and the reason, or nil.
// Version 0 stands for a value that couldn't be parsed at all.
func (m *Machine) LastRejection() (uint64, error) {
	return m.rejections.lastVersion, m.rejections.lastErr
}
