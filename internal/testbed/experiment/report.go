// Package experiment holds experiments: each starts real croftlock processes against fakes on loopback, measures, and holds
// the result against stated bounds. They take from seconds to a few minutes, bounded in count and time, and stay out of
// the tests.
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
	Remarks []string // notes for the reader
}

// Table is one table.
type Table struct {
	Title string
	Head  []string
	Rows  [][]string
}

// Value is one figure of the result line.
type Value struct{ Key, Text string }

// Bound is something that must hold.
type Bound struct {
	What     string // what must hold
	Kept     bool   `json:"OK"`
	Measured string `json:"Got"` // as text
}

// Columns begins the table with the given title; a table that has begun keeps its columns.
func (r *Report) Columns(title string, names ...string) {
	for _, t := range r.Tables {
		if t.Title == title {
			return
		}
	}
	r.Tables = append(r.Tables, Table{Title: title, Head: names})
}

// Row adds a row to the table with the given title, which Columns has begun.
func (r *Report) Row(title string, cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = text(c)
	}
	for i := range r.Tables {
		if r.Tables[i].Title == title {
			r.Tables[i].Rows = append(r.Tables[i].Rows, row)
			return
		}
	}
	panic("no table " + title)
}

// text is a figure as reports show it.
func text(x any) string {
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

// Set adds a figure to the result line.
func (r *Report) Set(key string, x any) { r.Values = append(r.Values, Value{key, text(x)}) }

// Check states a bound, whether it was kept, and what was measured.
func (r *Report) Check(kept bool, what string, measured any) {
	r.Bounds = append(r.Bounds, Bound{what, kept, text(measured)})
}

// OK returns whether every bound was kept, and that there were any.
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

// Save keeps the report in a folder, as JSON.
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
