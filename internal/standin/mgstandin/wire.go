package mgstandin

import "github.com/marjoramgauge/marjoramgauge/pkg/mgclock"

// Kinds of faults. Heal ends the others.
const (
	Heal   = "heal"
	Die    = "die"    // engine: all generations are lost, connections break
	Cut    = "cut"    // engine: a stream breaks after some tokens, once per generation
	Stall  = "stall"  // engine: a stream stalls after some tokens, once per generation
	Silent = "silent" // any: connections are accepted but not answered
	Slow   = "slow"   // engine: steps take longer; service: calls take longer
	Leave  = "leave"  // engine: new generations are refused
	Hang   = "hang"   // service: a call is executed but never answered
	Lost   = "lost"   // service: a call is executed and its connection breaks
	Early  = "early"  // service: the connection breaks before the body is read
	Refuse = "refuse" // service: status 503, the call isn't executed
	Down   = "down"   // platform: connections break
	Stale  = "stale"  // platform: answers are those from when the fault was set
)

// Fault is the setting of a switch.
type Fault struct {
	Kind      string         `json:"kind"`
	After     uint64         `json:"after,omitempty"`  // tokens before a cut or stall
	Times     int            `json:"times,omitempty"`  // number of service calls affected, 0 for all
	Factor    float64        `json:"factor,omitempty"` // factor by which an engine's steps take longer
	Delay     mgclock.Millis `json:"delay,omitempty"`  // service: added delay; engine: notice of a Leave, 0 for none
	ExemptKey string         `json:"spare,omitempty"`  // platform: a key that is not affected
}

// EngineCounts holds the counters of an engine. They survive Die.
type EngineCounts struct {
	Generations map[string]Record `json:"generations"` // by id
	Tokens      int               `json:"tokens"`
	Preempted   int               `json:"preempted"`
	Resumed     int               `json:"resumed"`     // generations resumed from a copy
	Orders      int               `json:"orders"`      // orders carried out
	Older       int               `json:"older"`       // carried out orders with an outdated fencing number
	Refused     int               `json:"refused"`     // orders refused
	Crashes     int               `json:"crashes"`     // caused by prompts with CrashMark
	PartCrashes int               `json:"partcrashes"` // caused by prompts with CrashPartMark
	LateCrashes int               `json:"latecrashes"` // caused by prompts with CrashLateMark
}

// Record is the record of a generation, which the engine keeps after its end.
type Record struct {
	Starts int    `json:"starts"` // number of starts; more than 1 is a double start
	Tokens int    `json:"tokens"` // number of tokens produced at its end
	End    string `json:"end"`    // "stop", "length", "cancelled" or "moved"; empty while it runs or if it was lost
	Prompt string `json:"prompt"` // beginning of the prompt
}

// ServiceCounts holds the counters of a service.
type ServiceCounts struct {
	Runs  map[string]int `json:"runs"`  // executions by operation, or by method and path if there is none
	Total int            `json:"total"` // all executions
}

// PlatformCounts holds the counters of a platform.
type PlatformCounts struct {
	Reads   int           `json:"reads"`
	Refused int           `json:"refused"` // reads over the rate limit
	Peak    int           `json:"peak"`    // maximum reads in one second
	Seconds map[int64]int `json:"seconds"` // reads by second since the start, the last 600
}

// VersionHeader is the name of the response header with a value's version.
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
