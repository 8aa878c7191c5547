package mgtable

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// targetPage is the size that pages of accounts stay below, in bytes. An edit
// moves one page and one manifest to every process. At 35,000 accounts (7 MB)
// pages of 64 KiB make a manifest of about 17 KB, so that both parts of an
// edit's cost are of the same order; pages of 1 MB would move fifteen times as
// much an edit.
const targetPageBytes = 64 << 10

// Errors of pages.
var (
	errPageLarge  = errors.New("page: a page exceeds the limit: shorten the base rows or raise the limit")
	errPageDigest = errors.New("page: the pages are not those of the manifest: fetch them again by digest")
)

// A Page is one checked page. It never changes. The text of a page in the
// canonical form is not kept but written again when a peer asks for it, which
// is rare: of 35,000 accounts it would take 7 MB.
type Page struct {
	digest Digest
	rows   rows

	// odd is the text of a page that is not in the canonical form.
	nonCanonical []byte
}

// ReadPage reads a page. The error is a *Faults with the faults of its rows.
func ReadPage(data []byte) (*Page, error) {
	var faults Faults
	_, records := readTOML(data, &faults)
	set := buildRows(0, records, &faults)
	if err := faults.err(); err != nil {
		return nil, err
	}
	p := &Page{
		digest: DigestOf(data),
		rows:   set,
	}
	if !bytes.Equal(writeTOML(set), data) {
		p.nonCanonical = bytes.Clone(data)
	}
	return p, nil
}

// Digest returns the digest of the page's text.
func (p *Page) Digest() Digest { return p.digest }

// Bytes returns the page's text. Callers don't change it.
func (p *Page) Bytes() []byte {
	if p.nonCanonical != nil {
		return p.nonCanonical
	}
	return writeTOML(p.rows)
}

// Pages splits the table into the texts of pages of at most limit bytes, the
// base page first. The same table always yields the same pages.
func (t *Table) Pages(limit int) (Manifest, [][]byte, error) {
	m, pages, err := splitPages(t.rows, limit)
	if err != nil {
		return Manifest{}, nil, err
	}
	texts := make([][]byte, 0, len(pages))
	for _, page := range pages {
		texts = append(texts, page.Bytes())
	}
	return m, texts, nil
}

// splitPages splits sorted rows into pages, the base page first.
func splitPages(set rows, limit int) (Manifest, []*Page, error) {
	base, size := newPage(rows{
		services:  set.services,
		models:    set.models,
		upstreams: set.upstreams,
		routes:    set.routes,
	})
	if size > limit {
		return Manifest{}, nil, fmt.Errorf("base rows take %d of %d bytes: %w", size, limit, errPageLarge)
	}
	split, err := splitAccounts(set.accounts, min(limit, targetPageBytes))
	if err != nil {
		return Manifest{}, nil, err
	}
	pages := append([]*Page{base}, split...)
	m := Manifest{
		Version: set.version,
	}
	for _, page := range pages {
		m.Pages = append(m.Pages, page.digest.String())
	}
	return m, pages, nil
}

// newPage makes a page of rows and returns the size of its text in bytes.
func newPage(set rows) (page *Page, size int) {
	text := writeTOML(set)
	return &Page{
		digest: DigestOf(text),
		rows:   set,
	}, len(text)
}

// splitAccounts writes accounts to the fewest pages, of a power of two, that all
// stay below limit. The power of two keeps the number of pages, and so the
// place of every account, from changing with most edits.
func splitAccounts(accounts []*Account, limit int) ([]*Page, error) {
	for count := 1; count < maxPages; count *= 2 {
		buckets := make([]rows, count)
		for _, a := range accounts {
			b := &buckets[xxhash.Sum64String(a.name)%uint64(count)]
			b.accounts = append(b.accounts, a)
		}
		pages := make([]*Page, 0, count)
		for _, b := range buckets {
			page, size := newPage(b)
			if size > limit {
				break
			}
			pages = append(pages, page)
		}
		if len(pages) == count {
			return pages, nil
		}
	}
	return nil, fmt.Errorf("%d pages don't hold the accounts: %w", maxPages, errPageLarge)
}

// Join makes a table of a manifest's pages, which were read before. Pages that
// two versions share are not read again. The result depends on nothing but the
// arguments, so that every process accepts or refuses a version alike.
func Join(m Manifest, pages []*Page) (*Table, error) {
	if len(pages) != len(m.Pages) {
		return nil, fmt.Errorf("version %d has %d of %d pages: %w", m.Version, len(pages), len(m.Pages), errPageDigest)
	}
	set := rows{
		version: m.Version,
	}
	for i, p := range pages {
		if p.digest.String() != m.Pages[i] {
			return nil, fmt.Errorf("version %d, page %d: %w", m.Version, i, errPageDigest)
		}
		set.accounts = append(set.accounts, p.rows.accounts...)
		set.services = append(set.services, p.rows.services...)
		set.models = append(set.models, p.rows.models...)
		set.upstreams = append(set.upstreams, p.rows.upstreams...)
		set.routes = append(set.routes, p.rows.routes...)
	}
	return assemble(set, &Faults{})
}
