package settings

import (
	"fmt"
	"sort"
	"strings"
)

const maxFaults = 100 // most faults that are reported for one file

// Fault is one error in a file.
type Fault struct {
	File    string
	Pos     Pos
	Message string // names what was found and what is expected
}

// Error returns the fault as FILE:LINE:COLUMN: MESSAGE.
func (f Fault) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Pos.Line, f.Pos.Col, f.Message)
}

// Faults collects the errors in one file. It is an error whose text has one line per fault.
type Faults struct {
	file    string
	list    []Fault
	omitted int // number of faults added after maxFaults
}

// Add adds a fault at the position at, with a message made of format and args as by fmt.Sprintf. After
// maxFaults faults, further ones are only counted.
func (f *Faults) Add(at Pos, format string, args ...any) {
	if len(f.list) == maxFaults {
		f.omitted++
		return
	}
	f.list = append(f.list, Fault{f.file, at, fmt.Sprintf(format, args...)})
}

// All returns the faults sorted by their place in the file.
func (f *Faults) All() []Fault {
	sort.SliceStable(f.list, func(i, j int) bool {
		a, b := f.list[i].Pos, f.list[j].Pos
		return a.Line < b.Line || a.Line == b.Line && a.Col < b.Col
	})
	return f.list
}

// Err returns the faults as an error, or nil if there are none.
func (f *Faults) Err() error {
	if len(f.list) == 0 {
		return nil
	}
	return f
}

// Error returns one line per fault.
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
