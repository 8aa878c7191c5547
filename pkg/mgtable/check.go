package mgtable

import "fmt"

// checker checks rows against one another: duplicates, references and
// conflicting columns.
type checker struct {
	table  *Table
	faults *Faults
}

// indexRows fills the table's maps and reports duplicate names and keys.
func (c checker) indexRows() {
	t := c.table
	for _, m := range t.rows.models {
		addUnique(c, t.models, m.name, m, modelRow, m.line)
	}
	for _, s := range t.rows.services {
		addUnique(c, t.services, s.name, s, serviceRow, s.line)
	}
	for _, u := range t.rows.upstreams {
		addUnique(c, t.upstreams, u.name, u, upstreamRow, u.line)
	}
	for _, r := range t.rows.routes {
		addUnique(c, t.routes, r.name, r, routeRow, r.line)
	}
	for _, a := range t.rows.accounts {
		addUnique(c, t.accounts, a.name, a, accountRow, a.line)
		c.indexKeys(a)
	}
}

// addUnique indexes a row under its name and reports a duplicate. It skips rows
// without a name: parsing has reported them.
func addUnique[R any](c checker, rows map[string]*R, name string, row *R, kind string, line int) {
	if name == "" {
		return
	}
	if rows[name] != nil {
		c.addFault(kind, name, "name", line, "another row has this name", "rename or remove one of them")
		return
	}
	rows[name] = row
}

// indexKeys reports keys that two accounts share: the calls of one would be
// charged to the other.
func (c checker) indexKeys(a *Account) {
	for _, d := range a.keys {
		other := c.table.accountsByKey[d]
		if other != nil {
			c.addFault(accountRow, a.name, "keys", a.line,
				fmt.Sprintf("a key stands also at account %s", other.name), "give each key to one account, once")
			continue
		}
		c.table.accountsByKey[d] = a
	}
}

// checkReferences checks that each name in a row refers to an existing row of
// the right kind.
func (c checker) checkReferences() {
	t := c.table
	if len(t.rows.accounts) == 0 {
		c.faults.addTableFault("the table has no account", "add a row [[account]]")
	}
	if len(t.rows.services) == 0 {
		c.faults.addTableFault("the table has no service", "add a row [[service]]")
	}
	for _, m := range t.rows.models {
		c.checkModel(m)
	}
	for _, s := range t.rows.services {
		c.checkService(s)
	}
	for _, u := range t.rows.upstreams {
		c.checkUpstream(u)
	}
	for _, r := range t.rows.routes {
		c.checkRoute(r)
	}
	for _, a := range t.rows.accounts {
		c.checkAccount(a)
	}
}

func (c checker) checkAccount(a *Account) {
	for _, name := range a.services {
		if c.table.services[name] == nil {
			c.addUnknownName(accountRow, a.name, "services", a.line, serviceRow, name)
		}
	}
}

func (c checker) checkModel(m *Model) {
	if m.context == 0 {
		c.addEmptyColumn(modelRow, m.name, "context", m.line)
	}
	if m.max == 0 {
		c.addEmptyColumn(modelRow, m.name, "max", m.line)
	}
	if m.max > m.context {
		c.addFault(modelRow, m.name, "max", m.line, "an output can't be longer than the context", "lower max or raise context")
	}
}

func (c checker) checkService(s *Service) {
	if s.kind == Plain {
		c.checkPlainService(s)
		return
	}
	m := c.table.models[s.model]
	switch {
	case s.model == "":
		c.addEmptyColumn(serviceRow, s.name, "model", s.line)
	case m == nil:
		c.addUnknownName(serviceRow, s.name, "model", s.line, modelRow, s.model)
	case s.max > m.max:
		c.addFault(serviceRow, s.name, "max", s.line, "above the model's own max", "lower it")
	}
	if len(s.paths) > 0 {
		c.addFault(serviceRow, s.name, "paths", s.line, "only a plain service has paths", "remove the column")
	}
}

func (c checker) checkPlainService(s *Service) {
	if s.model != "" {
		c.addFault(serviceRow, s.name, "model", s.line, "a plain service has no model", "remove the column")
	}
	if s.hedge > 0 && s.repeat != Safe {
		c.addFault(serviceRow, s.name, "hedge", s.line, "calls that may not be repeated can't be hedged",
			"set hedge to 0, or repeat to safe when calls may run twice")
	}
	for _, name := range s.paths {
		if c.table.upstreams[name] == nil {
			c.addUnknownName(serviceRow, s.name, "paths", s.line, upstreamRow, name)
		}
	}
}

func (c checker) checkUpstream(u *Upstream) {
	if u.batch == 0 {
		c.addEmptyColumn(upstreamRow, u.name, "batch", u.line)
	}
	if u.kind == Engine {
		c.checkEngine(u)
		return
	}
	if len(u.services) == 0 {
		c.addEmptyColumn(upstreamRow, u.name, "services", u.line)
	}
	if len(u.models) > 0 {
		c.addFault(upstreamRow, u.name, "models", u.line, "only an engine holds models", "remove the column")
	}
	for _, name := range u.services {
		s := c.table.services[name]
		switch {
		case s == nil:
			c.addUnknownName(upstreamRow, u.name, "services", u.line, serviceRow, name)
		case s.kind != Plain:
			c.addFault(upstreamRow, u.name, "services", u.line, "service "+name+" is not plain", "list its model at an engine")
		}
	}
}

func (c checker) checkEngine(u *Upstream) {
	if u.memory == 0 {
		c.addEmptyColumn(upstreamRow, u.name, "memory", u.line)
	}
	if len(u.models) == 0 {
		c.addEmptyColumn(upstreamRow, u.name, "models", u.line)
	}
	if len(u.services) > 0 {
		c.addFault(upstreamRow, u.name, "services", u.line, "an engine runs no plain services", "remove the column")
	}
	for _, name := range u.models {
		if c.table.models[name] == nil {
			c.addUnknownName(upstreamRow, u.name, "models", u.line, modelRow, name)
		}
	}
}

func (c checker) addEmptyColumn(kind, name, column string, line int) {
	c.addFault(kind, name, column, line, "the column is empty or 0", "fill it in")
}

func (c checker) addUnknownName(kind, name, column string, line int, target, missing string) {
	c.addFault(kind, name, column, line, fmt.Sprintf("there is no %s %q", target, clip(missing)), "add its row or correct the name")
}

func (c checker) addFault(kind, name, column string, line int, text, remedy string) {
	c.faults.add(Fault{
		line:   line,
		row:    kind + " " + clip(name),
		column: column,
		text:   text,
		remedy: remedy,
	})
}
