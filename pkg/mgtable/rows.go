package mgtable

import (
	"sort"
	"strings"
)

// record is a parsed row before it is checked.
type record struct {
	kind     string
	line     int
	cells    []entry
	external bool // see value
}

// entry is one column of a record.
type entry struct {
	name  string
	line  int
	value value
}

// name returns the record's name for messages, or "" when it has none.
func (r record) name() string {
	for _, e := range r.cells {
		if e.name == "name" {
			return clip(strings.ToValidUTF8(e.value.text, "?"))
		}
	}
	return ""
}

// rows are the checked rows of a table or a page.
type rows struct {
	version   uint64
	accounts  []*Account
	services  []*Service
	models    []*Model
	upstreams []*Upstream
	routes    []*Route
}

// buildRows converts records to rows.
func buildRows(version uint64, records []record, faults *Faults) rows {
	set := rows{
		version: version,
	}
	names := interner{}
	for i, r := range records {
		yieldAfter(i)
		switch r.kind {
		case accountRow:
			a := parseRow(r, accountColumns, faults)
			a.line = r.line
			a.services = names.intern(a.services)
			setAccountDefaults(a)
			set.accounts = append(set.accounts, a)
		case serviceRow:
			s := parseRow(r, serviceColumns, faults)
			s.line = r.line
			setServiceDefaults(s)
			set.services = append(set.services, s)
		case modelRow:
			m := parseRow(r, modelColumns, faults)
			m.line = r.line
			set.models = append(set.models, m)
		case upstreamRow:
			u := parseRow(r, upstreamColumns, faults)
			u.line = r.line
			setUpstreamDefaults(u)
			set.upstreams = append(set.upstreams, u)
		case routeRow:
			row := parseRow(r, routeColumns, faults)
			row.line = r.line
			setRouteDefaults(row)
			set.routes = append(set.routes, row)
		default:
			faults.add(Fault{
				line:   r.line,
				row:    clip(r.kind),
				text:   "unknown kind of row",
				remedy: "use account, service, model, upstream or route",
			})
		}
	}
	return set
}

// parseRow converts the cells of a record to a row.
func parseRow[R any](r record, columns []column[R], faults *Faults) *R {
	row := new(R)
	label := r.kind + " " + r.name()
	seen := make([]bool, len(columns))
	for _, e := range r.cells {
		fault := Fault{
			line:   e.line,
			row:    label,
			column: clip(e.name),
		}
		i := columnIndex(columns, e.name)
		switch {
		case i < 0:
			fault.text = "unknown column"
			fault.remedy = "use one of " + columnNames(columns)
		case seen[i]:
			fault.text = "the column stands twice"
			fault.remedy = "keep one of them"
		default:
			seen[i] = true
			e.value.external = r.external
			c := columns[i].set(row, e.value)
			if c == nil {
				continue
			}
			fault.text = c.text
			fault.remedy = c.remedy
		}
		faults.add(fault)
	}
	if !seen[0] {
		faults.add(Fault{
			line:   r.line,
			row:    label,
			column: columns[0].name,
			text:   "the row has no name",
			remedy: "give it one",
		})
	}
	return row
}

func columnIndex[R any](columns []column[R], name string) int {
	for i := range columns {
		if columns[i].name == name {
			return i
		}
	}
	return -1
}

func columnNames[R any](columns []column[R]) string {
	names := make([]string, 0, len(columns))
	for _, c := range columns {
		names = append(names, c.name)
	}
	return strings.Join(names, ", ")
}

// sortByName sorts the rows by name, the order of the canonical form.
func (s *rows) sortByName() {
	sort.Slice(s.accounts, func(i, j int) bool { return s.accounts[i].name < s.accounts[j].name })
	sort.Slice(s.services, func(i, j int) bool { return s.services[i].name < s.services[j].name })
	sort.Slice(s.models, func(i, j int) bool { return s.models[i].name < s.models[j].name })
	sort.Slice(s.upstreams, func(i, j int) bool { return s.upstreams[i].name < s.upstreams[j].name })
	sort.Slice(s.routes, func(i, j int) bool { return s.routes[i].name < s.routes[j].name })
}

// interner deduplicates the lists of names that many accounts share. Without it
// a table of 35,000 accounts would hold the names of the services 35,000 times.
type interner map[string][]string

func (n interner) intern(names []string) []string {
	if len(names) == 0 {
		return nil
	}
	key := strings.Join(names, "\x00")
	kept, ok := n[key]
	if !ok {
		kept = names
		n[key] = kept
	}
	return kept
}
