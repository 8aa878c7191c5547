package mgsettings

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"os"
	"reflect"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgbody"
)

// maxFileSize is in bytes; the longest sample has under 2 kB.
const maxFileSize = 1 << 20

// Load reads the settings file at path into target, a pointer to a struct. The
// error is a *Faults if the content is invalid.
func Load(path string, target any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("settings: can't read the file: name a file that exists with --settings: %w", err)
	}
	return Parse(path, data, target)
}

// Parse reads data into target, a pointer to a struct. Each fault is prefixed
// with name. Keys that data lacks get their defaults.
func Parse(name string, data []byte, target any) error {
	faults := &Faults{name: name}
	if len(data) > maxFileSize {
		faults.add(0, "(file)", "larger than 1 MiB", "give a settings file")
		return faults
	}
	tree := map[string]any{}
	if err := toml.Unmarshal(data, &tree); err != nil {
		return syntaxFault(faults, err)
	}
	reader := reader{
		faults: faults,
		lines:  keyLines(data),
	}
	reader.fillStruct("", tree, reflect.ValueOf(target).Elem())
	if entry, ok := target.(*Entry); ok && len(faults.list) == 0 {
		reader.checkBody(entry)
	}
	return faults.orNil()
}

// checkBody reports an entry whose memory can't hold the largest body that it takes.
func (r *reader) checkBody(entry *Entry) {
	if largest := mgbody.Largest(entry.MemoryBytes()); entry.MaxBody > largest {
		r.faults.add(r.lines["body"], "body", fmt.Sprintf("is %d, and with %d MB of memory an entry can hold %d bytes", entry.MaxBody, entry.Memory, largest),
			"give a smaller body or more memory")
	}
}

// syntaxFault reports a file that isn't valid TOML. Nothing after the position
// can be trusted, so it is the only fault.
func syntaxFault(faults *Faults, err error) error {
	line := 0
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ = decode.Position()
	}
	faults.add(line, "(syntax)", err.Error(), "write TOML: name = value")
	return faults.orNil()
}

// keyLines maps each dotted key of the file to its line.
func keyLines(data []byte) map[string]int {
	lineOf := map[string]int{}
	table := ""
	parser := unstable.Parser{}
	parser.Reset(data)
	for parser.NextExpression() {
		node := parser.Expression()
		key, offset := dottedKey(node)
		line := 1 + bytes.Count(data[:offset], []byte("\n"))
		switch node.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = key
			lineOf[table] = line
		case unstable.KeyValue:
			lineOf[joinKey(table, key)] = line
		}
	}
	return lineOf
}

func dottedKey(node *unstable.Node) (string, int) {
	parts := []string{}
	offset := 0
	for it := node.Key(); it.Next(); {
		if len(parts) == 0 {
			offset = int(it.Node().Raw.Offset)
		}
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, "."), offset
}

func joinKey(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}

// reader fills a struct from the parsed TOML and collects the faults.
type reader struct {
	faults *Faults
	lines  map[string]int
}

func (r *reader) fillStruct(prefix string, tree map[string]any, into reflect.Value) {
	known := map[string]bool{}
	for i := range into.NumField() {
		field := into.Type().Field(i)
		if field.Anonymous {
			r.fillEmbedded(prefix, tree, into.Field(i), known)
			continue
		}
		r.fillField(prefix, tree, field, into.Field(i), known)
	}
	if into.Type().Name() != "" || prefix == "" {
		r.reportUnknown(prefix, tree, known, into.Type())
	}
}

func (r *reader) fillEmbedded(prefix string, tree map[string]any, into reflect.Value, known map[string]bool) {
	for i := range into.NumField() {
		r.fillField(prefix, tree, into.Type().Field(i), into.Field(i), known)
	}
}

func (r *reader) fillField(prefix string, tree map[string]any, field reflect.StructField, into reflect.Value, known map[string]bool) {
	name := field.Tag.Get("toml")
	if name == "" {
		return
	}
	known[name] = true
	key := joinKey(prefix, name)
	value, present := tree[name]
	if into.Kind() == reflect.Struct {
		sub, ok := value.(map[string]any)
		if present && !ok {
			r.faults.add(r.lines[key], key, "is not a table", "write ["+key+"] and the keys below it")
			return
		}
		r.fillStruct(key, sub, into)
		return
	}
	if !present {
		r.setMissing(key, field, into)
		return
	}
	r.setValue(key, field, value, into)
}

func (r *reader) setMissing(key string, field reflect.StructField, into reflect.Value) {
	if text, ok := field.Tag.Lookup("default"); ok {
		setDefault(text, into)
		return
	}
	if field.Tag.Get("need") != "" {
		r.faults.add(0, key, "is missing", "add it: "+field.Tag.Get("help"))
	}
}

