package mgtable

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// targetPageBytes is the maximum size of a page of accounts. Every process
// fetches one page and the manifest for each edit. At 35,000 accounts (7 MB),
// pages of 64 KiB give a manifest of about 17 KB, so that both transfers are of
// the same order; pages of 1 MB would transfer fifteen times as much per edit.
const targetPageBytes = 64 << 10

var (
	errPageLarge  = errors.New("page: a page exceeds the limit: shorten the base rows or raise the limit")
	errPageDigest = errors.New("page: the pages are not those of the manifest: fetch them again by digest")
)

// A Page is one checked page. It never changes. The text of a page in canonical
// form is not stored but written again when a peer requests it, which is rare:
// for 35,000 accounts it would take 7 MB.
type Page struct {
	digest Digest
	rows   rows

	// nonCanonical is the text of a page that is not in canonical form, or nil.
	nonCanonical []byte
}

// ReadPage parses a page and checks its rows. The error is a *Faults.
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

// Bytes returns the page's text. Callers must not modify it.
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

// newPage returns a page of rows and the size of its text in bytes.
func newPage(set rows) (page *Page, size int) {
	text := writeTOML(set)
	return &Page{
		digest: DigestOf(text),
		rows:   set,
	}, len(text)
}

// splitAccounts distributes accounts over the smallest power of two of pages
// that all stay within limit. With a power of two, the number of pages, and so
// the page of every account, stays the same over most edits.
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

// Join assembles and checks the table of a manifest from its parsed pages. Pages
// that two versions share need not be parsed again. The result depends on the
// arguments alone, so that all processes accept or refuse a version alike.
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
