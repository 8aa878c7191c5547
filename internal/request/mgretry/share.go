package mgretry

// sharedFraction is the fraction of a service's retries that all processes hold
// together. The remainder, and what the service allows beside it for each
// request (twice what Ratio earns), covers that processes disagree on their
// number while some start and stop. With a much smaller fraction each of a
// hundred processes holds one retry, and first failures are not retried that
// would have been answered.
const sharedFraction = 0.9

// Share returns the maximum of retries that each of the processes holds, if a
// service allows all of them together a number of retries beyond a fraction of
// its requests. There is no shared counter: a process that sees few failures
// leaves its part unused.
func Share(allowed, processes int) int {
	return max(int(sharedFraction*float64(allowed)/float64(max(processes, 1))), 1)
}
