package mgtable

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// Stream is the kind of a route whose responses are event streams. The other
// kinds, Safe and Never, specify whether a call may run more than once.
const Stream = "stream"

// Yes and No are the values of boolean columns.
const (
	Yes = "yes"
	No  = "no"
)

// A Route forwards the requests of one host whose paths begin with a prefix to
// services, unchanged.
type Route struct {
	name     string
	host     string
	prefix   string
	kind     string
	services []Share
	attempts int64
	timeout  int64
	goal     int64
	gap      int64
	priority int64
	resume   string
	public   string
	sticky   string
	homes    []string
	line     int
}

// A Share is a service of a route and its weight.
type Share struct {
	service string
	weight  int64
}

// Service returns the service's name.
func (s Share) Service() string { return s.service }

// Weight returns the service's weight relative to the others of the route.
func (s Share) Weight() int { return int(s.weight) }

// Name returns the route's name.
func (r *Route) Name() string { return r.name }

// Host returns the host name of the route's requests.
func (r *Route) Host() string { return r.host }

// Prefix returns the path prefix; it begins and ends with a slash.
func (r *Route) Prefix() string { return r.prefix }

// Kind returns Stream, Safe or Never.
func (r *Route) Kind() string { return r.kind }

// Services returns the services and their weights. Callers must not modify the
// slice.
func (r *Route) Services() []Share { return r.services }

// MaxAttempts returns the maximum number of upstreams that one request may be sent to.
func (r *Route) MaxAttempts() int { return int(r.attempts) }

// Timeout returns the timeout of a request, including all its attempts.
func (r *Route) Timeout() mgclock.Millis { return mgclock.Millis(r.timeout) }

// LatencyGoal returns the latency goal: the time to the reply, or to the first event of
// a stream, or 0 when none is given.
func (r *Route) LatencyGoal() mgclock.Millis { return mgclock.Millis(r.goal) }

// MaxEventInterval returns the goal for the maximum interval between events, or 0 when none
// is given.
func (r *Route) MaxEventInterval() mgclock.Millis { return mgclock.Millis(r.gap) }

// Priority returns the priority from 0 to 9; higher priorities are served first.
func (r *Route) Priority() int { return int(r.priority) }

// Resumes reports whether an interrupted stream may be continued by running the
// request again, after the last event that was delivered.
func (r *Route) Resumes() bool { return r.resume == Yes }

// Public reports whether callers need no key.
func (r *Route) Public() bool { return r.public == Yes }

// Sticky reports whether requests list the parts of their prompts.
func (r *Route) Sticky() bool { return r.sticky == Yes }

// HomeRegions returns the regions in which the route's requests may run; none listed
// means all. Callers must not modify the slice.
func (r *Route) HomeRegions() []string { return r.homes }

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.kind == Safe || r.kind == Stream && r.Resumes()
}

// HasService reports whether the route leads to a service.
func (r *Route) HasService(name string) bool {
	return slices.ContainsFunc(r.services, func(share Share) bool { return share.service == name })
}

// PickService selects a service by weight, given a uniformly distributed random number.
func (r *Route) PickService(random uint64) string {
	total := uint64(0)
	for _, share := range r.services {
		total += uint64(share.weight)
	}
	if total == 0 {
		return r.services[0].service
	}
	remaining := random % total
	for _, share := range r.services {
		if remaining < uint64(share.weight) {
			return share.service
		}
		remaining -= uint64(share.weight)
	}
	return r.services[len(r.services)-1].service
}

// Route returns the route with the longest prefix of an unmodified request path
// on a host, or nil. It does one map lookup per slash of the path, so that its
// cost doesn't depend on the number of routes.
func (t *Table) Route(host, path string) *Route {
	prefixes := t.routesByHost[strings.ToLower(host)]
	if prefixes == nil {
		return nil
	}
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if route := prefixes[path[:slash+1]]; route != nil {
			return route
		}
		end = slash
	}
	return nil
}

var routeColumns = []column[Route]{
	nameColumn("name", func(r *Route) *string { return &r.name }),
	nameColumn("host", func(r *Route) *string { return &r.host }),
	prefixColumn("prefix", func(r *Route) *string { return &r.prefix }),
	choiceColumn("kind", []string{Stream, Safe, Never}, func(r *Route) *string { return &r.kind }),
	sharesColumn("services", func(r *Route) *[]Share { return &r.services }),
	countColumn("attempts", maxBatch, func(r *Route) *int64 { return &r.attempts }),
	countColumn("timeout", maxDeadlineMillis, func(r *Route) *int64 { return &r.timeout }),
	countColumn("goal", maxDeadlineMillis, func(r *Route) *int64 { return &r.goal }),
	countColumn("gap", maxDeadlineMillis, func(r *Route) *int64 { return &r.gap }),
	countColumn("priority", maxPriority, func(r *Route) *int64 { return &r.priority }),
	choiceColumn("resume", []string{Yes, No}, func(r *Route) *string { return &r.resume }),
	choiceColumn("public", []string{Yes, No}, func(r *Route) *string { return &r.public }),
	choiceColumn("sticky", []string{Yes, No}, func(r *Route) *string { return &r.sticky }),
	namesColumn("homes", func(r *Route) *[]string { return &r.homes }),
}

