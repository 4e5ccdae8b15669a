package cmdln

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// printJSON prints v as indented JSON.
func (o *options) printJSON(v any) error {
	e := json.NewEncoder(o.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// table writes rows with aligned columns.
type table struct {
	w *tabwriter.Writer
}

func (o *options) table(headers ...any) *table {
	t := &table{tabwriter.NewWriter(o.out, 0, 4, 2, ' ', 0)}
	t.row(headers...)
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

// show prints v as JSON if -o json is set and calls printText otherwise.
func (o *options) show(v any, printText func() error) error {
	if o.output == "json" {
		return o.printJSON(v)
	}
	return printText()
}
