package soak

import (
	"time"

	"croftlock/internal/lab"
)

// Shim stands between a process and the kernel.
type Shim struct{}

// NewShim makes one.
func NewShim(seed uint64) (*Shim, error) { return &Shim{}, nil }

func (s *Shim) Launch(e *lab.Env, p lab.Setup) (*lab.Process, error) { return e.Proxy(p) }
func (s *Shim) Trouble(until time.Time)                              {}
func (s *Shim) Failed() int                                          { return 0 }
func (s *Shim) Close()                                               {}
