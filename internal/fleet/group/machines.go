package group

import (
	"fmt"
	"maps"
	"slices"

	"croftlock/internal/fleet/encoding"
)

// maxMachines is how many machines a byte can number.
const maxMachines = 256

// Machines are the state machines of a group, by the number that a command names.
type Machines struct {
	byNumber map[byte]Machine
	numbers  []byte // sorted, so that equal states have equal snapshots
}

// NewMachines makes the set of a voter.
func NewMachines(byNumber map[byte]Machine) Machines {
	return Machines{byNumber: byNumber, numbers: slices.Sorted(maps.Keys(byNumber))}
}

// Get gives a machine; nil: this process does not know it.
func (m Machines) Get(number byte) Machine { return m.byNumber[number] }

// Each calls f with each machine, in the order of their numbers.
func (m Machines) Each(f func(Machine)) {
	for _, number := range m.numbers {
		f(m.byNumber[number])
	}
}

// EncodeSnapshots writes the state of each machine.
func (m Machines) EncodeSnapshots(w *encoding.Writer) {
	w.Uint(uint64(len(m.numbers)))
	for _, number := range m.numbers {
		w.Uint(uint64(number)).Bytes(m.byNumber[number].Snapshot())
	}
}

// RestoreSnapshots reads what EncodeSnapshots wrote, each state of at most maxBytes. A machine that is not known here is skipped. The error is a
// machine's; that of a truncated snapshot is left in r.
func (m Machines) RestoreSnapshots(r *encoding.Reader, maxBytes int) error {
	for n := r.Count(maxMachines); n > 0; n-- {
		number, state := byte(r.Uint()), r.Bytes(maxBytes)
		if r.Err() != nil {
			return nil
		}
		if machine := m.byNumber[number]; machine != nil {
			if err := machine.Restore(state); err != nil {
				return fmt.Errorf("machine %d: %w", number, err)
			}
		}
	}
	return nil
}
