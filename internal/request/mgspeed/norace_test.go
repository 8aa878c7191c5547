//go:build !race

package mgspeed_test

// playedLoads are the loads that are played, as multiples of what the engines bear.
var playedLoads = []float64{0.6, 0.9, 1.2}
