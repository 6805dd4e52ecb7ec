package jobs

import (
	"errors"
	"fmt"
	"slices"

	"croftlock/internal/fleet/encoding"
)

const (
	// MaxSuspendedHosts is the maximum number of hosts that may be suspended fleet-wide.
	MaxSuspendedHosts = 256

	maxHostIDBytes = 128
)

var (
	errInvalidCommand  = errors.New("jobs: invalid command on suspended hosts")
	errInvalidHostList = errors.New("jobs: the list of suspended hosts is torn or unsorted")
)

// commandKind is the kind of a command to the owner of SuspendedHosts.
type commandKind uint64

// Command kinds, as sent in queries. The numbers must not change.
const (
	commandResume  commandKind = 0
	commandSuspend commandKind = 1
	commandList    commandKind = 2
)

// hostCommand is an operator's command to the owner of SuspendedHosts.
type hostCommand struct {
	kind commandKind
	host string // empty if and only if kind is commandList
}

func (c hostCommand) encode() []byte {
	var w encoding.Writer
	return w.Uint(uint64(c.kind)).Text(c.host).Data
}

// decodeHostCommand decodes a command. It returns errInvalidCommand if the kind is unknown or the
// host is missing, too long or given with a commandList.
func decodeHostCommand(data []byte) (hostCommand, error) {
	r := encoding.Reader{Data: data}
	c := hostCommand{kind: commandKind(r.Uint()), host: r.Text(maxHostIDBytes)}
	if r.Err() != nil || c.kind > commandList || (c.host == "") != (c.kind == commandList) {
		return hostCommand{}, errInvalidCommand
	}
	return c, nil
}

// SuspendCommand returns the query that suspends a host fleet-wide, or resumes it if suspend is
// false.
func SuspendCommand(suspend bool, host string) []byte {
	kind := commandResume
	if suspend {
		kind = commandSuspend
	}
	return hostCommand{kind, host}.encode()
}

// ListCommand returns the query for the hosts that are suspended fleet-wide.
func ListCommand() []byte { return hostCommand{kind: commandList}.encode() }

// hostList holds the IDs of the suspended hosts, which operators have excluded from new requests,
// sorted.
type hostList []string

// apply returns the list after a command. It reports false, with the list unchanged, if the list
// would exceed MaxSuspendedHosts.
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

// decodeHostList decodes a list. It returns nil for empty data, which is the checkpoint of a job that
// never had an owner, and an error for a list that is malformed or not sorted.
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
