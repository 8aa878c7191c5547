package mgretry

// sharePart is the part of what all processes may retry together that they
// hold between them. The rest, and what the service allows beside it for each
// request, twice what Ratio earns, covers that they don't count each other alike
// while some start and stop. With 0.7 each of 103 processes held one retry for a
// service that fails 14 of 100 lookups by itself: of 464 first failures 155 were not
// tried again, a third of which would have been answered.
const sharePart = 0.9

// Share returns the most retries that one of some processes holds, of those
// that a service allows all of them together beyond a ratio of its requests.
// No counter is shared: a process that sees few failures leaves its part unused.
func Share(allowed, processes int) int {
	return max(int(sharePart*float64(allowed)/float64(max(processes, 1))), 1)
}
