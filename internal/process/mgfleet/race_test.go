//go:build race

package mgfleet_test

// raceEnabled builds the processes with the race detector as well.
const raceEnabled = true
