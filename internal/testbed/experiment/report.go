// Package experiment holds experiments: each starts croftlock processes with fakes on loopback, measures, and checks the result against
// bounds. They take from seconds to a few minutes, and are no part of the tests.
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
	Name    string // of the experiment
	Began   time.Time
	Took    time.Duration
	Tables  []Table
	Values  []Value // of the result line
	Bounds  []Bound
	Remarks []string // printed as notes
}

// Table is a table of the report.
type Table struct {
	Title string
	Head  []string
	Rows  [][]string
}

// Value is one value of the result line.
type Value struct{ Key, Text string }

// Bound is a condition that the result must meet.
type Bound struct {
	What     string // the condition
	Kept     bool   `json:"OK"`
	Measured string `json:"Got"` // value, as text
}

// StartTable starts the table with the given title, unless it has been started.
func (r *Report) StartTable(title string, names ...string) {
	for _, t := range r.Tables {
		if t.Title == title {
			return
		}
	}
	r.Tables = append(r.Tables, Table{Title: title, Head: names})
}

// AddRow adds a row to the table with the given title, which StartTable has added.
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

// formatValue is a value in the form of reports.
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

// Check adds a bound, whether it was kept, and the measured value.
func (r *Report) Check(kept bool, what string, measured any) {
	r.Bounds = append(r.Bounds, Bound{what, kept, formatValue(measured)})
}

// OK returns whether there are bounds, and all were kept.
func (r *Report) OK() bool {
	for _, b := range r.Bounds {
		if !b.Kept {
			return false
		}
	}
	return len(r.Bounds) > 0
}

// Print writes the tables, the bounds and the result line.
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
		fmt.Fprintf(w, "%-6s  %s: %s\n", mark, b.What, b.Measured)
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

// Save writes the report into a folder, as JSON.
func (r *Report) Save(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, r.Name+"-"+r.Began.UTC().Format("20060102T150405")+".json"), append(data, '\n'), 0o644)
}
