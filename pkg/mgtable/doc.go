// Package mgtable is the operators' table: client accounts, services, models
// and upstreams with their weights and limits.
//
// A table is written as TOML with one array of tables a kind of row, or as CSV
// for spreadsheets. Both pass through the same columns and the same checks, and
// a faulty table is refused with all its faults at once, each with its row, its
// column and a remedy. A Table never changes after it was made, so that any
// number of goroutines read it without a lock.
//
// # Terms
//
//   - row: one account, service, model or upstream; column: one of its values.
//   - digest: the SHA-256 of a key, a page or a whole table.
//   - page: a part of the table below the platform's limit for one value. The
//     base page holds services, models and upstreams; every other page holds
//     the accounts whose names hash to it, so that an edit of one account
//     changes one page.
//   - manifest: a version and the digests of the pages it consists of.
//
// Pages form a hash tree of depth one (Merkle, 1988): what differs between two
// versions is found by comparing digests and only that travels.
//
// # References
//
//   - R. C. Merkle, A digital signature based on a conventional encryption
//     function, CRYPTO 1987 (1988).
//   - T. Preston-Werner, P. Gedam and others, TOML v1.0.0 (2021).
//   - Y. Shafranovich, RFC 4180, Common format for CSV files (2005).
package mgtable
