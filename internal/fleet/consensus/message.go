package consensus

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3/raftpb"

	"croftlock/internal/fleet/encoding"
)

// Kinds of message. Each message begins with its kind.
const (
	kindRaft    = 1 // a message of the raft library
	kindHello   = 2 // a starting process asks what the receiver knows of it
	kindWelcome = 3 // the answer to a hello
)

// Errors that Receive returns.
var (
	ErrInvalidHello       = errors.New("consensus: hello of another group or malformed")
	ErrInvalidWelcome     = errors.New("consensus: welcome for another start or malformed")
	ErrInvalidRaftMessage = errors.New("consensus: raft message of another group or malformed")
	ErrUnknownMessageKind = errors.New("consensus: unknown message kind")
)

// MisroutedError reports a raft message that names a sender other than the peer that it came from,
// or a receiver other than this replica.
type MisroutedError struct {
	Sender, Receiver uint64 // identities that the message names
	Peer             uint32 // peer that it came from
}

// Error returns a text with the sender, the receiver and the peer.
func (e *MisroutedError) Error() string {
	return fmt.Sprintf("consensus: raft message from %x to %x came from peer %08x", e.Sender, e.Receiver, e.Peer)
}

// hello describes a starting process to the other voters.
type hello struct {
	group, name string
	replica     uint64 // identity of the process; 0 if it has none yet
	starts      uint64 // number of starts with the store of the process, including this one
	incarnation uint64 // random at each start
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

// welcome tells a starting process what the sender knows of it.
type welcome struct {
	group   string
	replica uint64 // identity that the hello named; 0 if it named none
	// hasGroup reports whether the sender knows a group, so that the process must not bootstrap it
	// again.
	hasGroup bool
	// hasRecords reports whether the sender has an identity and is starting or a member. Its start
	// records are then complete: a start that they do not contain was never answered by the sender.
	hasRecords bool
	start      StartRecord // last start of the process that the sender knows of
	received   provenState // what the sender has received from the process
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

// encodeRaft encodes a message of the raft library, preceded by the name of the group.
func encodeRaft(group string, m *raftpb.Message) ([]byte, error) {
	data, err := m.Marshal()
	if err != nil {
		return nil, err
	}
	var w encoding.Writer
	w.Uint(kindRaft).Text(group)
	return append(w.Data, data...), nil
}

// decodeRaft decodes what encodeRaft encoded. It returns ErrInvalidRaftMessage if the message is of
// another group or truncated, or the raft library's error.
func decodeRaft(r encoding.Reader, group string) (m raftpb.Message, err error) {
	if r.Text(maxNameBytes) != group || r.Err() != nil {
		return m, ErrInvalidRaftMessage
	}
	if err := m.Unmarshal(r.Data); err != nil {
		return m, fmt.Errorf("consensus: %w", err)
	}
	return m, nil
}

// proposal is a command as the log stores it.
type proposal struct {
	tag     uint64 // passed to Effects.Applied with the result
	machine byte   // number of the state machine that applies the command
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

// changeContext is stored in the log with a change of the configuration.
type changeContext struct {
	tag  uint64 // passed to Effects.Applied once the change is applied
	name string // name of the process that the change adds or removes
}

func (x changeContext) encode() []byte {
	var w encoding.Writer
	return w.Uint(x.tag).Text(x.name).Data
}

// decodeChangeContext decodes a context. Fields that can't be decoded are zero.
func decodeChangeContext(data []byte) changeContext {
	r := encoding.Reader{Data: data}
	return changeContext{tag: r.Uint(), name: r.Text(maxNameBytes)}
}
