package mgretry

// sharedFraction is the fraction of a service's retries that all processes hold
// together. The remainder is a reserve for processes that disagree on their
// number while some start and stop. The fraction of a retry that the service
// allows for each request is such a reserve too: it is twice the Ratio that
// processes earn. With a much smaller sharedFraction each of a hundred
// processes holds one retry, and first failures are not retried that would have
// been answered.
const sharedFraction = 0.9

// Share returns the maximum of retries that each of the processes holds.
// Allowed is the number of retries that a service allows all of them together,
// in addition to a fraction of its requests. There is no shared counter: a
// process that sees few failures leaves its part unused.
func Share(allowed, processes int) int {
	return max(int(sharedFraction*float64(allowed)/float64(max(processes, 1))), 1)
}
