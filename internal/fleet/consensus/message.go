package consensus

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3/raftpb"

	"croftlock/internal/fleet/encoding"
)

// The kinds of message, as their first number.
const (
	kindRaft    = 1 // a message of the raft library
	kindHello   = 2 // a starting process queries what is known of it
	kindWelcome = 3 // the answer to a hello
)

// Errors of Receive.
var (
	ErrInvalidHello       = errors.New("consensus: hello of another group or malformed")
	ErrInvalidWelcome     = errors.New("consensus: welcome for another start or malformed")
	ErrInvalidRaftMessage = errors.New("consensus: raft message of another group or malformed")
	ErrUnknownMessageKind = errors.New("consensus: unknown message kind")
)

// MisroutedError is the error of a raft message that names another sender than it came from, or another receiver than this replica.
type MisroutedError struct {
	Sender, Receiver uint64 // as the message says
	Peer             uint32 // it came from
}

// Error names all three.
func (e *MisroutedError) Error() string {
	return fmt.Sprintf("consensus: raft message from %x to %x came from peer %08x", e.Sender, e.Receiver, e.Peer)
}

// hello is what a starting process sends of itself.
type hello struct {
	group, name string
	replica     uint64 // its identity; 0: it has no identity yet
	starts      uint64
	incarnation uint64
}

func (h hello) encode() []byte {
	var w encoding.Writer
	w.Uint(kindHello).Text(h.group).Text(h.name).Uint(h.replica).Uint(h.starts).Uint(h.incarnation)
	return w.Data
}

func decodeHello(r encoding.Reader) (hello, error) {
	h := hello{group: r.Text(maxNameBytes), name: r.Text(maxNameBytes), replica: r.Uint(), starts: r.Uint(), incarnation: r.Uint()}
	if r.Err() != nil {
		return h, ErrInvalidHello
	}
	return h, nil
}

// welcome is what another process knows of a starting one.
type welcome struct {
	group      string
	replica    uint64 // of the process that starts, as its hello had it
	hasGroup   bool   // the sender knows a group that the process must not bootstrap again
	hasRecords bool   // the sender has a store of its own: what it does not know has not happened
	start      StartRecord
	received   provenState
}

func (m welcome) encode() []byte {
	var w encoding.Writer
	w.Uint(kindWelcome).Text(m.group).Uint(m.replica).Bool(m.hasGroup).Bool(m.hasRecords)
	w.Uint(m.start.Starts).Uint(m.start.Incarnation)
	w.Uint(m.received.term).Uint(m.received.logTerm).Uint(m.received.logIndex)
	return w.Data
}

func decodeWelcome(r encoding.Reader) (welcome, error) {
	m := welcome{group: r.Text(maxNameBytes), replica: r.Uint(), hasGroup: r.Bool(), hasRecords: r.Bool()}
	m.start = StartRecord{Starts: r.Uint(), Incarnation: r.Uint()}
	m.received = provenState{term: r.Uint(), logTerm: r.Uint(), logIndex: r.Uint()}
	if r.Err() != nil {
		return m, ErrInvalidWelcome
	}
	return m, nil
}

// encodeRaft writes a message of the raft library, behind the group's name.
func encodeRaft(group string, m *raftpb.Message) ([]byte, error) {
	data, err := m.Marshal()
	if err != nil {
		return nil, err
	}
	var w encoding.Writer
	w.Uint(kindRaft).Text(group)
	return append(w.Data, data...), nil
}

func decodeRaft(r encoding.Reader, group string) (m raftpb.Message, err error) {
	if r.Text(maxNameBytes) != group || r.Err() != nil {
		return m, ErrInvalidRaftMessage
	}
	if err := m.Unmarshal(r.Data); err != nil {
		return m, fmt.Errorf("consensus: %w", err)
	}
	return m, nil
}

// proposal is a command as the log holds it.
type proposal struct {
	tag     uint64
	machine byte
	command []byte
}

func (p proposal) encode() []byte {
	var w encoding.Writer
	w.Uint(p.tag).Uint(uint64(p.machine))
	return append(w.Data, p.command...)
}

func decodeProposal(data []byte) (proposal, error) {
	r := encoding.Reader{Data: data}
	p := proposal{tag: r.Uint(), machine: byte(r.Uint())}
	p.command = r.Data
	return p, r.Err()
}

// changeContext is what the log holds with a change of the configuration.
type changeContext struct {
	tag  uint64
	name string // of the process that the change is about
}

func (x changeContext) encode() []byte {
	var w encoding.Writer
	return w.Uint(x.tag).Text(x.name).Data
}

func decodeChangeContext(data []byte) changeContext {
	r := encoding.Reader{Data: data}
	return changeContext{tag: r.Uint(), name: r.Text(maxNameBytes)}
}