// setRouteDefaults fills in omitted columns. Calls of a route are not repeated
// unless the table says that they may be.
func setRouteDefaults(r *Route) {
	if r.kind == "" {
		r.kind = Never
	}
	if r.attempts == 0 {
		r.attempts = 1
	}
	if r.timeout == 0 {
		r.timeout = defaultDeadlineMillis
	}
}

// prefixColumn holds a path that begins and ends with a slash.
func prefixColumn[R any](name string, field func(*R) *string) column[R] {
	const remedy = "write a path of visible ASCII that begins and ends with a slash"
	return column[R]{
		name: name,
		set: func(r *R, v value) *valueFault {
			if v.form != text && v.form != cell {
				return newValueFault(remedy, "not a string")
			}
			p := v.text
			isOdd := len(p) > maxPrefixBytes || strings.ContainsFunc(p, isUnsafePathRune)
			if isOdd && !v.external || !strings.HasPrefix(p, "/") || !strings.HasSuffix(p, "/") {
				return newValueFault(remedy, "%q is not a prefix", clip(p))
			}
			*field(r) = p
			return nil
		},
		get: func(r *R) value { return textValue(*field(r)) },
	}
}

// maxPrefixBytes limits the length of a route's prefix.
const maxPrefixBytes = 256

// isUnsafePathRune reports whether a character is not allowed in a path or would
// need an escape in the canonical form.
func isUnsafePathRune(c rune) bool {
	return c <= ' ' || c > '~' || strings.ContainsRune(`"\?#`, c)
}

// sharesColumn holds a list of services with weights, such as "ledger=90". The
// default weight is 1.
func sharesColumn[R any](name string, field func(*R) *[]Share) column[R] {
	return column[R]{
		name: name,
		set: func(r *R, v value) *valueFault {
			items, c := listItems(v)
			if c != nil {
				return c
			}
			shares := make([]Share, 0, len(items))
			for _, item := range items {
				share, c := v.parseShare(item)
				if c != nil {
					return c
				}
				shares = append(shares, share)
			}
			*field(r) = shares
			return nil
		},
		get: func(r *R) value {
			items := make([]string, 0, len(*field(r)))
			for _, s := range *field(r) {
				items = append(items, s.service+"="+strconv.FormatInt(s.weight, 10))
			}
			return listValue(items)
		},
	}
}

func (v value) parseShare(item string) (Share, *valueFault) {
	service, weight, hasWeight := strings.Cut(item, "=")
	if last := strings.LastIndexByte(item, '='); hasWeight && v.external {
		service, weight = item[:last], item[last+1:] // the name may have the character, too
	}
	if c := v.checkName(service); c != nil {
		return Share{}, c
	}
	share := Share{
		service: service,
		weight:  1,
	}
	if !hasWeight {
		return share, nil
	}
	n, err := strconv.ParseInt(weight, 10, 64)
	if err != nil || n < 0 || n > v.maxCount(maxWeight) {
		return Share{}, newValueFault("write service=weight with a weight from 0 to 1000000", "%q is not a share", clip(item))
	}
	share.weight = n
	return share, nil
}

// checkRoute checks the mandatory columns and the references of a route.
func (c checker) checkRoute(r *Route) {
	if r.host == "" {
		c.addEmptyColumn(routeRow, r.name, "host", r.line)
	}
	if r.prefix == "" {
		c.addEmptyColumn(routeRow, r.name, "prefix", r.line)
	}
	if len(r.services) == 0 {
		c.addEmptyColumn(routeRow, r.name, "services", r.line)
	}
	for _, share := range r.services {
		if c.table.services[share.service] == nil {
			c.addUnknownName(routeRow, r.name, "services", r.line, serviceRow, share.service)
		}
	}
	c.indexRoute(r)
}

// indexRoute adds a route to the table's index by host and prefix and reports a
// duplicate.
func (c checker) indexRoute(r *Route) {
	host := strings.ToLower(r.host)
	prefixes := c.table.routesByHost[host]
	if prefixes == nil {
		prefixes = map[string]*Route{}
		c.table.routesByHost[host] = prefixes
	}
	if other := prefixes[r.prefix]; other != nil && other.prefix == r.prefix {
		c.addFault(routeRow, r.name, "prefix", r.line,
			"route "+other.name+" has this host and prefix", "give each route a prefix of its own")
		return
	}
	prefixes[r.prefix] = r
	// Clients send what a path can't hold as it is in percent-encoding.
	if encoded := percentEncode(r.prefix); prefixes[encoded] == nil {
		prefixes[encoded] = r
	}
}

// percentEncode encodes the characters of a path that RFC 3986 allows only in percent-encoding. It
// keeps what is encoded already.
func percentEncode(path string) string {
	isPlain := func(c byte) bool { return c > ' ' && c < 0x7f && strings.IndexByte("\"<>\\^`{|}", c) < 0 }
	var b strings.Builder
	for i := range len(path) {
		if c := path[i]; isPlain(c) {
			b.WriteByte(c)
		} else {
			fmt.Fprintf(&b, "%%%02X", c)
		}
	}
	return b.String()
}
