package mgtable

import (
	"fmt"
	"strings"
)

// maxFaults limits the faults that are kept per table: a file in another format
// would otherwise yield a fault for every line.
const maxFaults = 200

// A Fault is one reason why a table is refused.
type Fault struct {
	line   int
	row    string
	column string
	text   string
	remedy string
}

// Line returns the line of the fault in the text, from 1, or 0 for a fault of
// the table as a whole.
func (f Fault) Line() int { return f.line }

// Row returns the kind and the name of the row, such as "account harbour".
func (f Fault) Row() string { return f.row }

// Column returns the name of the column, or "" when the whole row is at fault.
func (f Fault) Column() string { return f.column }

// Text returns what is wrong.
func (f Fault) Text() string { return f.text }

// Remedy returns what to do about it.
func (f Fault) Remedy() string { return f.remedy }

// String returns the fault as one line.
func (f Fault) String() string {
	var b strings.Builder
	if f.line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.line)
	}
	if f.row != "" {
		fmt.Fprintf(&b, "%s: ", f.row)
	}
	if f.column != "" {
		fmt.Fprintf(&b, "column %s: ", f.column)
	}
	b.WriteString(f.text)
	b.WriteString(": ")
	b.WriteString(f.remedy)
	return b.String()
}

// Faults is the error of a refused table. It holds up to maxFaults faults.
type Faults struct {
	list []Fault
}

// List returns the faults in the order in which they were found.
func (f *Faults) List() []Fault { return f.list }

// Error returns the faults, one per line.
func (f *Faults) Error() string {
	lines := make([]string, 0, len(f.list))
	for _, fault := range f.list {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// add appends a fault and reports whether there is capacity for another.
func (f *Faults) add(fault Fault) bool {
	if len(f.list) < maxFaults {
		f.list = append(f.list, fault)
	}
	return len(f.list) < maxFaults
}

// addTableFault adds a fault of the table as a whole.
func (f *Faults) addTableFault(text, remedy string) {
	f.add(Fault{
		text:   text,
		remedy: remedy,
	})
}

// err returns f as an error, or nil when it is empty.
func (f *Faults) err() error {
	if len(f.list) == 0 {
		return nil
	}
	return f
}
