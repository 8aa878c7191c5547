package mgsettings

import (
	"fmt"
	"reflect"
	"strings"
)

// Reference returns a Markdown table of the keys of a settings struct, with the
// columns key, meaning, unit, default and bounds.
func Reference(settings any) string {
	var b strings.Builder
	b.WriteString("| key | meaning | unit | default | bounds |\n|---|---|---|---|---|\n")
	writeRows(&b, "", reflect.TypeOf(settings))
	return b.String()
}

func writeRows(b *strings.Builder, prefix string, kind reflect.Type) {
	for i := range kind.NumField() {
		field := kind.Field(i)
		name := joinKey(prefix, field.Tag.Get("toml"))
		switch {
		case field.Anonymous:
			writeRows(b, prefix, field.Type)
		case field.Type.Kind() == reflect.Struct:
			fmt.Fprintf(b, "| `[%s]` | %s | | | |\n", name, field.Tag.Get("help"))
			writeRows(b, name, field.Type)
		default:
			fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s |\n", name, field.Tag.Get("help"),
				field.Tag.Get("unit"), defaultText(field), boundsText(field))
		}
	}
}

func defaultText(field reflect.StructField) string {
	if field.Tag.Get("need") != "" {
		return "required"
	}
	return field.Tag.Get("default")
}

func boundsText(field reflect.StructField) string {
	if choice := field.Tag.Get("choice"); choice != "" {
		return strings.ReplaceAll(choice, "|", ", ")
	}
	if field.Tag.Get("max") == "" {
		return ""
	}
	return field.Tag.Get("min") + " to " + field.Tag.Get("max")
}
