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
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Report is the outcome of an experiment.
type Report struct {
	Name    string
	Began   time.Time
	Took    time.Duration
	Tables  []Table
	Values  []Value
	Bounds  []Bound
	Remarks []string
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
	What     string
	Kept     bool   `json:"OK"`
	Measured string `json:"Got"`
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

// Check states a bound and whether it was kept.
func (r *Report) Check(ok bool, what string, got any) {
	r.Bounds = append(r.Bounds, Bound{what, ok, text(got)})
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

// samples are figures of the same kind: repeats, or a sample.
type samples []float64

func (s samples) sorted() samples {
	out := slices.Clone(s)
	slices.Sort(out)
	return out
}

// median is the middle one.
func (s samples) median() float64 { return s.quantile(0.5) }

// quantile is the figure that a part q of all does not exceed.
func (s samples) quantile(q float64) float64 {
	if len(s) == 0 {
		return 0
	}
	o := s.sorted()
	return o[min(len(o)-1, int(q*float64(len(o))))]
}

// String gives the median with the least and the most.
func (s samples) String() string {
	if len(s) == 0 {
		return "-"
	}
	o := s.sorted()
	return fmt.Sprintf("%.3g (%.3g to %.3g)", s.median(), o[0], o[len(o)-1])
}

// spread gives the median with the first and last tenth cut off, to so many places.
func (s samples) spread(places int) string {
	return fmt.Sprintf("%.*f (%.*f to %.*f)", places, s.median(), places, s.quantile(0.1), places, s.quantile(0.9))
}
