package mgretry

// sharedFraction is the part of what all processes may retry together that they
// hold between them. The rest, and what the service allows beside it for each
// request, twice what Ratio earns, covers that they don't count each other alike
// while some start and stop. With a part much smaller each of a hundred processes
// holds one retry, and first failures go untried that would have been answered.
const sharedFraction = 0.9

// Share returns the most retries that one of some processes holds, of those
// that a service allows all of them together beyond a ratio of its requests.
// No counter is shared: a process that sees few failures leaves its part unused.
func Share(allowed, processes int) int {
	return max(int(sharedFraction*float64(allowed)/float64(max(processes, 1))), 1)
}
