package mgtable

import (
	"bytes"
	"encoding/csv"
	"errors"
	"io"
	"strconv"
	"strings"
)

// csvColumns is the CSV header: the kind of row, followed by the union of the
// columns of all kinds of rows.
var csvColumns = unionColumns()

// csvKindColumn is the header of the column that holds the kind of row.
const csvKindColumn = "row"

func unionColumns() []string {
	names := []string{csvKindColumn}
	for _, list := range []string{
		columnNames(accountColumns),
		columnNames(serviceColumns),
		columnNames(modelColumns),
		columnNames(upstreamColumns),
		columnNames(routeColumns),
	} {
		for _, name := range strings.Split(list, ", ") {
			if !contains(names, name) {
				names = append(names, name)
			}
		}
	}
	return names
}

// Export returns the table as CSV for spreadsheets: one line per row, list items
// separated by spaces.
func (t *Table) Export() []byte {
	var b bytes.Buffer
	w := csv.NewWriter(&b)
	lines := [][]string{csvColumns}
	if t.version > 0 {
		line := make([]string, len(csvColumns))
		line[0] = versionColumn
		line[1] = strconv.FormatUint(t.version, 10)
		lines = append(lines, line)
	}
	lines = append(lines, csvLines(modelRow, modelColumns, t.rows.models)...)
	lines = append(lines, csvLines(serviceRow, serviceColumns, t.rows.services)...)
	lines = append(lines, csvLines(upstreamRow, upstreamColumns, t.rows.upstreams)...)
	lines = append(lines, csvLines(routeRow, routeColumns, t.rows.routes)...)
	lines = append(lines, csvLines(accountRow, accountColumns, t.rows.accounts)...)
	// Writing to a bytes.Buffer returns no error.
	_ = w.WriteAll(lines)
	return b.Bytes()
}

func csvLines[R any](kind string, columns []column[R], list []*R) [][]string {
	lines := make([][]string, 0, len(list))
	for _, row := range list {
		line := make([]string, len(csvColumns))
		line[0] = kind
		for i, name := range csvColumns {
			if at := columnIndex(columns, name); at >= 0 {
				line[i] = cellText(columns[at].get(row))
			}
		}
		lines = append(lines, line)
	}
	return lines
}

func cellText(v value) string {
	if v.form == list {
		return strings.Join(v.items, " ")
	}
	return v.text
}

// Import parses a table from CSV. The error is a *Faults with all faults.
func Import(data []byte) (*Table, error) {
	var faults Faults
	version, records := readCSV(data, &faults)
	return assemble(buildRows(version, records, &faults), &faults)
}

// readCSV parses CSV into records.
func readCSV(data []byte, faults *Faults) (uint64, []record) {
	if !checkText(data, faults) {
		return 0, nil
	}
	// Spreadsheets begin UTF-8 files with a byte order mark.
	data = bytes.TrimPrefix(data, []byte("\ufeff"))
	r := csv.NewReader(bytes.NewReader(data))
	r.Comma = separator(data)
	r.FieldsPerRecord = -1
	c := csvReader{
		faults: faults,
		csv:    r,
	}
	return c.read()
}

// separator detects the separator from the header. In locales whose decimal
// mark is a comma, spreadsheets separate cells by semicolons.
func separator(data []byte) rune {
	header, _, _ := bytes.Cut(data, []byte("\n"))
	if bytes.Count(header, []byte(";")) > bytes.Count(header, []byte(",")) {
		return ';'
	}
	return ','
}

// csvReader converts lines to records.
type csvReader struct {
	faults  *Faults
	csv     *csv.Reader
	header  []string
	records []record
	version uint64
}

func (c *csvReader) read() (uint64, []record) {
	for {
		cells, err := c.csv.Read()
		if errors.Is(err, io.EOF) {
			return c.version, c.records
		}
		if err != nil {
			c.addSyntaxFault(err)
			return c.version, c.records
		}
		line, _ := c.csv.FieldPos(0)
		if c.header == nil {
			c.header = c.checkHeader(cells, line)
			continue
		}
		c.readLine(cells, line)
	}
}

// checkHeader reports a header that doesn't begin with csvKindColumn.
func (c *csvReader) checkHeader(cells []string, line int) []string {
	if cells[0] != csvKindColumn {
		c.faults.add(Fault{
			line:   line,
			text:   "the first cell is not \"" + csvKindColumn + "\"",
			remedy: "begin with the header that export writes",
		})
	}
	return cells
}

// readLine converts one line to a record.
func (c *csvReader) readLine(cells []string, line int) {
	kind := strings.TrimSpace(cells[0])
	if kind == versionColumn {
		c.readVersion(cells, line)
		return
	}
	r := record{
		kind: kind,
		line: line,
	}
	for i, content := range cells[1:] {
		content = strings.TrimSpace(content)
		if content == "" {
			continue
		}
		name := ""
		if i+1 < len(c.header) {
			name = c.header[i+1]
		}
		r.cells = append(r.cells, entry{
			name: name,
			line: line,
			value: value{
				form: cell,
				text: content,
			},
		})
	}
	if kind == "" && len(r.cells) == 0 {
		return
	}
	c.records = append(c.records, r)
}

func (c *csvReader) readVersion(cells []string, line int) {
	if len(cells) > 1 {
		version, err := strconv.ParseUint(strings.TrimSpace(cells[1]), 10, 63)
		if err == nil {
			c.version = version
			return
		}
	}
	c.faults.add(Fault{
		line:   line,
		column: versionColumn,
		text:   "not a version",
		remedy: "write a whole number that rises with each edit",
	})
}

func (c *csvReader) addSyntaxFault(err error) {
	line := 0
	var parse *csv.ParseError
	if errors.As(err, &parse) {
		line = parse.Line
	}
	c.faults.add(Fault{
		line:   line,
		text:   err.Error(),
		remedy: "correct the quotes on this line; what follows it was not read",
	})
}
