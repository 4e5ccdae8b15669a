package cmdln

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// json prints v for scripts.
func (o *options) json(v any) error {
	e := json.NewEncoder(o.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// table prints aligned columns.
type table struct {
	w *tabwriter.Writer
}

func (o *options) table(head ...any) *table {
	t := &table{tabwriter.NewWriter(o.out, 0, 4, 2, ' ', 0)}
	t.row(head...)
	return t
}

func (t *table) row(cells ...any) {
	parts := make([]string, len(cells))
	for i, c := range cells {
		parts[i] = fmt.Sprint(c)
	}
	_, _ = fmt.Fprintln(t.w, strings.Join(parts, "\t"))
}

func (t *table) flush() error { return t.w.Flush() }

// show prints v as JSON with -o json, else calls human.
func (o *options) show(v any, human func() error) error {
	if o.output == "json" {
		return o.json(v)
	}
	return human()
}
