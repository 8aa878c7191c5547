//go:build race

package mgspeed_test

// playedLoads has one load only: with the race detector the plays take ten times as long.
var playedLoads = []float64{0.6}
