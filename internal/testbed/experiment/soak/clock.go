package soak

import (
	"fmt"
	"os"
	"strings"
	"time"

	"croftlock/internal/dataplane/netio"
)

// clockEnv says to a process how its clock is off: at its start, when it is set, and by how much it is off from then on, as durations.
const clockEnv = "CROFTLOCK_SOAK_CLOCK"

// clockOffsets are what the system's clock may be set by.
var clockOffsets = []time.Duration{0, 0, 2 * time.Second, -2 * time.Second, time.Hour, -time.Hour}

// drawClock draws how a process's clock goes.
func (f *Fleet) drawClock() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := clockOffsets[f.clocks.IntN(len(clockOffsets))]
	setAfter := randomSpan(f.clocks, 200, 8000)
	after := clockOffsets[f.clocks.IntN(len(clockOffsets))]
	return fmt.Sprintf("%s=%v %v %v", clockEnv, before, setAfter, after)
}

// clockBend is how a process's idea of the system's clock is off.
type clockBend struct {
	before   time.Duration // from the start on
	setAfter time.Duration // since the start, when the clock is set
	after    time.Duration // from then on
}

// decodeClockBend reads the value of clockEnv; nil: there is none.
func decodeClockBend(value string) (*clockBend, error) {
	words := strings.Fields(value)
	if len(words) != 3 {
		return nil, nil
	}
	var bend clockBend
	for i, d := range []*time.Duration{&bend.before, &bend.setAfter, &bend.after} {
		var err error
		if *d, err = time.ParseDuration(words[i]); err != nil {
			return nil, fmt.Errorf("%s %q %w", clockEnv, words[i], err)
		}
	}
	return &bend, nil
}

// BendClock has this process's idea of the system's clock go as the soak that started it says; else it does nothing. It is to be called first.
func BendClock() {
	bend, err := decodeClockBend(os.Getenv(clockEnv))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if bend == nil {
		return
	}
	began := time.Now()
	netio.Wall = func() time.Time {
		offset := bend.before
		if time.Since(began) > bend.setAfter {
			offset = bend.after
		}
		return time.Now().Add(offset).Round(0)
	}
}
