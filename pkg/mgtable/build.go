package mgtable

import "strconv"

// Spec describes a table that a program builds, for example from another
// configuration format. It passes the same checks as a table written by an
// operator, except that its names may be any text and its sizes any number.
type Spec struct {
	Version  uint64
	Accounts []AccountSpec
	Services []ServiceSpec
	Models   []ModelSpec
	Routes   []RouteSpec
}

// AccountSpec describes a client account.
type AccountSpec struct {
	Name       string
	Keys       []Digest
	Homes      []string // regions
	Unreadable error    // why the row couldn't be read whole, or nil; see Complete
}

// ServiceSpec describes a service. Model is empty for a plain service.
type ServiceSpec struct {
	Name           string
	Model          string
	CanMigrate     bool    // whether running generations may migrate between engines
	CanBackup      bool    // whether engines copy a running generation to a backup engine that its request names
	TokensPerEvent int64   // tokens per stream event, 0 for 1
	CopyMicros     int64   // µs to copy one token's memory to another engine
	ColdMillis     int64   // ms for which an upstream is cold after its start
	MaxColdRate    float64 // max requests per second to a cold upstream, 0 for no limit
	Unreadable     error   // why the row couldn't be read whole, or nil; see Complete
}

// ModelSpec describes a model; Context and MaxOutput are in tokens.
type ModelSpec struct {
	Name      string
	Context   int64
	MaxOutput int64
}

// RouteSpec describes a route; see the accessors of Route for its fields. Times
// are in ms.
type RouteSpec struct {
	Name             string
	Host             string
	Prefix           string
	Kind             string
	Services         []ShareSpec
	MaxAttempts      int64
	Timeout          int64
	LatencyGoal      int64
	MaxEventInterval int64
	Priority         int64
	Resumes          bool
	Public           bool
	Sticky           bool
	Homes            []string // regions
	Unreadable       error    // why the row couldn't be read whole, or nil; see Complete
}

// ShareSpec names a service of a route and its weight.
type ShareSpec struct {
	Service string
	Weight  int64
}

// Build checks a spec and returns its table. The error is a *Faults with all
// faults.
func Build(spec Spec) (*Table, error) {
	var faults Faults
	return assemble(buildRows(spec.Version, spec.records(), &faults), &faults)
}

// Pages returns the manifest and the pages of the table that Build would
// return, each page of at most limit bytes. It checks each row by itself; Join
// checks the references between rows. See Complete for a spec with faults.
func (s Spec) Pages(limit int) (Manifest, []*Page, error) {
	var faults Faults
	set := buildRows(s.Version, s.records(), &faults)
	if err := faults.err(); err != nil {
		return Manifest{}, nil, err
	}
	set.sortByName()
	return splitPages(set, limit)
}

func (s Spec) records() []record {
	var list []record
	for _, m := range s.Models {
		list = append(list, record{
			kind: modelRow,
			cells: cells{}.text("name", m.Name).
				count("context", m.Context).
				count("max", m.MaxOutput),
		})
	}
	for _, v := range s.Services {
		list = append(list, v.record())
	}
	for i, r := range s.Routes {
		yieldAfter(i)
		list = append(list, r.record())
	}
	for _, a := range s.Accounts {
		list = append(list, a.record())
	}
	for i := range list {
		list[i].external = true
	}
	return list
}

func (s ServiceSpec) record() record {
	row := record{
		kind: serviceRow,
		cells: cells{}.text("name", s.Name).
			count("cold", s.ColdMillis).
			number("ramp", s.MaxColdRate),
	}
	if s.Model == "" {
		row.cells = cells(row.cells).text("kind", Plain)
		return row
	}
	row.cells = cells(row.cells).text("kind", Generation).
		text("model", s.Model).
		text("move", yesOrNo(s.CanMigrate)).
		count("copy", s.CopyMicros).
		count("stride", s.TokensPerEvent)
	if s.CanBackup {
		// Left out otherwise, so that a release without the column reads the row.
		row.cells = cells(row.cells).text("backup", Yes)
	}
	return row
}

func (a AccountSpec) record() record {
	keys := make([]string, 0, len(a.Keys))
	for _, key := range a.Keys {
		keys = append(keys, key.String())
	}
	return record{
		kind:  accountRow,
		cells: cells{}.text("name", a.Name).list("keys", keys).list("homes", a.Homes),
	}
}

func (r RouteSpec) record() record {
	shares := make([]string, 0, len(r.Services))
	for _, share := range r.Services {
		shares = append(shares, share.Service+"="+strconv.FormatInt(share.Weight, 10))
	}
	return record{
		kind: routeRow,
		cells: cells{}.text("name", r.Name).
			text("host", r.Host).
			text("prefix", r.Prefix).
			text("kind", r.Kind).
			list("services", shares).
			count("attempts", r.MaxAttempts).
			count("timeout", r.Timeout).
			count("goal", r.LatencyGoal).
			count("gap", r.MaxEventInterval).
			count("priority", r.Priority).
			text("resume", yesOrNo(r.Resumes)).
			text("public", yesOrNo(r.Public)).
			text("sticky", yesOrNo(r.Sticky)).
			list("homes", r.Homes),
	}
}

func yesOrNo(isSet bool) string {
	if isSet {
		return Yes
	}
	return No
}

// cells builds the columns of a record.
type cells []entry

func (c cells) text(name, content string) cells {
	return append(c, entry{
		name: name,
		value: value{
			form: text,
			text: content,
		},
	})
}

func (c cells) count(name string, n int64) cells {
	return append(c, entry{
		name: name,
		value: value{
			form: number,
			text: strconv.FormatInt(n, 10),
		},
	})
}

func (c cells) number(name string, x float64) cells {
	return append(c, entry{
		name: name,
		value: value{
			form: number,
			text: strconv.FormatFloat(x, 'f', -1, 64),
		},
	})
}

func (c cells) list(name string, items []string) cells {
	return append(c, entry{
		name: name,
		value: value{
			form:  list,
			items: items,
		},
	})
}
