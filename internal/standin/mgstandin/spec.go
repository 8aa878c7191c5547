package mgstandin

import (
	"github.com/marjoramgauge/marjoramgauge/internal/bench/mgmodel"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// EngineSpec holds the settings of an engine stand-in.
type EngineSpec struct {
	Listen   string         `toml:"listen" need:"yes" help:"loopback IP and port"`
	Software string         `toml:"software" help:"its software version, on which the text of its generations depends"`
	Model    mgmodel.Spec   `toml:"model" help:"steps and memory; its speed is the demo's"`
	Serves   []string       `toml:"serves" help:"models loaded at the start; none means any model"`
	Role     string         `toml:"role" help:"role at the start"`
	Fenced   bool           `toml:"fenced" help:"whether it refuses orders with an old fencing number"`
	Lag      mgclock.Millis `toml:"lag" min:"0" max:"600000" unit:"ms" help:"age of the load report"`
	Late     mgclock.Millis `toml:"late" min:"0" max:"600000" unit:"ms" help:"delay of cache events"`
	Gap      int            `toml:"gap" min:"0" max:"1000000" help:"each gap-th cache event is lost; 0 for none"`
	Keep     mgclock.Millis `toml:"keep" default:"60000" min:"0" max:"3600000" unit:"ms" help:"how long a finished generation can be resumed"`
	Beat     mgclock.Millis `toml:"beat" default:"1000" min:"0" max:"600000" unit:"ms" help:"interval of heartbeats on a stream"`
	Copy     int            `toml:"copy" default:"55" min:"0" max:"1000000" unit:"us" help:"time to copy a token's memory to another engine"`
	Loading  mgclock.Millis `toml:"loading" min:"0" max:"600000" unit:"ms" help:"how long a load order takes"`
}

// ServiceSpec holds the settings of a plain service stand-in.
type ServiceSpec struct {
	Listen string         `toml:"listen" need:"yes" help:"loopback IP and port"`
	Name   string         `toml:"name" help:"goes into its replies"`
	Delay  mgclock.Millis `toml:"delay" min:"0" max:"600000" unit:"ms" help:"time that a call takes"`
}

// EventsSpec holds the settings of a stand-in that streams events.
type EventsSpec struct {
	Listen   string         `toml:"listen" need:"yes" help:"loopback IP and port"`
	Name     string         `toml:"name" help:"its name in the list of VMs, which requests state"`
	Software string         `toml:"software" help:"its software version, which its events state"`
	Interval mgclock.Millis `toml:"interval" min:"0" max:"600000" unit:"ms" help:"time between events"`
	Closes   float64        `toml:"closes" min:"0" max:"1" help:"share of the answers that have neither length nor chunks and end with their connection"`
	Breaks   float64        `toml:"breaks" min:"0" max:"1" help:"share of the answers that break off inside an event"`
}

// PlatformSpec holds the settings of a platform stand-in.
type PlatformSpec struct {
	Listen string         `toml:"listen" need:"yes" help:"loopback IP and port"`
	Rate   int            `toml:"rate" min:"0" max:"1000000" unit:"reads/s" help:"bound on reads; 0 for none"`
	Lag    mgclock.Millis `toml:"lag" min:"0" max:"600000" unit:"ms" help:"delay of the list of VMs"`
	Table  string         `toml:"table" help:"file of the table published at the start"`
	Values []string       `toml:"values" help:"values published at the start, each key=file"`
}
