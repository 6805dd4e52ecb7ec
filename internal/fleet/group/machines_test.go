package group

import (
	"errors"
	"strings"
	"testing"

	"croftlock/internal/fleet/encoding"
)

var errInvalidState = errors.New("invalid state")

// textMachine is a Machine whose state is a text. Restore rejects the state "invalid".
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

// encodeStates encodes the snapshots of machines with these states, which are numbered from 1.
func encodeStates(states ...string) []byte {
	machines := map[byte]Machine{}
	for i, state := range states {
		machines[byte(i+1)] = &textMachine{state: state}
	}
	var w encoding.Writer
	NewMachines(machines).EncodeSnapshots(&w)
	return w.Data
}

// TestRestoreSnapshots checks that RestoreSnapshots restores the machines that the process has,
// skips the others, and reports invalid, truncated and too long states.
func TestRestoreSnapshots(t *testing.T) {
	complete := encodeStates("one", "two")
	for _, c := range []struct {
		name      string
		data      []byte
		want      string // state of machine 1 afterwards
		wantError string // error of RestoreSnapshots; empty if none is expected
		truncated bool   // whether the reader must report an error
	}{
		{name: "one machine", data: encodeStates("one"), want: "one"},
		{name: "a machine that is not known here", data: complete, want: "one"},
		{name: "an invalid state", data: encodeStates("invalid"), want: "before", wantError: "machine 1: invalid state"},
		{name: "truncated", data: complete[:len(complete)-1], want: "one", truncated: true},
		{name: "a state beyond the bound", data: encodeStates(strings.Repeat("x", 101)), want: "before", truncated: true},
		{name: "empty", want: "before", truncated: true},
	} {
		machine := &textMachine{state: "before"}
		machines := NewMachines(map[byte]Machine{1: machine})
		r := encoding.Reader{Data: c.data}
		err := machines.RestoreSnapshots(&r, 100)
		if machine.state != c.want || (r.Err() != nil) != c.truncated {
			t.Errorf("%s: state %q, reader error %v; want state %q, reader error: %t", c.name, machine.state, r.Err(), c.want, c.truncated)
		}
		if (err != nil) != (c.wantError != "") || err != nil && err.Error() != c.wantError {
			t.Errorf("%s: RestoreSnapshots returned %v, want the error %q, none if that is empty", c.name, err, c.wantError)
		}
	}
}

// TestMachinesAreOrdered checks that Each visits the machines in the order of their numbers, so
// that equal states are encoded as equal snapshots.
func TestMachinesAreOrdered(t *testing.T) {
	var order []string
	NewMachines(map[byte]Machine{9: &textMachine{"c"}, 2: &textMachine{"b"}, 1: &textMachine{"a"}}).Each(func(m Machine) {
		order = append(order, string(m.Snapshot()))
	})
	if got := strings.Join(order, ""); got != "abc" {
		t.Errorf("Each visited the machines in the order %q, want \"abc\"", got)
	}
}
