package mgtable

import (
	"encoding/hex"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Limits of the columns. They are far above the needs of any deployment, and so
// far below the range of their types that sums over all rows would not overflow.
const (
	maxNameLength     = 64
	maxWeight         = 1e6
	maxRate           = 1e9
	maxStreams        = 1_000_000
	maxPriority       = 9
	maxDeadlineMillis = 3_600_000 // an hour in ms
	maxTokens         = 1_000_000_000
	maxBatch          = 100_000
	maxListItems      = 1_000
)

// defaultDeadlineMillis applies where the column is omitted, in ms, so that no
// request waits without a limit.
const defaultDeadlineMillis = 30_000

// nameSymbols are the characters allowed in a name besides letters and digits.
const nameSymbols = "._-:/"

// form is the syntactic type of a value.
type form int

const (
	absent form = iota
	text        // a string
	number      // an integer or a float
	list        // a list of strings
	cell        // a CSV cell, which may hold any of the other forms
)

// value is the unchecked content of a column.
type value struct {
	form  form
	text  string
	items []string

	// external is set for a value that a program took from another configuration. That one decides
	// which names and sizes are valid, and not this package.
	external bool
}

// valueFault is a fault without its line, row and column.
type valueFault struct {
	text   string
	remedy string
}

func newValueFault(remedy, format string, args ...any) *valueFault {
	return &valueFault{
		text:   fmt.Sprintf(format, args...),
		remedy: remedy,
	}
}

// column parses and formats one column of rows of type R.
type column[R any] struct {
	name string
	set  func(r *R, v value) *valueFault
	get  func(r *R) value
}

// numberColumn holds a float from low to high; excludeLow excludes low itself.
func numberColumn[R any](name string, low, high float64, excludeLow bool, field func(*R) *float64) column[R] {
	bounds := fmt.Sprintf("write a number from %g to %g", low, high)
	if excludeLow {
		bounds = fmt.Sprintf("write a number above %g, up to %g", low, high)
	}
	return column[R]{
		name: name,
		set: func(r *R, v value) *valueFault {
			x, c := parseNumber(v)
			if c != nil {
				return c
			}
			if x < low || x > high && !v.external || (excludeLow && x == low) {
				return newValueFault(bounds, "%g is out of bounds", x)
			}
			*field(r) = x
			return nil
		},
		get: func(r *R) value {
			x := *field(r)
			if x == 0 {
				return value{}
			}
			return value{
				form: number,
				text: strconv.FormatFloat(x, 'g', -1, 64),
			}
		},
	}
}

// parseNumber parses a finite number.
func parseNumber(v value) (float64, *valueFault) {
	const remedy = "write a finite number"
	if v.form != number && v.form != cell {
		return 0, newValueFault(remedy, "not a number")
	}
	x, err := strconv.ParseFloat(strings.ReplaceAll(v.text, "_", ""), 64)
	if err != nil {
		return 0, newValueFault(remedy, "%q is not a number", clip(v.text))
	}
	if math.IsNaN(x) || math.IsInf(x, 0) {
		return 0, newValueFault(remedy, "%s is not finite", clip(v.text))
	}
	return x, nil
}

// countColumn holds a whole number from 0 to high.
func countColumn[R any](name string, high int64, field func(*R) *int64) column[R] {
	return column[R]{
		name: name,
		set: func(r *R, v value) *valueFault {
			remedy := fmt.Sprintf("write a whole number from 0 to %d", high)
			if v.form != number && v.form != cell {
				return newValueFault(remedy, "not a number")
			}
			n, err := strconv.ParseInt(strings.ReplaceAll(v.text, "_", ""), 10, 64)
			if err != nil {
				return newValueFault(remedy, "%q is not a whole number in bounds", clip(v.text))
			}
			if n < 0 || n > v.maxCount(high) {
				return newValueFault(remedy, "%d is out of bounds", n)
			}
			*field(r) = n
			return nil
		},
		get: func(r *R) value {
			n := *field(r)
			if n == 0 {
				return value{}
			}
			return value{
				form: number,
				text: strconv.FormatInt(n, 10),
			}
		},
	}
}

// maxCount returns the maximum of a count column with a limit.
func (v value) maxCount(limit int64) int64 {
	if v.external {
		return maxExternal
	}
	return limit
}

// nameColumn holds the name of a row.
func nameColumn[R any](name string, field func(*R) *string) column[R] {
	return column[R]{
		name: name,
		set: func(r *R, v value) *valueFault {
			if v.form != text && v.form != cell {
				return newValueFault("write the name as a string", "not a string")
			}
			if c := v.checkName(v.text); c != nil {
				return c
			}
			*field(r) = v.text
			return nil
		},
		get: func(r *R) value { return textValue(*field(r)) },
	}
}

// choiceColumn holds one of a fixed set of words.
func choiceColumn[R any](name string, choices []string, field func(*R) *string) column[R] {
	return column[R]{
		name: name,
		set: func(r *R, v value) *valueFault {
			if (v.form != text && v.form != cell) || !contains(choices, v.text) {
				return newValueFault("write one of "+strings.Join(choices, ", "), "%q is not a choice", clip(v.text))
			}
			*field(r) = v.text
			return nil
		},
		get: func(r *R) value { return textValue(*field(r)) },
	}
}

// namesColumn holds a list of names without duplicates.
func namesColumn[R any](name string, field func(*R) *[]string) column[R] {
	return column[R]{
		name: name,
		set: func(r *R, v value) *valueFault {
			items, c := listItems(v)
			if c != nil {
				return c
			}
			seen := make(map[string]bool, len(items))
			for _, item := range items {
				if c := v.checkName(item); c != nil {
					return c
				}
				if seen[item] {
					return newValueFault("name it once", "%q stands twice in the list", item)
				}
				seen[item] = true
			}
			*field(r) = items
			return nil
		},
		get: func(r *R) value { return listValue(*field(r)) },
	}
}

// digestsColumn holds a list of SHA-256 digests in hexadecimal digits.
func digestsColumn[R any](name string, field func(*R) *[]Digest) column[R] {
	return column[R]{
		name: name,
		set: func(r *R, v value) *valueFault {
			items, c := listItems(v)
			if c != nil {
				return c
			}
			digests := make([]Digest, 0, len(items))
			for _, item := range items {
				d, c := parseDigest(item)
				if c != nil {
					return c
				}
				digests = append(digests, d)
			}
			*field(r) = digests
			return nil
		},
		get: func(r *R) value {
			items := make([]string, 0, len(*field(r)))
			for _, d := range *field(r) {
				items = append(items, d.String())
			}
			return listValue(items)
		},
	}
}

// parseDigest parses 64 lower-case hexadecimal digits. The fault doesn't quote
// the text: a key written in the clear by mistake must not reach a log.
func parseDigest(item string) (Digest, *valueFault) {
	var d Digest
	raw, err := hex.DecodeString(item)
	if err != nil || len(raw) != len(d) || strings.ToLower(item) != item {
		return d, newValueFault("write the SHA-256 of the key as 64 lower-case hexadecimal digits", "an entry is not a digest")
	}
	copy(d[:], raw)
	return d, nil
}

func listItems(v value) ([]string, *valueFault) {
	switch v.form {
	case list:
	case cell:
		v.items = strings.Fields(v.text)
	default:
		return nil, newValueFault("write a list of strings, such as [\"a\", \"b\"]", "not a list")
	}
	if len(v.items) > maxListItems && !v.external {
		return nil, newValueFault(fmt.Sprintf("list at most %d", maxListItems), "%d items are too many", len(v.items))
	}
	return v.items, nil
}

// checkName accepts letters, digits and nameSymbols, so that a name needs no
// escaping in a URL, a metric, a log line or a spreadsheet cell. The names of an external value may
// be any text.
func (v value) checkName(name string) *valueFault {
	if name == "" {
		return newValueFault("give it a name", "the name is empty")
	}
	if v.external {
		return nil
	}
	if len(name) > maxNameLength {
		return newValueFault(fmt.Sprintf("use at most %d characters", maxNameLength), "the name %q is too long", clip(name))
	}
	if !isNameRune(rune(name[0])) || strings.ContainsRune(nameSymbols, rune(name[0])) {
		// Spreadsheets interpret a cell that begins with a symbol as a formula.
		return newValueFault("begin it with a letter or a digit", "the name %q begins with a mark", clip(name))
	}
	for _, r := range name {
		if !isNameRune(r) {
			return newValueFault("use ASCII letters, digits and . _ - : /", "the name %q holds %q", clip(name), r)
		}
	}
	return nil
}

func isNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	default:
		return strings.ContainsRune(nameSymbols, r)
	}
}

func textValue(s string) value {
	if s == "" {
		return value{}
	}
	return value{
		form: text,
		text: s,
	}
}

func listValue(items []string) value {
	if len(items) == 0 {
		return value{}
	}
	return value{
		form:  list,
		items: items,
	}
}

// clip truncates text for a message.
func clip(s string) string {
	const maxLen = 40
	if len(s) <= maxLen {
		return s
	}
	return s[:maxLen] + "…"
}
