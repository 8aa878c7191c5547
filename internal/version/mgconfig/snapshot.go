package mgconfig

import (
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// A Snapshot is a version of the table in force. It never changes.
type Snapshot struct {
	table    *mgtable.Table
	digest   string
	manifest []byte
	pages    map[string]*mgtable.Page
}

// Table returns the table.
func (s *Snapshot) Table() *mgtable.Table { return s.table }

// Version returns the table's version, or 0 for no snapshot.
func (s *Snapshot) Version() uint64 {
	if s == nil {
		return 0
	}
	return s.table.Version()
}

// Digest returns the digest of the manifest, or "" for no snapshot.
func (s *Snapshot) Digest() string {
	if s == nil {
		return ""
	}
	return s.digest
}

// value returns the text of the manifest or of a page, which may be empty.
func (s *Snapshot) value(digest string) ([]byte, bool) {
	if s == nil {
		return nil, false
	}
	if digest == s.digest {
		return s.manifest, true
	}
	page, ok := s.pages[digest]
	if !ok {
		return nil, false
	}
	return page.Bytes(), true
}

// mark is a place in the order of versions.
type versionKey struct {
	version uint64
	digest  string
}

// above reports whether m is a later version than n.
func (m versionKey) isAfter(n versionKey) bool {
	if m.version != n.version {
		return m.version > n.version
	}
	return m.digest > n.digest
}

// mark returns the snapshot's place in the order of versions.
func (s *Snapshot) key() versionKey {
	return versionKey{
		version: s.Version(),
		digest:  s.Digest(),
	}
}
