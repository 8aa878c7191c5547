package mgtable

import "fmt"

// checker finds the faults that show only between rows.
type checker struct {
	table  *Table
	faults *Faults
}

// index fills the table's maps and finds duplicates.
func (c checker) index() {
	t := c.table
	for _, m := range t.rows.models {
		unique(c, t.models, m.name, m, modelRow, m.line)
	}
	for _, s := range t.rows.services {
		unique(c, t.services, s.name, s, serviceRow, s.line)
	}
	for _, u := range t.rows.upstreams {
		unique(c, t.upstreams, u.name, u, upstreamRow, u.line)
	}
	for _, r := range t.rows.routes {
		unique(c, t.routes, r.name, r, routeRow, r.line)
	}
	for _, a := range t.rows.accounts {
		unique(c, t.accounts, a.name, a, accountRow, a.line)
		c.keys(a)
	}
}

// unique adds a row under its name. Rows without a name have a fault already.
func unique[R any](c checker, rows map[string]*R, name string, row *R, kind string, line int) {
	if name == "" {
		return
	}
	if rows[name] != nil {
		c.add(kind, name, "name", line, "another row has this name", "rename or remove one of them")
		return
	}
	rows[name] = row
}

// keys finds keys that two accounts share, which would charge one for the
// other's calls.
func (c checker) keys(a *Account) {
	for _, d := range a.keys {
		other := c.table.keys[d]
		if other != nil {
			c.add(accountRow, a.name, "keys", a.line,
				fmt.Sprintf("a key stands also at account %s", other.name), "give each key to one account, once")
			continue
		}
		c.table.keys[d] = a
	}
}

// references checks the names that rows use for one another.
func (c checker) references() {
	t := c.table
	if len(t.rows.accounts) == 0 {
		c.faults.whole("the table has no account", "add a row [[account]]")
	}
	if len(t.rows.services) == 0 {
		c.faults.whole("the table has no service", "add a row [[service]]")
	}
	for _, m := range t.rows.models {
		c.model(m)
	}
	for _, s := range t.rows.services {
		c.service(s)
	}
	for _, u := range t.rows.upstreams {
		c.upstream(u)
	}
	for _, r := range t.rows.routes {
		c.route(r)
	}
	for _, a := range t.rows.accounts {
		c.account(a)
	}
}

func (c checker) account(a *Account) {
	for _, name := range a.services {
		if c.table.services[name] == nil {
			c.unknown(accountRow, a.name, "services", a.line, serviceRow, name)
		}
	}
}

func (c checker) model(m *Model) {
	if m.context == 0 {
		c.empty(modelRow, m.name, "context", m.line)
	}
	if m.max == 0 {
		c.empty(modelRow, m.name, "max", m.line)
	}
	if m.max > m.context {
		c.add(modelRow, m.name, "max", m.line, "an output can't be longer than the context", "lower max or raise context")
	}
}

func (c checker) service(s *Service) {
	if s.kind == Plain {
		c.plain(s)
		return
	}
	m := c.table.models[s.model]
	switch {
	case s.model == "":
		c.empty(serviceRow, s.name, "model", s.line)
	case m == nil:
		c.unknown(serviceRow, s.name, "model", s.line, modelRow, s.model)
	case s.max > m.max:
		c.add(serviceRow, s.name, "max", s.line, "above the model's own max", "lower it")
	}
	if len(s.paths) > 0 {
		c.add(serviceRow, s.name, "paths", s.line, "only a plain service has paths", "remove the column")
	}
}

func (c checker) plain(s *Service) {
	if s.model != "" {
		c.add(serviceRow, s.name, "model", s.line, "a plain service has no model", "remove the column")
	}
	if s.hedge > 0 && s.repeat != Safe {
		c.add(serviceRow, s.name, "hedge", s.line, "calls that may not be repeated can't be hedged",
			"set hedge to 0, or repeat to safe when calls may run twice")
	}
	for _, name := range s.paths {
		if c.table.upstreams[name] == nil {
			c.unknown(serviceRow, s.name, "paths", s.line, upstreamRow, name)
		}
	}
}

func (c checker) upstream(u *Upstream) {
	if u.batch == 0 {
		c.empty(upstreamRow, u.name, "batch", u.line)
	}
	if u.kind == Engine {
		c.engine(u)
		return
	}
	if len(u.services) == 0 {
		c.empty(upstreamRow, u.name, "services", u.line)
	}
	if len(u.models) > 0 {
		c.add(upstreamRow, u.name, "models", u.line, "only an engine holds models", "remove the column")
	}
	for _, name := range u.services {
		s := c.table.services[name]
		switch {
		case s == nil:
			c.unknown(upstreamRow, u.name, "services", u.line, serviceRow, name)
		case s.kind != Plain:
			c.add(upstreamRow, u.name, "services", u.line, "service "+name+" is not plain", "list its model at an engine")
		}
	}
}

func (c checker) engine(u *Upstream) {
	if u.memory == 0 {
		c.empty(upstreamRow, u.name, "memory", u.line)
	}
	if len(u.models) == 0 {
		c.empty(upstreamRow, u.name, "models", u.line)
	}
	if len(u.services) > 0 {
		c.add(upstreamRow, u.name, "services", u.line, "an engine runs no plain services", "remove the column")
	}
	for _, name := range u.models {
		if c.table.models[name] == nil {
			c.unknown(upstreamRow, u.name, "models", u.line, modelRow, name)
		}
	}
}

func (c checker) empty(kind, name, column string, line int) {
	c.add(kind, name, column, line, "the column is empty or 0", "fill it in")
}

func (c checker) unknown(kind, name, column string, line int, target, missing string) {
	c.add(kind, name, column, line, fmt.Sprintf("there is no %s %q", target, clip(missing)), "add its row or correct the name")
}

func (c checker) add(kind, name, column string, line int, text, remedy string) {
	c.faults.add(Fault{
		line:   line,
		row:    kind + " " + clip(name),
		column: column,
		text:   text,
		remedy: remedy,
	})
}
