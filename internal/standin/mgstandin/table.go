package mgstandin

import (
	"fmt"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// The keys under which a table is published.
const (
	ManifestKey = "manifest"
	PagePrefix  = "page-"
)

// pageLimit keeps pages below the platform's megabyte.
const pageLimit = 512 << 10

// PutTable publishes a table as one version: its pages first, then the
// manifest that names them, so that no reader finds a name without its page.
func (p *Platform) PutTable(data []byte) (uint64, error) {
	table, err := mgtable.Parse(data)
	if err != nil {
		return 0, fmt.Errorf("standin: the table has faults: mend it: %w", err)
	}
	manifest, pages, err := table.Pages(pageLimit)
	if err != nil {
		return 0, err
	}
	for i, page := range pages {
		p.Put(PagePrefix+manifest.Pages[i], page)
	}
	manifest.Version = p.version(ManifestKey) + 1
	return p.Put(ManifestKey, manifest.Bytes()), nil
}
