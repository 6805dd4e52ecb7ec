package consensus

import (
	"fmt"

	"go.etcd.io/raft/v3/tracker"
)

// progress describes what a leader knows of another replica's log.
type progress = tracker.Progress

// panicLogger is the logger of the raft library. It turns fatal errors into panics, which
// Core.recoverPanic recovers, and discards all else, since this package logs its own events.
type panicLogger struct{}

// Debug discards its arguments.
func (panicLogger) Debug(...any) {}

// Debugf discards its arguments.
func (panicLogger) Debugf(string, ...any) {}

// Info discards its arguments.
func (panicLogger) Info(...any) {}

// Infof discards its arguments.
func (panicLogger) Infof(string, ...any) {}

// Warning discards its arguments.
func (panicLogger) Warning(...any) {}

// Warningf discards its arguments.
func (panicLogger) Warningf(string, ...any) {}

// Error discards its arguments.
func (panicLogger) Error(...any) {}

// Errorf discards its arguments.
func (panicLogger) Errorf(string, ...any) {}

// Fatal panics with its message.
func (panicLogger) Fatal(v ...any) { panic(fmt.Sprint(v...)) }

// Fatalf panics with its message.
func (panicLogger) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }

// Panic panics with its message.
func (panicLogger) Panic(v ...any) { panic(fmt.Sprint(v...)) }

// Panicf panics with its message.
func (panicLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
