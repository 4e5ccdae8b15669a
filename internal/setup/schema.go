package setup

import (
	"fmt"
	"reflect"
	"strings"

	"sassafrasring.dev/sassafrasring/internal/vers"
)

// Row describes one key of the settings.
type Row struct {
	Key     string `json:"key"`
	Type    string `json:"type"`
	Unit    string `json:"unit,omitempty"`
	Default string `json:"default,omitempty"`
	Allowed string `json:"allowed,omitempty"`
	Doc     string `json:"doc"`
}

// Schema returns a row per key of a node's settings.
func Schema() []Row {
	return rows("", reflect.TypeOf(Settings{}))
}

// EdgeSchema returns a row per key of an edge node's settings.
func EdgeSchema() []Row {
	return rows("", reflect.TypeOf(Edge{}))
}

func writeRows(b *strings.Builder, list []Row) {
	b.WriteString("| key | type | unit | default | allowed | meaning |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, r := range list {
		fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s | %s |\n", r.Key, r.Type, r.Unit, r.Default, r.Allowed, r.Doc)
	}
}

func rows(prefix string, t reflect.Type) []Row {
	var out []Row
	for i := range t.NumField() {
		f := t.Field(i)
		key := join(prefix, f.Tag.Get("json"))
		ft := f.Type
		kind := ""
		if ft.Kind() == reflect.Slice {
			ft, key, kind = ft.Elem(), key+"[]", "list of "
		}
		if ft.Kind() == reflect.Struct {
			out = append(out, Row{Key: key, Type: kind + "object", Doc: f.Tag.Get("doc"), Allowed: f.Tag.Get("allow")})
			out = append(out, rows(key, ft)...)
			continue
		}
		out = append(out, Row{
			Key: key, Type: kind + strings.TrimPrefix(kindName(ft.Kind()), "a "), Unit: f.Tag.Get("unit"),
			Default: f.Tag.Get("default"), Allowed: f.Tag.Get("allow"), Doc: f.Tag.Get("doc"),
		})
	}
	return out
}

// Markdown returns docs/SETTINGS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Settings\n\nMade by `sassafrasring settings schema -o markdown`; do not edit by hand.\n\n")
	b.WriteString("## Settings of a node (file)\n\nJSON with comments, checked as a whole at start. Unknown keys are errors.\n\n")
	writeRows(&b, Schema())
	b.WriteString("\n## Settings of an edge node (file)\n\nFor `sassafrasring edge`; the same form.\n\n")
	writeRows(&b, EdgeSchema())
	b.WriteString("\n## Configuration of the fleet\n\nChanged by operators with `config set` and `exception add`; in force on every node within seconds.\n\n")
	b.WriteString("| key | unit | default | least | most | exceptions for | meaning |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, s := range vers.Keys {
		var kinds []string
		for _, k := range s.Scopes {
			kinds = append(kinds, string(k))
		}
		fmt.Fprintf(&b, "| `%s` | %s | %d | %d | %d | %s | %s |\n", s.Key, s.Unit, s.Default, s.Min, s.Max, strings.Join(kinds, ", "), s.Doc)
	}
	return b.String()
}
