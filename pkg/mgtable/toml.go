package mgtable

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"unicode/utf8"

	"github.com/pelletier/go-toml/v2/unstable"
)

// maxSourceBytes limits the text of a table. 35,000 accounts take about 7 MB.
const maxSourceBytes = 64 << 20

// versionColumn is the table's only column outside of any row.
const versionColumn = "version"

// readTOML parses TOML into records. It walks the syntax tree instead of
// decoding into structs, because a decoder stops at the first value of a wrong
// type, and operators need all faults of an edit at once.
func readTOML(data []byte, faults *Faults) (uint64, []record) {
	if !checkText(data, faults) {
		return 0, nil
	}
	// Some editors begin UTF-8 files with a byte order mark.
	data = bytes.TrimPrefix(data, []byte("\ufeff"))
	r := tomlReader{
		faults: faults,
		line:   1,
	}
	r.parser.Reset(data)
	for r.parser.NextExpression() {
		row := len(r.records)
		r.readExpression(r.parser.Expression())
		if len(r.records) > row {
			yieldAfter(row)
		}
	}
	r.addSyntaxFault(r.parser.Error())
	return r.version, r.records
}

// checkText reports a text that is too long or not UTF-8.
func checkText(data []byte, faults *Faults) bool {
	if len(data) > maxSourceBytes {
		faults.addTableFault(fmt.Sprintf("the table has %d bytes", len(data)), fmt.Sprintf("keep it under %d bytes", maxSourceBytes))
		return false
	}
	if utf8.Valid(data) {
		return true
	}
	faults.add(Fault{
		line:   invalidLine(data),
		text:   "the text is not UTF-8",
		remedy: "save the file as UTF-8",
	})
	return false
}

// invalidLine returns the line of the first byte that is not UTF-8.
func invalidLine(data []byte) int {
	line := 1
	for len(data) > 0 {
		r, size := utf8.DecodeRune(data)
		if r == utf8.RuneError && size == 1 {
			break
		}
		if r == '\n' {
			line++
		}
		data = data[size:]
	}
	return line
}

// tomlReader converts expressions to records.
type tomlReader struct {
	parser        unstable.Parser
	faults        *Faults
	records       []record
	version       uint64
	inSingleTable bool

	// line is the line of the byte at offset. Both only increase, so that the
	// newlines of a text are counted once.
	line   int
	offset int
}

// readExpression processes a top-level expression.
func (r *tomlReader) readExpression(node *unstable.Node) {
	switch node.Kind {
	case unstable.ArrayTable, unstable.Table:
		r.beginRow(node)
	case unstable.KeyValue:
		r.readColumn(node)
	}
}

// beginRow starts a new record.
func (r *tomlReader) beginRow(node *unstable.Node) {
	key, line := r.nodeKey(node)
	r.inSingleTable = node.Kind == unstable.Table
	if r.inSingleTable {
		r.faults.add(Fault{
			line:   line,
			row:    clip(key),
			text:   "a single table stands in place of a row",
			remedy: "write [[" + clip(key) + "]] with two brackets",
		})
		return
	}
	r.records = append(r.records, record{
		kind: key,
		line: line,
	})
}

// readColumn adds a column to the current record.
func (r *tomlReader) readColumn(node *unstable.Node) {
	key, line := r.nodeKey(node)
	switch {
	case r.inSingleTable:
	case len(r.records) == 0:
		r.readTopLevel(key, line, node.Value())
	default:
		last := &r.records[len(r.records)-1]
		last.cells = append(last.cells, entry{
			name:  key,
			line:  line,
			value: tomlValue(node.Value()),
		})
	}
}

// readTopLevel processes a column outside of any row.
func (r *tomlReader) readTopLevel(key string, line int, node *unstable.Node) {
	fault := Fault{
		line:   line,
		column: clip(key),
	}
	if key != versionColumn {
		fault.text = "unknown column outside of any row"
		fault.remedy = "write version, or begin a row such as [[account]] first"
		r.faults.add(fault)
		return
	}
	version, err := strconv.ParseUint(string(node.Data), 10, 63)
	if node.Kind != unstable.Integer || err != nil {
		fault.text = "not a version"
		fault.remedy = "write a whole number that rises with each edit"
		r.faults.add(fault)
		return
	}
	r.version = version
}

