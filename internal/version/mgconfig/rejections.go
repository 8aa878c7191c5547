package mgconfig

import "errors"

// errVersionReused is the reason for rejecting another table under the version in
// force.
var errVersionReused = errors.New("mgconfig: another table was published under the version in force: raise the table's version and publish it again")

// rejections holds the digests of faulty values, so that they are not fetched again, and
// the version and reason of the last rejection.
type rejections struct {
	lastVersion uint64
	lastErr     error
	digests     []string
}

// maxRejections is the maximum number of digests kept. Only the newest are still
// offered by peers.
const maxRejections = 32

// add records a rejection. Of a faulty list of VMs, digest is the list's key. A rejection that
// repeats the last one is the same: lists with one faulty row follow one another.
func (r *rejections) add(version uint64, digest string, err error) {
	if r.lastErr == nil || r.lastVersion != version || r.lastErr.Error() != err.Error() {
		r.lastVersion = version
		r.lastErr = err
	}
	if r.has(digest) {
		return
	}
	r.digests = append(r.digests, digest)
	if len(r.digests) > maxRejections {
		r.digests = r.digests[1:]
	}
}

func (r *rejections) has(digest string) bool {
	for _, d := range r.digests {
		if d == digest {
			return true
		}
	}
	return false
}
