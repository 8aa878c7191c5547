package mgstandin

import "github.com/marjoramgauge/marjoramgauge/pkg/mgclock"

// The kinds of faults. Heal ends the others.
const (
	Heal   = "heal"
	Die    = "die"    // engine: every generation is lost, connections break
	Cut    = "cut"    // engine: a stream breaks after some tokens, once a generation
	Stall  = "stall"  // engine: a stream goes silent after some tokens, once a generation
	Silent = "silent" // any: connections open, and nothing is answered
	Slow   = "slow"   // engine: steps take longer; service: calls take longer
	Leave  = "leave"  // engine: it takes no new generations
	Hang   = "hang"   // service: a call runs and is never answered
	Lost   = "lost"   // service: a call runs and its connection breaks
	Early  = "early"  // service: the connection breaks before the body is read
	Refuse = "refuse" // service: status 503, the call doesn't run
	Down   = "down"   // platform: connections break
	Stale  = "stale"  // platform: it answers what was true when this was set
)

// Fault turns a switch.
type Fault struct {
	Kind   string         `json:"kind"`
	After  uint64         `json:"after,omitempty"`  // tokens before a cut or stall
	Times  int            `json:"times,omitempty"`  // calls of a service it strikes, 0 for all
	Factor float64        `json:"factor,omitempty"` // how many times as slow an engine
	Delay  mgclock.Millis `json:"delay,omitempty"`  // how much slower a service; how long a leaving engine still has, 0 untold
	Spare  string         `json:"spare,omitempty"`  // a key of the platform's that is well
}

// EngineCounts are the counters of an engine. They outlive its death.
type EngineCounts struct {
	Generations map[string]Record `json:"generations"` // by id
	Tokens      int               `json:"tokens"`
	Preempted   int               `json:"preempted"`
	Resumed     int               `json:"resumed"` // generations that went on from a copy
	Orders      int               `json:"orders"`  // orders carried out
	Older       int               `json:"older"`   // of those, orders older than one before
	Refused     int               `json:"refused"` // orders refused
	Crashes     int               `json:"crashes"` // by prompts with CrashMark
}

// Record is what an engine remembers of a generation.
type Record struct {
	Starts int    `json:"starts"` // how often it began: more than 1 is a double start
	Tokens int    `json:"tokens"` // produced by its end
	End    string `json:"end"`    // "stop", "length", "cancelled" or "moved"; nothing while it runs or when it was lost
	Prompt string `json:"prompt"` // the beginning of its prompt
}

// ServiceCounts are the counters of a service.
type ServiceCounts struct {
	Runs  map[string]int `json:"runs"`  // runs by operation; without one by method and path
	Total int            `json:"total"` // runs in all
}

// PlatformCounts are the counters of a platform.
type PlatformCounts struct {
	Reads   int           `json:"reads"`
	Refused int           `json:"refused"` // reads over the rate
	Peak    int           `json:"peak"`    // most reads in one second
	Seconds map[int64]int `json:"seconds"` // reads by second since the start, the last 600
}

// VersionHeader carries a value's version.
const VersionHeader = "Version"

// ServiceReply is the body of a service's reply.
type ServiceReply struct {
	Service   string `json:"service"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Operation string `json:"operation,omitempty"`
	Run       int    `json:"run"`    // 1 for the first run of the operation
	Digest    string `json:"digest"` // Digest of the call's body
}
