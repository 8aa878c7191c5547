package mgconfig

import (
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// A Snapshot is a version of the table, with its manifest and pages. It is immutable.
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

// value returns the encoded manifest or page with a digest. A page may be empty.
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

// versionKey orders versions of the table: by version, then by manifest digest.
type versionKey struct {
	version uint64
	digest  string
}

// isAfter reports whether m is a later version than n.
func (m versionKey) isAfter(n versionKey) bool {
	if m.version != n.version {
		return m.version > n.version
	}
	return m.digest > n.digest
}

// key returns the snapshot's position in the order of versions.
func (s *Snapshot) key() versionKey {
	return versionKey{
		version: s.Version(),
		digest:  s.Digest(),
	}
}
