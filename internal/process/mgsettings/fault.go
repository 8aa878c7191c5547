package mgsettings

import (
	"fmt"
	"sort"
	"strings"
)

// A Fault is one error in a settings file.
type Fault struct {
	line   int
	key    string
	detail string
	remedy string
}

// Line returns the fault's line, counted from 1, or 0 for a missing key.
func (f Fault) Line() int { return f.line }

// Key returns the dotted key.
func (f Fault) Key() string { return f.key }

// String returns the fault with its remedy.
func (f Fault) String() string {
	if f.line == 0 {
		return fmt.Sprintf("key %s: %s: %s", f.key, f.detail, f.remedy)
	}
	return fmt.Sprintf("line %d, key %s: %s: %s", f.line, f.key, f.detail, f.remedy)
}

// Faults is the error for an invalid settings file. It contains all its faults.
type Faults struct {
	name string
	list []Fault
}

// List returns the faults in line order.
func (f *Faults) List() []Fault { return f.list }

// Error returns the faults, one per line.
func (f *Faults) Error() string {
	lines := make([]string, 0, len(f.list))
	for _, fault := range f.list {
		lines = append(lines, f.name+": "+fault.String())
	}
	return strings.Join(lines, "\n")
}

func (f *Faults) add(line int, key, detail, remedy string) {
	f.list = append(f.list, Fault{
		line:   line,
		key:    key,
		detail: detail,
		remedy: remedy,
	})
}

// orNil returns f as an error, or nil if there are no faults.
func (f *Faults) orNil() error {
	if len(f.list) == 0 {
		return nil
	}
	sort.SliceStable(f.list, func(i, j int) bool { return f.list[i].line < f.list[j].line })
	return f
}
