package mgtable

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"unicode"
)

// maxExternal limits the numbers of a table that a program builds. It is so far below the range of
// their types that neither sums over all rows nor times in ns overflow.
const maxExternal = 1_000_000_000_000

// maxAccountKeys limits the keys of an account that a program builds: a row is part of one page, and
// pages are exchanged as values of 1 MiB at most.
const maxAccountKeys = 15_000

// unusableName is the name of the service of a route, and of the region of an account, that can't be
// used as they are written. Nothing runs there. It is also that of the account of a table without one.
const unusableName = "unusable"

// Complete returns a spec whose table is free of faults, and the faults of s. What can't be used as it
// is written is left out; all other rows stay. A route or an account that can't be read whole still
// matches its requests, which no upstream may run: no shorter prefix takes them, and no region that
// may not run them. A spec that is free of faults is returned as it is.
func (s Spec) Complete() (Spec, *Faults) {
	c := completer{
		faults:   &Faults{},
		models:   map[string]bool{},
		services: map[string]bool{},
		routes:   make(map[string]bool, len(s.Routes)),
		prefixes: make(map[routeMatch]bool, len(s.Routes)),
		accounts: map[string]bool{},
		keys:     map[Digest]string{},
	}
	out := Spec{
		Version: s.Version,
		Routes:  make([]RouteSpec, 0, len(s.Routes)),
	}
	for _, m := range s.Models {
		if c.model(&m) {
			out.Models = append(out.Models, m)
		}
	}
	for _, v := range s.Services {
		if c.service(&v) {
			out.Services = append(out.Services, v)
		}
	}
	c.unusable = unusableName
	for s.namesService(c.unusable) {
		c.unusable += "-"
	}
	for _, r := range s.Routes {
		if c.route(&r) {
			out.Routes = append(out.Routes, r)
		}
	}
	for _, a := range s.Accounts {
		if c.account(&a) {
			out.Accounts = append(out.Accounts, a)
		}
	}
	if len(out.Services)+len(c.missing) == 0 {
		c.nowhere()
	}
	out.Services = append(out.Services, c.missing...)
	if len(out.Accounts) == 0 {
		out.Accounts = append(out.Accounts, AccountSpec{
			Name: unusableName, // a table has an account; no key is this one's
		})
	}
	return out, c.faults
}

// namesService reports whether a service has a row, or a route leads to one of that name.
func (s Spec) namesService(name string) bool {
	leadsTo := func(r RouteSpec) bool {
		return slices.ContainsFunc(r.Services, func(share ShareSpec) bool { return share.Service == name })
	}
	return slices.ContainsFunc(s.Services, func(v ServiceSpec) bool { return v.Name == name }) || slices.ContainsFunc(s.Routes, leadsTo)
}

// completer collects the faults of a spec and what its rows need to be free of them.
type completer struct {
	faults   *Faults
	models   map[string]bool
	services map[string]bool
	routes   map[string]bool
	prefixes map[routeMatch]bool
	accounts map[string]bool
	keys     map[Digest]string // account by key
	unusable string            // name of a service without upstreams
	missing  []ServiceSpec     // services that routes name and that have no row
}

// routeMatch is what the requests of a route have in common.
type routeMatch struct {
	host   string // in lower case
	prefix string
}

func (c *completer) add(kind, name, column, text, remedy string) {
	c.faults.add(Fault{
		row:    kind + " " + clip(name),
		column: column,
		text:   text,
		remedy: remedy,
	})
}

// hasName reports whether a row has a name that no other row of its kind has, and records it.
func (c *completer) hasName(kind, name string, names map[string]bool) bool {
	switch {
	case name == "":
		c.add(kind, "", "name", "the row has no name and is left out", "give it one")
		return false
	case names[name]:
		c.add(kind, name, "name", "another row has this name and this one is left out", "rename or remove one of them")
		return false
	}
	names[name] = true
	return true
}

// isReadable reports whether a row could be read whole, and records why not.
func (c *completer) isReadable(kind, name string, err error) bool {
	if err != nil {
		c.add(kind, name, "", err.Error(), "correct the row")
	}
	return err == nil
}

