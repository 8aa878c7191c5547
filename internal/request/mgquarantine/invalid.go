package mgquarantine

import (
	"fmt"
	"strconv"
	"strings"
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
	_, partErr := parseParts(r.Parts)
	switch {
	case err != nil:
		invalid.Field = "digest"
		invalid.Value = r.Digest
	case partErr != nil:
		invalid.Field = "parts"
		invalid.Value = strings.Join(r.Parts, ",")
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

// maxRecordParts bounds the parts of one record.
const maxRecordParts = 16

// parseParts parses the digests of a record's parts.
func parseParts(texts []string) ([]Digest, error) {
	if len(texts) > maxRecordParts {
		return nil, fmt.Errorf("%d parts: at most %d are allowed", len(texts), maxRecordParts)
	}
	var parts []Digest
	for _, text := range texts {
		part, err := ParseDigest(text)
		if err != nil {
			return nil, err
		}
		parts = append(parts, part)
	}
	return parts, nil
}
