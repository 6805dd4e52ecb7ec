package hotrestart

import (
	"croftlock/internal/dataplane/proxy"
)

// message is what one process of a proxy sends to the other. Each kind is a type of its own.
type message interface {
	// envelope is its form on the wire.
	envelope() envelope
	// descriptors are sent beside it, and stay the sender's.
	descriptors() []int
}

// envelope is the form of all messages on the wire. Each kind uses some of the fields.
type envelope struct {
	Kind        string                      `json:"Kind"`
	Listen      string                      `json:"Listen,omitempty"`
	Snapshot    *proxy.Snapshot             `json:"Kept,omitempty"`
	Datagram    bool                        `json:"Datagram,omitempty"`
	ID          string                      `json:"ID,omitempty"`
	Out         bool                        `json:"Out,omitempty"`
	Downstreams int                         `json:"Sessions,omitempty"`
	Connection  *proxy.HandedOverConnection `json:"Standing,omitempty"`
	Reason      string                      `json:"Reason,omitempty"`
}

// The kinds of message on the wire.
const (
	kindRequest     = "ask"
	kindWelcome     = "welcome"
	kindRejection   = "no"
	kindTakeOver    = "take"
	kindTakenOver   = "taken"
	kindSuspended   = "byhand"
	kindList        = "listed"
	kindDownstreams = "sessions"
	kindConnection  = "standing"
)

// noDescriptors is embedded by messages that go alone.
type noDescriptors struct{}

func (noDescriptors) descriptors() []int { return nil }

// handoverRequest, from new to old, requests the handover.
type handoverRequest struct {
	noDescriptors
	listen string // the address that clients use at the new process
}

func (m handoverRequest) envelope() envelope { return envelope{Kind: kindRequest, Listen: m.listen} }

// welcome, from old to new, hands sockets and a snapshot over.
type welcome struct{ Handoff }

func (m welcome) envelope() envelope {
	return envelope{Kind: kindWelcome, Snapshot: m.Snapshot, Datagram: m.DatagramFD >= 0}
}

func (m welcome) descriptors() []int {
	if m.DatagramFD < 0 {
		return []int{m.ListenerFD}
	}
	return []int{m.ListenerFD, m.DatagramFD}
}

// rejection, from old to new, says that it does not hand over now.
type rejection struct {
	noDescriptors
	reason string
}

func (m rejection) envelope() envelope { return envelope{Kind: kindRejection, Reason: m.reason} }

// takeOver, from new to old, says that the new process accepts clients from here on.
type takeOver struct{ noDescriptors }

func (takeOver) envelope() envelope { return envelope{Kind: kindTakeOver} }

// takenOver, from old to new, says that the old process does not accept clients any more, and what it knows.
type takenOver struct {
	noDescriptors
	snapshot *proxy.Snapshot // may be nil
}

func (m takenOver) envelope() envelope { return envelope{Kind: kindTakenOver, Snapshot: m.snapshot} }

// hostSuspended, either way, is a host's suspension or its end.
type hostSuspended struct {
	noDescriptors
	hostID    string
	suspended bool
}

func (m hostSuspended) envelope() envelope {
	return envelope{Kind: kindSuspended, ID: m.hostID, Out: m.suspended}
}

// listChanged, from old to new, is an endpoint list that has come since.
type listChanged struct {
	noDescriptors
	snapshot *proxy.Snapshot // may be nil
}

func (m listChanged) envelope() envelope { return envelope{Kind: kindList, Snapshot: m.snapshot} }

// downstreamCount, from old to new, is how many downstreams the sender still has.
type downstreamCount struct {
	noDescriptors
	count int
}

func (m downstreamCount) envelope() envelope {
	return envelope{Kind: kindDownstreams, Downstreams: m.count}
}

// connection, from old to new, is an open connection, with two sockets: the client's and the host's.
type connection struct{ *proxy.HandedOverConnection }

func (m connection) envelope() envelope {
	return envelope{Kind: kindConnection, Connection: m.HandedOverConnection}
}

func (m connection) descriptors() []int { return []int{m.Downstream.FD, m.Upstream.FD} }

// unexpectedMessage is a message that this version does not know, or one that lacks what belongs to it.
type unexpectedMessage struct {
	noDescriptors
	kind string
}

func (m unexpectedMessage) envelope() envelope { return envelope{Kind: m.kind} }

// decode gives the message of an envelope that came with some descriptors. Those that belong to the message are its receiver's; all others
// are closed.
func decode(e *envelope, fds []int) message {
	switch {
	case e.Kind == kindWelcome && e.Snapshot != nil && len(fds) == 1 && !e.Datagram:
		return welcome{Handoff{Snapshot: e.Snapshot, ListenerFD: fds[0], DatagramFD: -1}}
	case e.Kind == kindWelcome && e.Snapshot != nil && len(fds) == 2 && e.Datagram:
		return welcome{Handoff{Snapshot: e.Snapshot, ListenerFD: fds[0], DatagramFD: fds[1]}}
	case e.Kind == kindConnection && e.Connection != nil && len(fds) == 2:
		e.Connection.Downstream.FD, e.Connection.Upstream.FD = fds[0], fds[1]
		return connection{e.Connection}
	}
	closeDescriptors(fds)
	switch e.Kind {
	case kindRequest:
		return handoverRequest{listen: e.Listen}
	case kindRejection:
		return rejection{reason: e.Reason}
	case kindTakeOver:
		return takeOver{}
	case kindTakenOver:
		return takenOver{snapshot: e.Snapshot}
	case kindSuspended:
		return hostSuspended{hostID: e.ID, suspended: e.Out}
	case kindList:
		return listChanged{snapshot: e.Snapshot}
	case kindDownstreams:
		return downstreamCount{count: e.Downstreams}
	}
	return unexpectedMessage{kind: e.Kind}
}
