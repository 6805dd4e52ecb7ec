package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to record.txt, with the seconds since its start.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// newRecord creates the file at path.
func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, started: time.Now()}, err
}

// add writes one line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// say writes one line and prints it too.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf("%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}
