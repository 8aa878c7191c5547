package mgplatform

import (
	"encoding/json"
	"errors"
	"fmt"
)

// The keys of values.
const (
	ManifestKey = "manifest"
	ListKey     = "vms"
	pagePrefix  = "page-"
)

// PageKey returns the key of the page with a digest.
func PageKey(digest string) string { return pagePrefix + digest }

// The kinds of VMs.
const (
	EntryKind = "entry"
	AgentKind = "agent"
	// UpstreamKind is an upstream that entries reach directly. No process of
	// the system runs there, so it is not a peer.
	UpstreamKind = "upstream"
)

// The states of VMs.
const (
	Live    = "live"
	Leaving = "leaving"
)

// VM is a row of the list of VMs.
type VM struct {
	Name             string   `json:"name"`
	Kind             string   `json:"kind"`
	Addr             string   `json:"addr"`           // address for callers (of an entry) or for entries (of an agent)
	Peer             string   `json:"peer,omitempty"` // address for other processes, Addr when empty
	Zone             string   `json:"zone"`
	Region           string   `json:"region"`
	Upstream         string   `json:"upstream,omitempty"`
	Models           []string `json:"models,omitempty"`
	Services         []string `json:"services,omitempty"`
	State            string   `json:"state"`
	Power            int      `json:"power,omitempty"` // capacity of its processor and network relative to others; 0 if unknown
	ColdMillis       int64    `json:"cold,omitempty"`  // ms for which its request rate is still limited after its start
	IncarnationStart int64    `json:"born,omitempty"`  // start time, if the platform provides it; increases with each start under the same name
	// HeldMillis is the time in ms for which the row is held: the platform lacks it, but its
	// rows may have expired while it was unavailable. 0 if the platform has the row.
	HeldMillis int64 `json:"held,omitempty"`
	// WithheldMillis is the time in ms for which the upstream gets no work: its row had been
	// removed, and a backup from which the platform was restored has brought it back.
	WithheldMillis int64 `json:"withheld,omitempty"`
	// SoftwareVersion is the version of the upstream's software, "" if the platform doesn't
	// provide it. Versions have no order. Output of one version can't be continued by another.
	SoftwareVersion string `json:"software,omitempty"`
}

// PeerAddr returns the address at which other processes reach the VM.
func (v VM) PeerAddr() string {
	if v.Peer != "" {
		return v.Peer
	}
	return v.Addr
}

// VMList is the value of ListKey. It lags behind the real state of the VMs.
type VMList struct {
	Version uint64 `json:"version"`
	// Era increases each time the platform is restored from an older copy of its
	// values, which may be outdated by seconds. Versions increase with it.
	Era uint64 `json:"era,omitempty"`
	VMs []VM   `json:"vms"`
	// Cordoned are the availability zones whose upstreams get no new work until the
	// operator removes the cordon. Running work continues.
	Cordoned []string `json:"cordoned,omitempty"`
	// CordonsHeld are those of Cordoned that the platform lacks since it was restored, with
	// the time in ms for which they are held.
	CordonsHeld map[string]int64 `json:"cordonsheld,omitempty"`
	// Uncordoned are the availability zones whose cordons the operator has removed since the
	// platform was restored.
	Uncordoned []string `json:"uncordoned,omitempty"`
	// GraceMillis is the remaining time in ms in which the list may lack running upstreams or
	// be as in a backup, because the platform has just returned from an outage.
	GraceMillis int64 `json:"grace,omitempty"`
}

// RowsError is returned with a list of VMs some rows of which can't be read. The others are used.
type RowsError struct {
	count int
	first error
}

// Count returns the number of rows that can't be read.
func (e *RowsError) Count() int { return e.count }

// Unwrap returns why the first of the rows can't be read.
func (e *RowsError) Unwrap() error { return e.first }

func (e *RowsError) Error() string {
	return fmt.Sprintf("platform: rows of the list of VMs that can't be read: %d: publish them again: %v", e.count, e.first)
}

// ReadList parses a list. It omits VMs without a name, because processes are
// identified by the names of their VMs. If rows have values that can't be read, it
// returns the others with a RowsError.
func ReadList(data []byte) (VMList, error) {
	var list VMList
	err := json.Unmarshal(data, &list)
	var mismatch *json.UnmarshalTypeError
	var unread *RowsError
	if errors.As(err, &mismatch) {
		list, unread, err = readRows(data)
	}
	if err != nil {
		return VMList{}, fmt.Errorf("platform: the list of VMs is not JSON, or is none: publish it again: %w", err)
	}
	named := list.VMs[:0]
	for _, vm := range list.VMs {
		if vm.Name != "" {
			named = append(named, vm)
		}
	}
	list.VMs = named
	if unread != nil {
		return list, unread
	}
	return list, nil
}

// readRows parses a list row by row. The rows that can't be read are omitted and counted.
func readRows(data []byte) (list VMList, unread *RowsError, err error) {
	var raw struct {
		VMList
		Rows []json.RawMessage `json:"vms"`
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return VMList{}, nil, err
	}
	for _, row := range raw.Rows {
		var vm VM
		if err := json.Unmarshal(row, &vm); err != nil {
			if unread == nil {
				unread = &RowsError{
					first: err,
				}
			}
			unread.count++
			continue
		}
		raw.VMs = append(raw.VMs, vm)
	}
	return raw.VMList, unread, nil
}
