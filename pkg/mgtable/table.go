package mgtable

import (
	"iter"
)

// A Table is a checked table. It is immutable. The zero Table is empty.
type Table struct {
	version       uint64
	rows          rows
	accounts      map[string]*Account
	accountsByKey map[Digest]*Account
	services      map[string]*Service
	models        map[string]*Model
	upstreams     map[string]*Upstream
	routes        map[string]*Route
	routesByHost  map[string]map[string]*Route // by host and prefix
}

// Parse parses a table from TOML. The error is a *Faults with all faults.
func Parse(data []byte) (*Table, error) {
	var faults Faults
	version, records := readTOML(data, &faults)
	return assemble(buildRows(version, records, &faults), &faults)
}

// Check returns all faults of a table in TOML, or nil.
func Check(data []byte) error {
	_, err := Parse(data)
	return err
}

// assemble indexes rows and checks them against one another. Rows with faults of
// their own are included, so that one run reports both kinds of faults.
func assemble(set rows, faults *Faults) (*Table, error) {
	set.sortByName()
	t := &Table{
		version:       set.version,
		rows:          set,
		accounts:      make(map[string]*Account, len(set.accounts)),
		accountsByKey: make(map[Digest]*Account, len(set.accounts)),
		services:      make(map[string]*Service, len(set.services)),
		models:        make(map[string]*Model, len(set.models)),
		upstreams:     make(map[string]*Upstream, len(set.upstreams)),
		routes:        make(map[string]*Route, len(set.routes)),
		routesByHost:  make(map[string]map[string]*Route),
	}
	c := checker{
		table:  t,
		faults: faults,
	}
	c.indexRows()
	c.checkReferences()
	if err := faults.err(); err != nil {
		return nil, err
	}
	return t, nil
}

// Version returns the table's version, or 0 when it has none.
func (t *Table) Version() uint64 { return t.version }

// Account returns the account with a name, or nil.
func (t *Table) Account(name string) *Account { return t.accounts[name] }

// AccountByKey returns the account with an API key, or nil. It looks up the digest of
// the presented key, so that the time of the lookup doesn't reveal how much of a
// key was correct.
func (t *Table) AccountByKey(key string) *Account { return t.accountsByKey[DigestOf([]byte(key))] }

// Service returns the service with a name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Model returns the model with a name, or nil.
func (t *Table) Model(name string) *Model { return t.models[name] }

// Upstream returns the upstream with a name, or nil.
func (t *Table) Upstream(name string) *Upstream { return t.upstreams[name] }

// AccountCount returns the number of accounts.
func (t *Table) AccountCount() int { return len(t.rows.accounts) }

// Accounts iterates over the accounts in order of their names.
func (t *Table) Accounts() iter.Seq[*Account] { return iterate(t.rows.accounts) }

// Services iterates over the services in order of their names.
func (t *Table) Services() iter.Seq[*Service] { return iterate(t.rows.services) }

// Models iterates over the models in order of their names.
func (t *Table) Models() iter.Seq[*Model] { return iterate(t.rows.models) }

// Routes iterates over the routes in order of their names.
func (t *Table) Routes() iter.Seq[*Route] { return iterate(t.rows.routes) }

// Upstreams iterates over the upstreams in order of their names.
func (t *Table) Upstreams() iter.Seq[*Upstream] { return iterate(t.rows.upstreams) }

func iterate[R any](list []*R) iter.Seq[*R] {
	return func(yield func(*R) bool) {
		for _, row := range list {
			if !yield(row) {
				return
			}
		}
	}
}

// TOML returns the table in its canonical form.
func (t *Table) TOML() []byte { return writeTOML(t.rows) }

// Digest returns the digest of the table's content without its version.
func (t *Table) Digest() Digest {
	set := t.rows
	set.version = 0
	return DigestOf(writeTOML(set))
}
