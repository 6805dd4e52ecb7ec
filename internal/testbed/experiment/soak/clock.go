package soak

import (
	"fmt"
	"os"
	"strings"
	"time"

	"croftlock/internal/dataplane/netio"
)

// clockEnv gives a process its clockSkew, as three durations.
const clockEnv = "CROFTLOCK_SOAK_CLOCK"

// clockOffsets are the offsets that clocks are drawn from.
var clockOffsets = []time.Duration{0, 0, 2 * time.Second, -2 * time.Second, time.Hour, -time.Hour}

// randomClockSkew draws a process's clockSkew, as its environment has it.
func (f *Fleet) randomClockSkew() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := clockOffsets[f.clockRNG.IntN(len(clockOffsets))]
	setAfter := randomDuration(f.clockRNG, 200, 8000)
	after := clockOffsets[f.clockRNG.IntN(len(clockOffsets))]
	return fmt.Sprintf("%s=%v %v %v", clockEnv, before, setAfter, after)
}

// clockSkew is by how much a process's wall clock is off.
type clockSkew struct {
	before   time.Duration // offset until the clock is set
	setAfter time.Duration // from the start until the clock is set
	after    time.Duration // offset from then on
}

// decodeClockSkew decodes the value of clockEnv; nil: there is none.
func decodeClockSkew(value string) (*clockSkew, error) {
	words := strings.Fields(value)
	if len(words) != 3 {
		return nil, nil
	}
	var skew clockSkew
	for i, d := range []*time.Duration{&skew.before, &skew.setAfter, &skew.after} {
		var err error
		if *d, err = time.ParseDuration(words[i]); err != nil {
			return nil, fmt.Errorf("%s %q %w", clockEnv, words[i], err)
		}
	}
	return &skew, nil
}

// SkewClock sets this process's wall clock off as clockEnv says; without one it does nothing. Call it first in main.
func SkewClock() {
	skew, err := decodeClockSkew(os.Getenv(clockEnv))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if skew == nil {
		return
	}
	started := time.Now()
	netio.WallClock = func() time.Time {
		offset := skew.before
		if time.Since(started) > skew.setAfter {
			offset = skew.after
		}
		return time.Now().Add(offset).Round(0)
	}
}