// bound sets a number that is out of bounds to the nearest one that isn't.
func (c *completer) bound(kind, name, column string, high int64, fields ...*int64) {
	for _, field := range fields {
		if *field < 0 || *field > high {
			c.add(kind, name, column, fmt.Sprintf("%d is out of bounds", *field), fmt.Sprintf("write a number from 0 to %d", high))
			*field = min(max(*field, 0), high)
		}
	}
}

func (c *completer) model(m *ModelSpec) bool {
	if !c.hasName(modelRow, m.Name, c.models) {
		return false
	}
	c.bound(modelRow, m.Name, "context", maxExternal, &m.Context)
	c.bound(modelRow, m.Name, "max", maxExternal, &m.MaxOutput)
	if m.Context == 0 || m.MaxOutput == 0 || m.MaxOutput > m.Context {
		c.add(modelRow, m.Name, "max", fmt.Sprintf("an output of %d tokens in a context of %d", m.MaxOutput, m.Context), "give a max from 1 to context")
		delete(c.models, m.Name)
		return false
	}
	return true
}

func (c *completer) service(s *ServiceSpec) bool {
	if !c.hasName(serviceRow, s.Name, c.services) {
		return false
	}
	c.bound(serviceRow, s.Name, "cold", maxExternal, &s.ColdMillis)
	c.bound(serviceRow, s.Name, "copy", maxExternal, &s.CopyMicros)
	c.bound(serviceRow, s.Name, "stride", maxExternal, &s.TokensPerEvent)
	if !(s.MaxColdRate >= 0 && s.MaxColdRate <= math.MaxFloat64) {
		c.add(serviceRow, s.Name, "ramp", fmt.Sprintf("%g is out of bounds", s.MaxColdRate), "write a finite number of 0 or more")
		s.MaxColdRate = 0
	}
	if !c.isReadable(serviceRow, s.Name, s.Unreadable) {
		s.Model, s.Unreadable = "", nil
	}
	if s.Model != "" && !c.models[s.Model] {
		c.add(serviceRow, s.Name, "model", fmt.Sprintf("there is no %s %q", modelRow, clip(s.Model)), "add its row or correct the name")
		s.Model = ""
	}
	return true
}

func (c *completer) route(r *RouteSpec) bool {
	isReadable := c.isReadable(routeRow, r.Name, r.Unreadable)
	switch {
	case !isReadable && (r.Host == "" || r.Prefix == ""):
		return false
	case r.Host == "":
		c.add(routeRow, r.Name, "host", "the route has no host and is left out", "give it one")
		return false
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		c.add(routeRow, r.Name, "prefix", fmt.Sprintf("%q is no prefix and the route is left out", clip(r.Prefix)), "write a path that begins and ends with a slash")
		return false
	}
	match := routeMatch{
		host:   strings.ToLower(r.Host),
		prefix: r.Prefix,
	}
	if c.prefixes[match] {
		c.add(routeRow, r.Name, "prefix", "another route has this host and prefix and this one is left out", "give each route a prefix of its own")
		return false
	}
	c.prefixes[match] = true
	c.nameRoute(r)
	c.bound(routeRow, r.Name, "attempts", maxExternal, &r.MaxAttempts)
	c.bound(routeRow, r.Name, "timeout", maxExternal, &r.Timeout)
	c.bound(routeRow, r.Name, "goal", maxExternal, &r.LatencyGoal)
	c.bound(routeRow, r.Name, "gap", maxExternal, &r.MaxEventInterval)
	c.bound(routeRow, r.Name, "priority", maxPriority, &r.Priority)
	c.routeKind(r)
	if !isReadable {
		r.Services, r.Homes, r.Unreadable = c.nowhere(), nil, nil
		return true
	}
	c.routeServices(r)
	if !c.regions(routeRow, r.Name, &r.Homes) {
		r.Services, r.Homes = c.nowhere(), nil
	}
	return true
}

// routeKind makes sure that the requests of a route of an unknown kind aren't repeated.
func (c *completer) routeKind(r *RouteSpec) {
	switch r.Kind {
	case Stream, Safe, Never:
		return
	case "":
	default:
		c.add(routeRow, r.Name, "kind", fmt.Sprintf("%q is no kind and requests aren't repeated", clip(r.Kind)), "write one of "+strings.Join([]string{Stream, Safe, Never}, ", "))
	}
	r.Kind = Never
}

