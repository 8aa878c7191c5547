package mgnode

import (
	"context"
	"slices"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgquarantine"
	"github.com/marjoramgauge/marjoramgauge/internal/version/mgmember"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// otherEntries returns the other known entries. View.Peers leaves out suspected ones unless no
// other process is left.
func (n *Node) otherEntries() []*mgmember.Member {
	var entries []*mgmember.Member
	for _, peer := range n.members.View().Peers() {
		if peer.Kind() == mgplatform.EntryKind {
			entries = append(entries, peer)
		}
	}
	return entries
}

// trialRank returns this process's rank among the known entries for a digest; see mgquarantine.New.
func (n *Node) trialRank(digest mgquarantine.Digest) int {
	self := mgmember.Self(n.settings.Name, n.settings.Zone, 0)
	entries := append(n.otherEntries(), self)
	return slices.Index(mgmember.Rank(digest.String(), entries, len(entries)), self)
}

// watchHeld logs which requests and parts begin and cease to be held, until ctx ends.
func (n *Node) watchHeld(ctx context.Context) {
	var held map[mgquarantine.Digest]bool
	for ctx.Err() == nil {
		changed := n.quarantine.Changed()
		held = n.reportHeld(held)
		select {
		case <-changed:
		case <-n.clock.After(mgclock.Second):
		case <-ctx.Done():
		}
	}
}

// reportHeld logs the requests and parts that have begun or ceased to be held since previous, and
// returns those that are held now.
func (n *Node) reportHeld(previous map[mgquarantine.Digest]bool) map[mgquarantine.Digest]bool {
	held := map[mgquarantine.Digest]bool{}
	for _, suspect := range n.quarantine.Suspects(n.clock.Now()) {
		if suspect.Remaining() == 0 {
			continue
		}
		held[suspect.Digest()] = true
		if previous[suspect.Digest()] {
			continue
		}
		keys := []any{"digest", suspect.Digest().String(), "occurrences", suspect.Occurrences(), "ms", int64(suspect.Remaining())}
		message := "a request crashes upstreams and is held back"
		if suspect.IsPart() {
			message = "a part of prompts crashes upstreams, and requests with it are held back"
		}
		n.log.Info(message, append(keys, evidenceLogValues(suspect.Evidence())...)...)
	}
	for digest := range previous {
		if !held[digest] {
			n.log.Info("a request, or a part of prompts, is no longer held back", "digest", digest.String())
		}
	}
	n.metrics.Gauge("quarantine.held").Update(int64(len(held)))
	return held
}

// evidenceLogValues returns the keys and values of evidence for a log line.
func evidenceLogValues(records []mgquarantine.Record) []any {
	requests := make([]string, 0, len(records))
	upstreams := make([]string, 0, len(records))
	ages := make([]int64, 0, len(records))
	for _, record := range records {
		requests = append(requests, record.Request)
		upstreams = append(upstreams, record.Upstream)
		ages = append(ages, int64(record.Age))
	}
	return []any{"requests", requests, "upstreams", upstreams, "ages", ages}
}

// quarantineRow describes one request, or part of prompts, in the dump.
type quarantineRow struct {
	Digest      string                `json:"digest"`
	Part        bool                  `json:"part,omitempty"`
	Occurrences int                   `json:"occurrences"`
	Held        mgclock.Millis        `json:"held"` // remaining ms
	Evidence    []mgquarantine.Record `json:"evidence"`
}

// quarantineState returns the dump of the requests and parts that crash upstreams.
func (n *Node) quarantineState() any {
	suspects := n.quarantine.Suspects(n.clock.Now())
	rows := make([]quarantineRow, 0, len(suspects))
	for _, suspect := range suspects {
		rows = append(rows, quarantineRow{
			Digest:      suspect.Digest().String(),
			Part:        suspect.IsPart(),
			Occurrences: suspect.Occurrences(),
			Held:        suspect.Remaining(),
			Evidence:    suspect.Evidence(),
		})
	}
	return rows
}
