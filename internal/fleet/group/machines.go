package group

import (
	"fmt"
	"maps"
	"slices"

	"croftlock/internal/fleet/encoding"
)

// maxMachines is the number of machines that a one-byte number can distinguish.
const maxMachines = 256

// Machines holds the state machines of a group by the numbers that commands carry.
type Machines struct {
	byNumber map[byte]Machine
	numbers  []byte // sorted, so that equal states are encoded as equal snapshots
}

// NewMachines returns the Machines with the given state machines.
func NewMachines(byNumber map[byte]Machine) Machines {
	return Machines{byNumber: byNumber, numbers: slices.Sorted(maps.Keys(byNumber))}
}

// Get returns the machine with a number, or nil if this process does not have it.
func (m Machines) Get(number byte) Machine { return m.byNumber[number] }

// Each calls f with each machine, in the order of the numbers.
func (m Machines) Each(f func(Machine)) {
	for _, number := range m.numbers {
		f(m.byNumber[number])
	}
}

// EncodeSnapshots writes the number and the snapshot of each machine.
func (m Machines) EncodeSnapshots(w *encoding.Writer) {
	w.Uint(uint64(len(m.numbers)))
	for _, number := range m.numbers {
		w.Uint(uint64(number)).Bytes(m.byNumber[number].Snapshot())
	}
}

// RestoreSnapshots restores the machines from what EncodeSnapshots wrote. Each snapshot may have at
// most maxBytes. It skips the snapshots of machines that this process does not have. It returns the
// error of a machine's Restore; an error of a truncated encoding is left in r.
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
