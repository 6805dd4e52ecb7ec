package settings

import (
	"fmt"
	"sort"
	"strings"
)

const maxFaults = 100 // reported of one file

// Fault is one thing wrong with a file.
type Fault struct {
	File    string
	Pos     Pos
	Message string // what was found, what is expected
}

// Error is FILE:LINE:COLUMN: and what is wrong.
func (f Fault) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Pos.Line, f.Pos.Col, f.Message)
}

// Faults are all things wrong with a file, in its order.
type Faults struct {
	file    string
	list    []Fault
	omitted int
}

// Add adds a fault; those past a bound are counted alone.
func (f *Faults) Add(at Pos, format string, args ...any) {
	if len(f.list) == maxFaults {
		f.omitted++
		return
	}
	f.list = append(f.list, Fault{f.file, at, fmt.Sprintf(format, args...)})
}

// All gives the faults in the order of the file.
func (f *Faults) All() []Fault {
	sort.SliceStable(f.list, func(i, j int) bool {
		a, b := f.list[i].Pos, f.list[j].Pos
		return a.Line < b.Line || a.Line == b.Line && a.Col < b.Col
	})
	return f.list
}

// Err is the faults as an error, nil without any.
func (f *Faults) Err() error {
	if len(f.list) == 0 {
		return nil
	}
	return f
}

// Error is a line a fault.
func (f *Faults) Error() string {
	var lines []string
	for _, x := range f.All() {
		lines = append(lines, x.Error())
	}
	if f.omitted > 0 {
		lines = append(lines, fmt.Sprintf("%s: and %d more", f.file, f.omitted))
	}
	return strings.Join(lines, "\n")
}
