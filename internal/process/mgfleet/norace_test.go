//go:build !race

package mgfleet_test

// raceEnabled builds the processes without the race detector.
const raceEnabled = false
