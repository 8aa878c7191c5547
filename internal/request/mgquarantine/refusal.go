package mgquarantine

import (
	"fmt"
	"strconv"
)

// A Refusal is the error for a record of another process that can't be used.
type Refusal struct {
	Origin string
	Number uint64
	Field  string
	Value  string
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("record %d of %q: invalid %s %q: run one release on all processes, or report it", r.Number, r.Origin, r.Field, r.Value)
}

// validate returns what is wrong with another process's record, or nil.
func (n Note) validate() *Refusal {
	refusal := &Refusal{
		Origin: n.Origin,
		Number: n.Number,
	}
	_, err := ParseDigest(n.Digest)
	switch {
	case err != nil:
		refusal.Field = "digest"
		refusal.Value = n.Digest
	case n.Number == 0:
		refusal.Field = "number"
		refusal.Value = "0"
	case n.Age < 0:
		refusal.Field = "age"
		refusal.Value = strconv.FormatInt(int64(n.Age), 10)
	case n.Delay < 0:
		refusal.Field = "delay"
		refusal.Value = strconv.FormatInt(int64(n.Delay), 10)
	default:
		return nil
	}
	return refusal
}
