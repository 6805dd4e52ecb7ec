package group

import (
	"errors"
	"strings"
	"testing"

	"croftlock/internal/fleet/encoding"
)

var errInvalidState = errors.New("invalid state")

// textMachine is a machine whose state is a text; one that is "invalid" can't be restored.
type textMachine struct{ state string }

func (m *textMachine) Apply(cmd []byte) []byte { m.state += string(cmd); return nil }
func (m *textMachine) Snapshot() []byte        { return []byte(m.state) }

func (m *textMachine) Restore(state []byte) error {
	if string(state) == "invalid" {
		return errInvalidState
	}
	m.state = string(state)
	return nil
}

func encodeStates(states ...string) []byte {
	machines := map[byte]Machine{}
	for i, state := range states {
		machines[byte(i+1)] = &textMachine{state: state}
	}
	var w encoding.Writer
	NewMachines(machines).EncodeSnapshots(&w)
	return w.Data
}

func TestRestoreSnapshots(t *testing.T) {
	complete := encodeStates("one", "two")
	for _, c := range []struct {
		name      string
		data      []byte
		want      string // state of machine 1
		machine   string // part of the machine's error; "": none
		truncated bool
	}{
		{name: "one machine", data: encodeStates("one"), want: "one"},
		{name: "a machine that is not known here", data: complete, want: "one"},
		{name: "an invalid state", data: encodeStates("invalid"), want: "before", machine: "machine 1: invalid state"},
		{name: "truncated", data: complete[:len(complete)-1], want: "one", truncated: true},
		{name: "a state beyond the bound", data: encodeStates(strings.Repeat("x", 101)), want: "before", truncated: true},
		{name: "empty", want: "before", truncated: true},
	} {
		machine := &textMachine{state: "before"}
		machines := NewMachines(map[byte]Machine{1: machine})
		r := encoding.Reader{Data: c.data}
		err := machines.RestoreSnapshots(&r, 100)
		if machine.state != c.want || (r.Err() != nil) != c.truncated {
			t.Errorf("%s: state %q, %v; want %q, truncated %t", c.name, machine.state, r.Err(), c.want, c.truncated)
		}
		if (err != nil) != (c.machine != "") || err != nil && err.Error() != c.machine {
			t.Errorf("%s: got %v, want %q", c.name, err, c.machine)
		}
	}
}

// TestMachinesAreOrdered: the order in which machines are given makes no difference to snapshots.
func TestMachinesAreOrdered(t *testing.T) {
	var order []string
	NewMachines(map[byte]Machine{9: &textMachine{"c"}, 2: &textMachine{"b"}, 1: &textMachine{"a"}}).Each(func(m Machine) {
		order = append(order, string(m.Snapshot()))
	})
	if got := strings.Join(order, ""); got != "abc" {
		t.Errorf("order %q, want abc", got)
	}
}
