package soak

import (
	"fmt"
	"os"
	"strings"
	"time"

	"croftlock/internal/dataplane/netio"
)

// clockEnv gives a process its clockBend, as three durations.
const clockEnv = "CROFTLOCK_SOAK_CLOCK"

// clockOffsets are the offsets that clocks are drawn from.
var clockOffsets = []time.Duration{0, 0, 2 * time.Second, -2 * time.Second, time.Hour, -time.Hour}

// drawClock draws a process's clockBend, as its environment has it.
func (f *Fleet) drawClock() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := clockOffsets[f.clocks.IntN(len(clockOffsets))]
	setAfter := randomSpan(f.clocks, 200, 8000)
	after := clockOffsets[f.clocks.IntN(len(clockOffsets))]
	return fmt.Sprintf("%s=%v %v %v", clockEnv, before, setAfter, after)
}

// clockBend is by how much a process's wall clock is off.
type clockBend struct {
	before   time.Duration // offset until the clock is set
	setAfter time.Duration // from the start until the clock is set
	after    time.Duration // offset from then on
}

// decodeClockBend decodes the value of clockEnv; nil: there is none.
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

// SkewClock sets this process's wall clock off as clockEnv says; without one it does nothing. Call it first in main.
func SkewClock() {
	bend, err := decodeClockBend(os.Getenv(clockEnv))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if bend == nil {
		return
	}
	started := time.Now()
	netio.WallClock = func() time.Time {
		offset := bend.before
		if time.Since(started) > bend.setAfter {
			offset = bend.after
		}
		return time.Now().Add(offset).Round(0)
	}
}