// nodeKey returns a node's key, its parts joined by dots, and its line.
func (r *tomlReader) nodeKey(node *unstable.Node) (string, int) {
	var key []byte
	line := 0
	for it := node.Key(); it.Next(); {
		if line == 0 {
			line = r.lineAt(int(it.Node().Raw.Offset))
		} else {
			key = append(key, '.')
		}
		key = append(key, it.Node().Data...)
	}
	return string(key), line
}

// lineAt returns the line of an offset. Offsets must not decrease from call to
// call.
func (r *tomlReader) lineAt(offset int) int {
	data := r.parser.Data()
	if offset > r.offset && offset <= len(data) {
		r.line += bytes.Count(data[r.offset:offset], []byte{'\n'})
		r.offset = offset
	}
	return r.line
}

// addSyntaxFault adds a fault for the parser's error, if any.
func (r *tomlReader) addSyntaxFault(err error) {
	if err == nil {
		return
	}
	line := r.line
	var parse *unstable.ParserError
	if errors.As(err, &parse) && len(parse.Highlight) > 0 {
		line = r.lineAt(int(r.parser.Range(parse.Highlight).Offset))
	}
	r.faults.add(Fault{
		line:   line,
		text:   err.Error(),
		remedy: "correct the TOML on this line; what follows it was not read",
	})
}

func tomlValue(node *unstable.Node) value {
	switch node.Kind {
	case unstable.String:
		return value{
			form: text,
			text: string(node.Data),
		}
	case unstable.Integer, unstable.Float:
		return value{
			form: number,
			text: string(node.Data),
		}
	case unstable.Array:
		return tomlList(node)
	default:
		return value{
			text: string(node.Data),
		}
	}
}

// tomlList returns a list of strings. With any other item the value is absent,
// which every column refuses.
func tomlList(node *unstable.Node) value {
	v := value{
		form: list,
	}
	for it := node.Children(); it.Next(); {
		if it.Node().Kind != unstable.String {
			return value{}
		}
		v.items = append(v.items, string(it.Node().Data))
	}
	return v
}

// writeTOML writes rows in canonical form: one column per line, in the order of
// the rows, without empty columns.
func writeTOML(set rows) []byte {
	var b bytes.Buffer
	if set.version > 0 {
		fmt.Fprintf(&b, "%s = %d\n", versionColumn, set.version)
	}
	writeRows(&b, modelRow, modelColumns, set.models)
	writeRows(&b, serviceRow, serviceColumns, set.services)
	writeRows(&b, upstreamRow, upstreamColumns, set.upstreams)
	writeRows(&b, routeRow, routeColumns, set.routes)
	writeRows(&b, accountRow, accountColumns, set.accounts)
	return b.Bytes()
}

func writeRows[R any](b *bytes.Buffer, kind string, columns []column[R], list []*R) {
	for i, row := range list {
		yieldAfter(i)
		b.WriteString("\n[[" + kind + "]]\n")
		for _, c := range columns {
			writeColumn(b, c.name, c.get(row))
		}
	}
}

func writeColumn(b *bytes.Buffer, name string, v value) {
	switch v.form {
	case text:
		b.WriteString(name + " = ")
		writeString(b, v.text)
		b.WriteByte('\n')
	case number:
		b.WriteString(name + " = " + v.text + "\n")
	case list:
		b.WriteString(name + " = [")
		for i, item := range v.items {
			if i > 0 {
				b.WriteString(", ")
			}
			writeString(b, item)
		}
		b.WriteString("]\n")
	}
}

// writeString writes a basic string (TOML 1.0). Only external names have characters to escape.
func writeString(b *bytes.Buffer, s string) {
	b.WriteByte('"')
	for i := range len(s) {
		switch c := s[i]; {
		case c == '"' || c == '\\':
			b.WriteByte('\\')
			b.WriteByte(c)
		case c < ' ' || c == 0x7f:
			fmt.Fprintf(b, "\\u%04X", c)
		default:
			b.WriteByte(c)
		}
	}
	b.WriteByte('"')
}
