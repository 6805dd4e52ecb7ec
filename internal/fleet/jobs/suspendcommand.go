package jobs

import (
	"errors"
	"fmt"
	"slices"

	"croftlock/internal/fleet/encoding"
)

const (
	// MaxSuspendedHosts bounds how many hosts may be suspended fleet-wide.
	MaxSuspendedHosts = 256

	maxHostIDBytes = 128
)

var (
	errInvalidCommand  = errors.New("jobs: invalid command on suspended hosts")
	errInvalidHostList = errors.New("jobs: the list of suspended hosts is torn or unsorted")
)

// commandKind is a kind of command to SuspendedHosts.
type commandKind uint64

// The kinds, as sent.
const (
	commandResume  commandKind = 0
	commandSuspend commandKind = 1
	commandList    commandKind = 2
)

// hostCommand is an operator's command.
type hostCommand struct {
	kind commandKind
	host string // "" for a list
}

func (c hostCommand) encode() []byte {
	var w encoding.Writer
	return w.Uint(uint64(c.kind)).Text(c.host).Data
}

func decodeHostCommand(data []byte) (hostCommand, error) {
	r := encoding.Reader{Data: data}
	c := hostCommand{kind: commandKind(r.Uint()), host: r.Text(maxHostIDBytes)}
	if r.Err() != nil || c.kind > commandList || (c.host == "") != (c.kind == commandList) {
		return hostCommand{}, errInvalidCommand
	}
	return c, nil
}

// SuspendCommand suspends or resumes a host fleet-wide.
func SuspendCommand(suspend bool, host string) []byte {
	kind := commandResume
	if suspend {
		kind = commandSuspend
	}
	return hostCommand{kind, host}.encode()
}

// ListCommand queries which hosts are suspended fleet-wide.
func ListCommand() []byte { return hostCommand{kind: commandList}.encode() }

// hostList is the suspended hosts, sorted.
type hostList []string

// apply gives the list after a command; false: the command would exceed MaxHosts.
func (l hostList) apply(c hostCommand) (hostList, bool) {
	at, listed := slices.BinarySearch(l, c.host)
	switch {
	case c.kind == commandSuspend && !listed:
		if len(l) >= MaxSuspendedHosts {
			return l, false
		}
		return slices.Insert(l, at, c.host), true
	case c.kind == commandResume && listed:
		return slices.Delete(l, at, at+1), true
	}
	return l, true
}

func (l hostList) encode() []byte {
	var w encoding.Writer
	w.Uint(uint64(len(l)))
	for _, host := range l {
		w.Text(host)
	}
	return w.Data
}

// decodeHostList decodes a list; no data is an empty one.
func decodeHostList(data []byte) (hostList, error) {
	if len(data) == 0 {
		return nil, nil
	}
	r := encoding.Reader{Data: data}
	var l hostList
	for n := r.Count(MaxSuspendedHosts); n > 0; n-- {
		l = append(l, r.Text(maxHostIDBytes))
	}
	if r.Err() != nil || !slices.IsSorted(l) {
		return nil, fmt.Errorf("%w: %d bytes", errInvalidHostList, len(data))
	}
	return l, nil
}
