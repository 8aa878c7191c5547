package mgquarantine

import (
	"fmt"
	"strconv"
)

// An InvalidRecordError is the error for a record of another process that can't be used.
type InvalidRecordError struct {
	Origin string
	Number uint64
	Field  string
	Value  string
}

func (r *InvalidRecordError) Error() string {
	return fmt.Sprintf("record %d of %q: invalid %s %q: run one release on all processes, or report it", r.Number, r.Origin, r.Field, r.Value)
}

// validate returns what is wrong with another process's record, or nil.
func (r Record) validate() *InvalidRecordError {
	invalid := &InvalidRecordError{
		Origin: r.Origin,
		Number: r.Number,
	}
	_, err := ParseDigest(r.Digest)
	switch {
	case err != nil:
		invalid.Field = "digest"
		invalid.Value = r.Digest
	case r.Number == 0:
		invalid.Field = "number"
		invalid.Value = "0"
	case r.Age < 0:
		invalid.Field = "age"
		invalid.Value = strconv.FormatInt(int64(r.Age), 10)
	case r.Delay < 0:
		invalid.Field = "delay"
		invalid.Value = strconv.FormatInt(int64(r.Delay), 10)
	case r.NextNumber > r.Number:
		invalid.Field = "next"
		invalid.Value = strconv.FormatUint(r.NextNumber, 10)
	default:
		return nil
	}
	return invalid
}
