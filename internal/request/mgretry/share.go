package mgretry

// sharedFraction is the fraction of a service's retries that all processes hold
// together. The remainder is a reserve for processes that disagree on their
// number while some start and stop. The fraction of a retry that the service
// allows for each request is such a reserve too: it is twice the Ratio that
// processes earn. With a much smaller sharedFraction each of a hundred
// processes holds one retry, and first failures are not retried that would have
// been answered.
const sharedFraction = 0.9

// Share returns the maximum of retries that one of the processes holds. Allowed
// is the number of retries that a service allows all of them together, in
// addition to a fraction of its requests. Rank is the process's place among
// them, from 0. Where there are more processes than retries, those of the first
// ranks hold one each and the others none. There is no shared counter: a process
// that sees few failures leaves its part unused.
func Share(allowed, processes, rank int) int {
	shared := int(sharedFraction * float64(allowed))
	processes = max(processes, 1)
	if shared < processes && rank < shared {
		return 1
	}
	return shared / processes
}
