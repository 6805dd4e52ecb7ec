package soak

import (
	"fmt"
	"os"
	"strings"
	"time"

	"croftlock/internal/dataplane/netio"
)

// clockEnv is the environment variable that contains a process's clockSkew as three durations.
const clockEnv = "CROFTLOCK_SOAK_CLOCK"

// clockOffsets are the possible offsets of a wall clock. Zero occurs twice, so that one random
// offset in three is zero.
var clockOffsets = []time.Duration{0, 0, 2 * time.Second, -2 * time.Second, time.Hour, -time.Hour}

// randomClockSkew returns a random clockSkew in the form of an environment variable.
func (f *Fleet) randomClockSkew() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := clockOffsets[f.clockRNG.IntN(len(clockOffsets))]
	setAfter := randomDuration(f.clockRNG, 200, 8000)
	after := clockOffsets[f.clockRNG.IntN(len(clockOffsets))]
	return fmt.Sprintf("%s=%v %v %v", clockEnv, before, setAfter, after)
}

// clockSkew describes the offset of a process's wall clock from the machine's.
type clockSkew struct {
	before   time.Duration // offset until the clock is set
	setAfter time.Duration // from the start until the clock is set
	after    time.Duration // offset from then on
}

// decodeClockSkew decodes the value of clockEnv. It returns nil if the value does not consist of
// three words.
func decodeClockSkew(value string) (*clockSkew, error) {
	words := strings.Fields(value)
	if len(words) != 3 {
		return nil, nil
	}
	var skew clockSkew
	for i, d := range []*time.Duration{&skew.before, &skew.setAfter, &skew.after} {
		var err error
		if *d, err = time.ParseDuration(words[i]); err != nil {
			return nil, fmt.Errorf("%s: invalid duration %q: %w", clockEnv, words[i], err)
		}
	}
	return &skew, nil
}

// SkewClock changes this process's wall clock by the offsets that clockEnv specifies. It does
// nothing if clockEnv is not set. Call it at the start of main.
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
