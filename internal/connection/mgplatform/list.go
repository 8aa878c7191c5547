package mgplatform

import (
	"encoding/json"
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
	// the system runs there, so that it is nobody's peer.
	UpstreamKind = "upstream"
)

// The states of VMs.
const (
	Live    = "live"
	Leaving = "leaving"
)

// VM is a row of the list of VMs.
type VM struct {
	Name     string   `json:"name"`
	Kind     string   `json:"kind"`
	Addr     string   `json:"addr"`           // where callers (entry) or entries (agent) reach it
	Peer     string   `json:"peer,omitempty"` // where other processes reach it, Addr when empty
	Zone     string   `json:"zone"`
	Region   string   `json:"region"`
	Upstream string   `json:"upstream,omitempty"`
	Models   []string `json:"models,omitempty"`
	Services []string `json:"services,omitempty"`
	State    string   `json:"state"`
	Power    int      `json:"power,omitempty"` // of its processor and link, relative to others; 0 where nobody says
	Cold     int64    `json:"cold,omitempty"`  // ms for which it bears few requests a second yet
	Born     int64    `json:"born,omitempty"`  // when it started, where the platform says; rises with each start under its name
}

// PeerAddr returns the address at which other processes reach the VM.
func (v VM) PeerAddr() string {
	if v.Peer != "" {
		return v.Peer
	}
	return v.Addr
}

// List is the value of ListKey. It lags behind what it shows.
type List struct {
	Version uint64 `json:"version"`
	// Era rises each time that the platform comes back from an older copy of its values, which
	// may show what was true seconds ago. Versions rise with it.
	Era uint64 `json:"era,omitempty"`
	VMs []VM   `json:"vms"`
	// Cordoned are the availability zones whose upstreams get no new work until the
	// operator takes that back. What runs there goes on.
	Cordoned []string `json:"cordoned,omitempty"`
}

// ReadList reads a list. VMs without a name are left out: no process could be
// told from another by them.
func ReadList(data []byte) (List, error) {
	var list List
	if err := json.Unmarshal(data, &list); err != nil {
		return List{}, fmt.Errorf("platform: the list of VMs is not JSON: publish it again: %w", err)
	}
	named := list.VMs[:0]
	for _, vm := range list.VMs {
		if vm.Name != "" {
			named = append(named, vm)
		}
	}
	list.VMs = named
	return list, nil
}
