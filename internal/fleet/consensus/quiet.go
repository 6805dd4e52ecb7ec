package consensus

import (
	"fmt"

	raftlog "go.etcd.io/raft/v3/tracker"
)

type tracker = raftlog.Progress

// quiet is the library's log: what it finds impossible becomes a panic, which guard takes, and the rest is told by this package in its
// own words.
type quiet struct{}

func (quiet) Debug(...any)            {}
func (quiet) Debugf(string, ...any)   {}
func (quiet) Info(...any)             {}
func (quiet) Infof(string, ...any)    {}
func (quiet) Warning(...any)          {}
func (quiet) Warningf(string, ...any) {}
func (quiet) Error(...any)            {}
func (quiet) Errorf(string, ...any)   {}

func (quiet) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (quiet) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (quiet) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (quiet) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
