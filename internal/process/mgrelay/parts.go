package mgrelay

import (
	"net/http"
	"strings"
)

const (
	// maxParts bounds the parts of a prompt that are considered, from the first one on.
	maxParts = 16
	// maxPartName bounds the length of a part's name in bytes.
	maxPartName = 64
)

// partsOf returns the names of the parts that a request's prompt may share with other requests'.
// The last part is the request's own. Names that are too long, and parts beyond maxParts, are left
// out.
func (f *HeaderNames) partsOf(header http.Header) []string {
	if f.Parts == "" {
		return nil
	}
	entries := splitList(header.Get(f.Parts))
	if len(entries) < 2 {
		return nil
	}
	var parts []string
	for _, entry := range entries[:min(len(entries)-1, maxParts)] {
		name, _, _ := strings.Cut(entry, ":")
		if name != "" && len(name) <= maxPartName {
			parts = append(parts, name)
		}
	}
	return parts
}
