package mgtable

import (
	"sort"
	"strings"
)

// A Change is a difference in one row between two versions of a table.
type Change struct {
	row  string
	name string
	text string
}

// Row returns the kind of row: account, service, model, upstream or route.
func (c Change) Row() string { return c.row }

// Name returns the row's name.
func (c Change) Name() string { return c.name }

// Text describes the change, for example "weight from 6 to 7".
func (c Change) Text() string { return c.text }

// String returns the change as one line.
func (c Change) String() string { return c.row + " " + c.name + ": " + c.text }

// Diff returns the differences between two tables: accounts, services, models,
// upstreams and routes, each sorted by name.
func Diff(older, newer *Table) []Change {
	var changes []Change
	changes = append(changes, diffRows(accountRow, accountColumns, older.accounts, newer.accounts)...)
	changes = append(changes, diffRows(serviceRow, serviceColumns, older.services, newer.services)...)
	changes = append(changes, diffRows(modelRow, modelColumns, older.models, newer.models)...)
	changes = append(changes, diffRows(upstreamRow, upstreamColumns, older.upstreams, newer.upstreams)...)
	changes = append(changes, diffRows(routeRow, routeColumns, older.routes, newer.routes)...)
	return changes
}

func diffRows[R any](kind string, columns []column[R], older, newer map[string]*R) []Change {
	var changes []Change
	add := func(name, text string) {
		if text != "" {
			changes = append(changes, Change{
				row:  kind,
				name: name,
				text: text,
			})
		}
	}
	for name, row := range newer {
		before := older[name]
		switch {
		case before == row:
		case before == nil:
			add(name, "added")
		default:
			add(name, diffRow(columns, before, row))
		}
	}
	for name := range older {
		if newer[name] == nil {
			add(name, "removed")
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].name < changes[j].name })
	return changes
}

// diffRow lists the columns of a row that differ, with both values.
func diffRow[R any](columns []column[R], before, after *R) string {
	var parts []string
	for _, c := range columns {
		from, to := cellText(c.get(before)), cellText(c.get(after))
		if from != to {
			parts = append(parts, c.name+" from "+orNone(from)+" to "+orNone(to))
		}
	}
	return strings.Join(parts, ", ")
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