// nameRoute gives a route a name that no other route has.
func (c *completer) nameRoute(r *RouteSpec) {
	name, why := r.Name, "another route has this name"
	if name == "" {
		name, why = r.Host+r.Prefix, "the route has no name"
	}
	unique := name
	for n := 2; c.routes[unique]; n++ {
		unique = fmt.Sprintf("%s:%d", name, n)
	}
	c.routes[unique] = true
	if unique != r.Name {
		c.add(routeRow, r.Name, "name", fmt.Sprintf("%s and is called %q", why, clip(unique)), "give it a name of its own")
		r.Name = unique
	}
}

// routeServices leaves a route with the services that it can lead to.
func (c *completer) routeServices(r *RouteSpec) {
	isUnnamed := func(share ShareSpec) bool { return share.Service == "" }
	r.Services = slices.DeleteFunc(slices.Clone(r.Services), isUnnamed)
	for i := range r.Services {
		share := &r.Services[i]
		c.bound(routeRow, r.Name, "services", maxExternal, &share.Weight)
		c.ensureService(r.Name, share.Service)
	}
	if len(r.Services) == 0 {
		c.add(routeRow, r.Name, "services", "the route leads to no service and its requests are refused", "name one")
		r.Services = c.nowhere()
	}
}

// ensureService adds a plain service for the name of one that has no row.
func (c *completer) ensureService(route, name string) {
	if c.services[name] {
		return
	}
	c.add(routeRow, route, "services", fmt.Sprintf("there is no %s %q", serviceRow, clip(name)), "add its row or correct the name")
	c.services[name] = true
	c.missing = append(c.missing, ServiceSpec{
		Name: name,
	})
}

// nowhere returns the services of a route whose requests no upstream may run.
func (c *completer) nowhere() []ShareSpec {
	if !c.services[c.unusable] {
		c.services[c.unusable] = true
		c.missing = append(c.missing, ServiceSpec{
			Name: c.unusable,
		})
	}
	return []ShareSpec{
		{
			Service: c.unusable,
			Weight:  1,
		},
	}
}

// regions removes repeated names from a list of regions, and reports whether all have one.
func (c *completer) regions(kind, name string, homes *[]string) bool {
	if len(*homes) == 0 {
		return true
	}
	kept := make([]string, 0, len(*homes))
	for _, home := range *homes {
		if home == "" {
			c.add(kind, name, "homes", "a region has no name and requests are refused", "give its name, or no region to allow all")
			return false
		}
		if !slices.Contains(kept, home) {
			kept = append(kept, home)
		}
	}
	*homes = kept
	return true
}

func (c *completer) account(a *AccountSpec) bool {
	if !c.hasName(accountRow, a.Name, c.accounts) {
		return false
	}
	keys := make([]Digest, 0, len(a.Keys))
	for _, key := range a.Keys {
		holder, isHeld := c.keys[key]
		switch {
		case !isHeld:
			c.keys[key] = a.Name
			keys = append(keys, key)
		case holder != a.Name:
			c.add(accountRow, a.Name, "keys", fmt.Sprintf("a key stands also at account %s, which keeps it", clip(holder)), "give each key to one account")
		}
	}
	if len(keys) > maxAccountKeys {
		c.add(accountRow, a.Name, "keys", fmt.Sprintf("%d keys are too many and the last ones are left out", len(keys)), fmt.Sprintf("give an account at most %d", maxAccountKeys))
		keys = keys[:maxAccountKeys]
	}
	a.Keys = keys
	isReadable := c.isReadable(accountRow, a.Name, a.Unreadable)
	if strings.ContainsFunc(a.Name, unicode.IsControl) {
		c.add(accountRow, a.Name, "name", "upstreams can't be told a name with control characters and requests are refused", "rename it")
		isReadable = false
	}
	if !c.regions(accountRow, a.Name, &a.Homes) || !isReadable {
		a.Homes, a.Unreadable = []string{unusableName}, nil
	}
	return true
}
