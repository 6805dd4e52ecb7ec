package soak

import (
	"fmt"
	"os"
	"strconv"
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
	return fmt.Sprintf("%s=%v %v %v", clockEnv, clockOffsets[f.clocks.IntN(len(clockOffsets))], randomSpan(f.clocks, 200, 8000), clockOffsets[f.clocks.IntN(len(clockOffsets))])
}

// BendClock has this process's idea of the system's clock go as the soak that started it says; else it does nothing. It is to be called first.
func BendClock() {
	words := strings.Fields(os.Getenv(clockEnv))
	if len(words) != 3 {
		return
	}
	var d [3]time.Duration
	for i, w := range words {
		var err error
		if d[i], err = time.ParseDuration(w); err != nil {
			fmt.Fprintln(os.Stderr, clockEnv, strconv.Quote(w), err)
			os.Exit(1)
		}
	}
	began := time.Now()
	netio.Wall = func() time.Time {
		off := d[0]
		if time.Since(began) > d[1] {
			off = d[2]
		}
		return time.Now().Add(off).Round(0)
	}
}
