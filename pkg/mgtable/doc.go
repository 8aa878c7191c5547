// Package mgtable parses, checks and writes the operators' configuration table:
// client accounts, services, models, upstreams and routes with their weights and
// limits.
//
// A table is written as TOML with one array of tables per kind of row, or as CSV
// for spreadsheets. Both use the same columns and the same checks. A faulty table
// is refused with all its faults at once, each with its row, its column and a
// remedy. A Table is immutable, so that any number of goroutines can read it
// without a lock.
//
// # Terms
//
//   - row: one account, service, model, upstream or route; column: one of its
//     values.
//   - digest: the SHA-256 of a key, a page or a whole table.
//   - page: a part of the table that fits in one value of the platform. The
//     base page holds services, models, upstreams and routes; every other page
//     holds the accounts whose names hash to it, so that an edit of one account
//     changes one page.
//   - manifest: a version and the digests of its pages.
//
// Pages form a hash tree of depth one (Merkle, 1988): a process compares digests
// to find the pages that differ between two versions, and fetches only those.
//
// # References
//
//   - R. C. Merkle, A digital signature based on a conventional encryption
//     function, CRYPTO 1987 (1988).
//   - T. Preston-Werner, P. Gedam and others, TOML v1.0.0 (2021).
//   - Y. Shafranovich, RFC 4180, Common format for CSV files (2005).
package mgtable
