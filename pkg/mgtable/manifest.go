package mgtable

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// A Manifest lists the digests of the pages of one version of a table. The
// platform publishes it under the key "manifest".
type Manifest struct {
	Version uint64   `json:"version"`
	Pages   []string `json:"pages"`
}

// maxPages keeps a manifest well below the platform's limit for one value.
const maxPages = 4096

// ReadManifest parses and checks a manifest in JSON.
func ReadManifest(data []byte) (Manifest, error) {
	var m Manifest
	if err := json.Unmarshal(data, &m); err != nil {
		return Manifest{}, fmt.Errorf("manifest: not JSON: publish the manifest that table pages writes: %w", err)
	}
	if m.Version == 0 || len(m.Pages) == 0 || len(m.Pages) > maxPages {
		return Manifest{}, fmt.Errorf("manifest: version %d with %d pages: give it a version above 0 and 1 to %d pages",
			m.Version, len(m.Pages), maxPages)
	}
	for _, page := range m.Pages {
		if raw, err := hex.DecodeString(page); err != nil || len(raw) != len(Digest{}) {
			return Manifest{}, fmt.Errorf("manifest: version %d names a page that is not a digest: publish it again", m.Version)
		}
	}
	return m, nil
}

// Bytes returns the manifest as JSON.
func (m Manifest) Bytes() []byte {
	// Marshaling a struct of a number and strings never fails.
	data, _ := json.Marshal(m)
	return data
}

// Digest returns the digest of the manifest's JSON.
func (m Manifest) Digest() Digest { return DigestOf(m.Bytes()) }
