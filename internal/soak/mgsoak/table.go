package mgsoak

import (
	"fmt"
	"strings"
)

// API keys of the two accounts. The second can be revoked.
const (
	firstKey  = "sample-tankline"
	secondKey = "sample-cooperativa"
)

const tableHead = `version = %d

[[model]]
name = "tank"
context = 131072
max = 32768

[[service]]
name = "report"
model = "tank"
prefer = "whole"
priority = 5
deadline = 20000
max = 32768

[[service]]
name = %q
model = "tank"
priority = 5
deadline = 20000
max = 512

[[service]]
name = "ticket"
kind = "plain"
priority = 8
deadline = 5000
repeat = "never"

[[upstream]]
name = "books"
kind = "service"
services = ["ticket"]
batch = 16

[[account]]
name = "tankline"
keys = ["be122e6c14afd1b20ab94a1a98ba052768381cb09e24a0d1cde7014300fb2ab0"]
`

const engineTable = `
[[upstream]]
name = %q
models = ["tank"]
memory = 40000
batch = 64
orders = "ignored"
`

const secondAccount = `
[[account]]
name = "cooperativa"
keys = ["bf06daad306a74c0998dc01b84ce9d6278f5a81ce01a395427145c09aa092709"]
`

// tableText returns the given version of the operators' table as TOML.
func tableText(names processNames, version int, mark string, revoked bool) string {
	var text strings.Builder
	fmt.Fprintf(&text, tableHead, version, mark)
	for _, engine := range names.engines {
		fmt.Fprintf(&text, engineTable, engine)
	}
	text.WriteString(streamTable)
	if !revoked {
		text.WriteString(secondAccount)
	}
	return text.String()
}
