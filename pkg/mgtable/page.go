package mgtable

import (
	"bytes"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// targetPageBytes is the maximum size of a page of accounts. Every process
// fetches one page and the manifest for each edit. At 35,000 accounts (7 MB),
// pages of 64 KiB give a manifest of about 17 KB, so that both transfers are of
// the same order; pages of 1 MB would transfer fifteen times as much per edit.
const targetPageBytes = 64 << 10

var (
	errPageLarge  = errors.New("page: a page exceeds the limit: shorten its rows or raise the limit")
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
	for i := range records {
		records[i].external = true // a table written by an operator was checked before it was split
	}
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

// splitPages splits sorted rows into pages, the base page first. It has all rows but accounts, unless
// it would exceed the limit.
func splitPages(set rows, limit int) (Manifest, []*Page, error) {
	base, size := newPage(rows{
		services:  set.services,
		models:    set.models,
		upstreams: set.upstreams,
		routes:    set.routes,
	})
	pages := []*Page{base}
	if size > limit {
		var err error
		if pages, err = splitBase(set, limit); err != nil {
			return Manifest{}, nil, err
		}
	}
	accounts, err := splitRows(set.accounts, limit, accountRows)
	if err != nil {
		return Manifest{}, nil, err
	}
	pages = append(pages, accounts...)
	m := Manifest{
		Version: set.version,
	}
	for _, page := range pages {
		m.Pages = append(m.Pages, page.digest.String())
	}
	return m, pages, nil
}

// splitBase splits the rows of a base page that would exceed the limit.
func splitBase(set rows, limit int) ([]*Page, error) {
	base, size := newPage(rows{
		upstreams: set.upstreams,
	})
	if size > limit {
		return nil, fmt.Errorf("upstreams take %d of %d bytes: %w", size, limit, errPageLarge)
	}
	models, modelErr := splitRows(set.models, limit, func(list []*Model) rows { return rows{models: list} })
	services, serviceErr := splitRows(set.services, limit, func(list []*Service) rows { return rows{services: list} })
	routes, routeErr := splitRows(set.routes, limit, func(list []*Route) rows { return rows{routes: list} })
	return slices.Concat([]*Page{base}, models, services, routes), errors.Join(modelErr, serviceErr, routeErr)
}

// newPage returns a page of rows and the size of its text in bytes.
func newPage(set rows) (page *Page, size int) {
	text := writeTOML(set)
	return &Page{
		digest: DigestOf(text),
		rows:   set,
	}, len(text)
}

func accountRows(list []*Account) rows { return rows{accounts: list} }

// splitRows distributes rows over the smallest power of two of pages that all stay within
// targetPageBytes. With a power of two, the number of pages, and so the page of every row, stays the
// same over most edits. A row that is larger has a page of its own, of at most limit bytes.
func splitRows[R interface{ Name() string }](list []R, limit int, pageOf func([]R) rows) ([]*Page, error) {
	target := min(limit, targetPageBytes)
	var large []*Page
	for count := 1; count < maxPages; count *= 2 {
		buckets := make([][]R, count)
		for _, row := range list {
			i := xxhash.Sum64String(row.Name()) % uint64(count)
			buckets[i] = append(buckets[i], row)
		}
		pages := make([]*Page, 0, count)
		for _, bucket := range buckets {
			page, size := newPage(pageOf(bucket))
			if size > target {
				break
			}
			pages = append(pages, page)
		}
		if len(pages) == count {
			return append(pages, large...), nil
		}
		if count > 1 {
			continue
		}
		var err error
		if list, large, err = separateLarge(list, target, limit, pageOf); err != nil {
			return nil, err
		}
	}
	return nil, fmt.Errorf("%d pages don't hold the rows: %w", maxPages, errPageLarge)
}

// separateLarge returns the rows that fit into a page of target bytes, and a page for each of the others.
func separateLarge[R interface{ Name() string }](list []R, target, limit int, pageOf func([]R) rows) (small []R, large []*Page, err error) {
	for _, row := range list {
		set := pageOf([]R{row})
		if len(writeTOML(set)) <= target {
			small = append(small, row)
			continue
		}
		page, size := newPage(set)
		if size > limit {
			return nil, nil, fmt.Errorf("row %q takes %d of %d bytes: %w", clip(row.Name()), size, limit, errPageLarge)
		}
		large = append(large, page)
	}
	return small, large, nil
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
