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
	kindHello   = 2 // a process that starts asks what is known of it
	kindWelcome = 3 // the answer to a hello
)

// Errors of Receive.
var (
	ErrHello       = errors.New("consensus: a start of another group, or torn")
	ErrWelcome     = errors.New("consensus: an answer for another start, or torn")
	ErrRaftMessage = errors.New("consensus: a message of another group, or torn")
	ErrMessageKind = errors.New("consensus: a message of no known kind")
)

// MisroutedError is of a raft message that is not from whom it says, or not for this replica.
type MisroutedError struct {
	Sender, Receiver uint64 // as the message says
	Peer             uint32 // who sent it
}

// Error names all three.
func (e *MisroutedError) Error() string {
	return fmt.Sprintf("consensus: a message from %x to %x, sent by %08x", e.Sender, e.Receiver, e.Peer)
}

// hello is what a process that starts says of itself.
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
		return h, ErrHello
	}
	return h, nil
}

// welcome is what another process knows of one that starts.
type welcome struct {
	group     string
	replica   uint64 // of the process that starts, as its hello had it
	hasGroup  bool   // the sender knows a group of which the process was, or is not, a member: it must not bootstrap one
	remembers bool   // the sender has a memory of its own, so what it does not know did not happen
	start     StartRecord
	received  evidence
}

func (m welcome) encode() []byte {
	var w encoding.Writer
	w.Uint(kindWelcome).Text(m.group).Uint(m.replica).Bool(m.hasGroup).Bool(m.remembers)
	w.Uint(m.start.Starts).Uint(m.start.Incarnation)
	w.Uint(m.received.term).Uint(m.received.logTerm).Uint(m.received.logIndex)
	return w.Data
}

func decodeWelcome(r encoding.Reader) (welcome, error) {
	m := welcome{group: r.Text(maxNameBytes), replica: r.Uint(), hasGroup: r.Bool(), remembers: r.Bool()}
	m.start = StartRecord{Starts: r.Uint(), Incarnation: r.Uint()}
	m.received = evidence{term: r.Uint(), logTerm: r.Uint(), logIndex: r.Uint()}
	if r.Err() != nil {
		return m, ErrWelcome
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
		return m, ErrRaftMessage
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