// setDefault sets a field to the default in its tag. A default that doesn't
// parse is a bug, which the test of each settings type finds.
func setDefault(text string, into reflect.Value) {
	switch into.Kind() {
	case reflect.String:
		into.SetString(text)
	case reflect.Bool:
		into.SetBool(text == "true")
	case reflect.Int, reflect.Int64:
		number, _ := strconv.ParseInt(text, 10, 64)
		into.SetInt(number)
	case reflect.Float64:
		number, _ := strconv.ParseFloat(text, 64)
		into.SetFloat(number)
	}
}

func (r *reader) setValue(key string, field reflect.StructField, value any, into reflect.Value) {
	line := r.lines[key]
	switch into.Kind() {
	case reflect.String:
		text, ok := value.(string)
		if !ok {
			r.faults.add(line, key, "is not a text", `write it in quotes: "…"`)
			return
		}
		if field.Tag.Get("need") != "" && text == "" {
			r.faults.add(line, key, "is empty", "give "+field.Tag.Get("help"))
		}
		r.checkChoice(line, key, field, text)
		into.SetString(text)
	case reflect.Bool:
		truth, ok := value.(bool)
		if !ok {
			r.faults.add(line, key, "is not true or false", "write true or false without quotes")
			return
		}
		into.SetBool(truth)
	case reflect.Int, reflect.Int64:
		number, ok := value.(int64)
		if !ok {
			r.faults.add(line, key, "is not a whole number", "write digits without quotes")
			return
		}
		if r.checkBounds(line, key, field, float64(number)) {
			into.SetInt(number)
		}
	case reflect.Float64:
		number, ok := asFloat(value)
		if !ok || math.IsNaN(number) {
			r.faults.add(line, key, "is not a number", "write digits without quotes")
			return
		}
		if r.checkBounds(line, key, field, number) {
			into.SetFloat(number)
		}
	case reflect.Slice:
		r.setList(line, key, value, into)
	}
}

func (r *reader) setList(line int, key string, value any, into reflect.Value) {
	items, ok := value.([]any)
	if !ok {
		r.faults.add(line, key, "is not a list", `write ["…", "…"]`)
		return
	}
	list := make([]string, 0, len(items))
	for _, item := range items {
		text, ok := item.(string)
		if !ok {
			r.faults.add(line, key, "holds something that is not a text", `write ["…", "…"]`)
			return
		}
		list = append(list, text)
	}
	into.Set(reflect.ValueOf(list))
}

func asFloat(value any) (float64, bool) {
	switch number := value.(type) {
	case float64:
		return number, true
	case int64:
		return float64(number), true
	default:
		return 0, false
	}
}

func (r *reader) checkChoice(line int, key string, field reflect.StructField, text string) {
	allowed := field.Tag.Get("choice")
	if allowed == "" {
		return
	}
	for _, option := range strings.Split(allowed, "|") {
		if option == text {
			return
		}
	}
	r.faults.add(line, key, fmt.Sprintf("is %q", text), "write one of "+strings.ReplaceAll(allowed, "|", ", "))
}

func (r *reader) checkBounds(line int, key string, field reflect.StructField, number float64) bool {
	low, high := bounds(field)
	if number >= low && number <= high {
		return true
	}
	r.faults.add(line, key, fmt.Sprintf("is %v", number), fmt.Sprintf("give %v to %v %s", low, high, field.Tag.Get("unit")))
	return false
}

func bounds(field reflect.StructField) (low, high float64) {
	low, high = 0, math.MaxInt64
	if text := field.Tag.Get("min"); text != "" {
		low, _ = strconv.ParseFloat(text, 64)
	}
	if text := field.Tag.Get("max"); text != "" {
		high, _ = strconv.ParseFloat(text, 64)
	}
	return low, high
}

func (r *reader) reportUnknown(prefix string, tree map[string]any, known map[string]bool, kind reflect.Type) {
	for name := range tree {
		if known[name] {
			continue
		}
		key := joinKey(prefix, name)
		r.faults.add(r.lines[key], key, "is not a key", "remove it, or write one of "+strings.Join(keyNames(kind), ", "))
	}
}

// keyNames returns the keys of a settings type in their order.
func keyNames(kind reflect.Type) []string {
	list := []string{}
	for i := range kind.NumField() {
		field := kind.Field(i)
		if field.Anonymous {
			list = append(list, keyNames(field.Type)...)
			continue
		}
		if name := field.Tag.Get("toml"); name != "" {
			list = append(list, name)
		}
	}
	return list
}
