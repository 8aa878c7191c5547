package mgstandin

import (
	"github.com/marjoramgauge/marjoramgauge/internal/bench/mgmodel"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// EngineSpec describes an engine stand-in.
type EngineSpec struct {
	Listen  string         `toml:"listen"`  // loopback address and port
	Model   mgmodel.Spec   `toml:"model"`   // steps and memory; its speed is the demo's
	Serves  []string       `toml:"serves"`  // models loaded at the start; none means any model
	Role    string         `toml:"role"`    // role at the start
	Fenced  bool           `toml:"fenced"`  // it refuses orders with an old fencing number
	Lag     mgclock.Millis `toml:"lag"`     // age of the load report
	Late    mgclock.Millis `toml:"late"`    // delay of cache events
	Gap     int            `toml:"gap"`     // each gap-th cache event is lost, 0 for none
	Keep    mgclock.Millis `toml:"keep"`    // how long a finished generation can be resumed [60000]
	Beat    mgclock.Millis `toml:"beat"`    // interval of heartbeats on a stream [1000]
	Loading mgclock.Millis `toml:"loading"` // how long a load order takes
}

// ServiceSpec describes a plain service stand-in.
type ServiceSpec struct {
	Listen string         `toml:"listen"` // loopback address and port
	Name   string         `toml:"name"`   // goes into its replies
	Delay  mgclock.Millis `toml:"delay"`  // time that a call takes
}

// PlatformSpec describes a platform stand-in.
type PlatformSpec struct {
	Listen string         `toml:"listen"` // loopback address and port
	Rate   int            `toml:"rate"`   // reads a second, 0 for no bound
	Lag    mgclock.Millis `toml:"lag"`    // delay of the list of VMs
	Values []ValueSpec    `toml:"values"` // published at the start
}

// ValueSpec is a value that the platform publishes at its start.
type ValueSpec struct {
	Key  string `toml:"key"`
	File string `toml:"file"` // read by the command that starts the platform
}
