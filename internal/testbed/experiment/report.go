// Package experiment contains experiments. Each starts croftlock processes and fakes on loopback,
// takes measurements and checks them against bounds. An experiment takes from seconds to a few
// minutes and is not part of the tests.
package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"
)

// Report is the outcome of an experiment.
type Report struct {
	Name      string        // name of the experiment
	StartedAt time.Time     `json:"Began"`
	Took      time.Duration // duration of the experiment
	Tables    []Table
	Values    []Value // values of the result line
	Bounds    []Bound
	Remarks   []string // printed as notes after the bounds
}

// Table is one table of the report; Head holds the names of its columns.
type Table struct {
	Title string
	Head  []string
	Rows  [][]string
}

// Value is one key=value pair of the result line.
type Value struct{ Key, Text string }

// Bound is a condition on a measured value, and whether it was kept.
type Bound struct {
	Condition string `json:"What"` // text of the condition
	Kept      bool   `json:"OK"`
	Measured  string `json:"Got"` // the measured value, formatted
}

// StartTable adds an empty table with the given title and columns, unless one with this title
// exists.
func (r *Report) StartTable(title string, names ...string) {
	for _, t := range r.Tables {
		if t.Title == title {
			return
		}
	}
	r.Tables = append(r.Tables, Table{Title: title, Head: names})
}

// AddRow adds a row to the table with the given title. It panics if StartTable has not been called
// with this title.
func (r *Report) AddRow(title string, cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = formatValue(c)
	}
	for i := range r.Tables {
		if r.Tables[i].Title == title {
			r.Tables[i].Rows = append(r.Tables[i].Rows, row)
			return
		}
	}
	panic("no table " + title)
}

// formatValue formats a value for tables, bounds and the result line.
func formatValue(x any) string {
	switch v := x.(type) {
	case float64:
		return fmt.Sprintf("%.3g", v)
	case time.Duration:
		return v.Round(10 * time.Microsecond).String()
	case samples:
		return v.String()
	}
	return strings.ReplaceAll(fmt.Sprint(x), "\t", " ")
}

// AddValue adds a value to the result line.
func (r *Report) AddValue(key string, x any) { r.Values = append(r.Values, Value{key, formatValue(x)}) }

// Check adds a bound with its condition, whether it was kept, and the measured value.
func (r *Report) Check(kept bool, condition string, measured any) {
	r.Bounds = append(r.Bounds, Bound{condition, kept, formatValue(measured)})
}

// OK reports whether the report has bounds and all of them were kept.
func (r *Report) OK() bool {
	for _, b := range r.Bounds {
		if !b.Kept {
			return false
		}
	}
	return len(r.Bounds) > 0
}

// Print writes the tables, the bounds, the remarks and the result line.
func (r *Report) Print(w io.Writer) {
	for _, t := range r.Tables {
		fmt.Fprintf(w, "\n%s\n", t.Title)
		tw := tabwriter.NewWriter(w, 2, 0, 2, ' ', 0)
		for _, row := range append([][]string{t.Head}, t.Rows...) {
			fmt.Fprintln(tw, "  "+strings.Join(row, "\t"))
		}
		tw.Flush()
	}
	fmt.Fprintln(w)
	for _, b := range r.Bounds {
		mark := "kept"
		if !b.Kept {
			mark = "MISSED"
		}
		fmt.Fprintf(w, "%-6s  %s: %s\n", mark, b.Condition, b.Measured)
	}
	for _, m := range r.Remarks {
		fmt.Fprintln(w, "note   ", m)
	}
	line := fmt.Sprintf("result name=%s ok=%t seconds=%.0f", r.Name, r.OK(), r.Took.Seconds())
	for _, v := range r.Values {
		line += fmt.Sprintf(" %s=%s", v.Key, strings.ReplaceAll(v.Text, " ", ""))
	}
	fmt.Fprintln(w, line)
}

// Save writes the report as a JSON file into dir, which it creates if necessary. The file name
// consists of the experiment's name and start time.
func (r *Report) Save(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, r.Name+"-"+r.StartedAt.UTC().Format("20060102T150405")+".json"), append(data, '\n'), 0o644)
}
