package hotrestart

import (
	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/proxy"
)

// message is a message between the two processes of a proxy. Each kind has its own type.
type message interface {
	// envelope returns the form of the message on the wire.
	envelope() envelope
	// descriptors returns the descriptors to send with the message. The sender keeps its own copies.
	descriptors() []int
}

// envelope is the form on the wire, in JSON, that all kinds of messages share. Each kind sets some of
// the fields.
type envelope struct {
	Kind        string                      `json:"Kind"`               // one of the constants below
	Listen      string                      `json:"Listen,omitempty"`   // the address that clients use
	Snapshot    *proxy.Snapshot             `json:"Kept,omitempty"`     // state of the sender; only its list in kindList
	HasDatagram bool                        `json:"Datagram,omitempty"` // whether the second descriptor is a datagram socket
	HostID      string                      `json:"ID,omitempty"`
	Suspended   bool                        `json:"Out,omitempty"`      // whether the host HostID is suspended; false if it was resumed
	Downstreams int                         `json:"Sessions,omitempty"` // number of downstreams, the connections of clients
	Accounts    map[string]int              `json:"Accounts,omitempty"` // of the downstreams, those that count against a quota, by account
	Connection  *proxy.HandedOverConnection `json:"Standing,omitempty"`
	Reason      string                      `json:"Reason,omitempty"`    // why a handover is rejected
	Protocol    int                         `json:"Protocol,omitempty"`  // the sender's protocolVersion; 0 if an earlier build sent the message
	RequestID   string                      `json:"RequestID,omitempty"` // ID of a client's request
	InUse       bool                        `json:"InUse,omitempty"`     // whether the sender has a request with RequestID
	Run         *balancer.EarlierRun        `json:"Run,omitempty"`       // the run of an ended request with RequestID; nil if there is none
}

// protocolVersion is the version of the messages that this build sends. A message of a kind that version 0
// lacks is sent only to a process that has named this version.
const protocolVersion = 1

// The kinds of messages, as written on the wire.
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
	kindIDQuestion  = "id_question" // from protocol version 1 on
	kindIDAnswer    = "id_answer"   // from protocol version 1 on
)

// noDescriptors is embedded by messages that carry no descriptors.
type noDescriptors struct{}

func (noDescriptors) descriptors() []int { return nil }

// handoverRequest, from the new process to the old, requests the handover.
type handoverRequest struct {
	noDescriptors
	listen   string // the address that clients use at the new process
	protocol int    // the new process's protocolVersion
}

func (m handoverRequest) envelope() envelope {
	return envelope{Kind: kindRequest, Listen: m.listen, Protocol: m.protocol}
}

// welcome, from the old process to the new, hands over the sockets and a snapshot of the state. It
// carries one or two descriptors: the listening socket, and the datagram socket if there is one.
type welcome struct {
	Handoff
	protocol int // the old process's protocolVersion
}

func (m welcome) envelope() envelope {
	return envelope{Kind: kindWelcome, Snapshot: m.Snapshot, HasDatagram: m.DatagramFD >= 0, Protocol: m.protocol}
}

func (m welcome) descriptors() []int {
	if m.DatagramFD < 0 {
		return []int{m.ListenerFD}
	}
	return []int{m.ListenerFD, m.DatagramFD}
}

// rejection, from the old process to the new, rejects the handover for now.
type rejection struct {
	noDescriptors
	reason string // the text of the error that onRequest returned
}

func (m rejection) envelope() envelope { return envelope{Kind: kindRejection, Reason: m.reason} }

// takeOver, from the new process to the old, asks the old process to stop accepting clients. The
// answer is takenOver.
type takeOver struct{ noDescriptors }

func (takeOver) envelope() envelope { return envelope{Kind: kindTakeOver} }

// takenOver, from the old process to the new, reports that the old process no longer accepts
// clients, and carries its last state.
type takenOver struct {
	noDescriptors
	snapshot *proxy.Snapshot // may be nil
}

func (m takenOver) envelope() envelope { return envelope{Kind: kindTakenOver, Snapshot: m.snapshot} }

// hostSuspended, in either direction, reports that an operator suspended or resumed a host.
type hostSuspended struct {
	noDescriptors
	hostID    string
	suspended bool // false if the host was resumed
}

func (m hostSuspended) envelope() envelope {
	return envelope{Kind: kindSuspended, HostID: m.hostID, Suspended: m.suspended}
}

// listChanged, from the old process to the new, carries an endpoint list that the old process received
// from discovery after the handover.
type listChanged struct {
	noDescriptors
	snapshot *proxy.Snapshot // may be nil
}

func (m listChanged) envelope() envelope { return envelope{Kind: kindList, Snapshot: m.snapshot} }

// downstreamCount, from the old process to the new, reports the number of downstreams, which are
// connections of clients, that the sender still has.
type downstreamCount struct {
	noDescriptors
	count    int
	accounts map[string]int // how many of them count against each account's quota
}

func (m downstreamCount) envelope() envelope {
	return envelope{Kind: kindDownstreams, Downstreams: m.count, Accounts: m.accounts}
}

// connection, from the old process to the new, hands over an open connection with two descriptors:
// the socket to the client (downstream), then the socket to the host (upstream).
type connection struct{ *proxy.HandedOverConnection }

func (m connection) envelope() envelope {
	return envelope{Kind: kindConnection, Connection: m.HandedOverConnection}
}

func (m connection) descriptors() []int { return []int{m.Downstream.FD, m.Upstream.FD} }

// idQuestion, in either direction, asks whether the receiver has a request with an ID. The answer is
// idAnswer.
type idQuestion struct {
	noDescriptors
	requestID string
}

func (m idQuestion) envelope() envelope {
	return envelope{Kind: kindIDQuestion, RequestID: m.requestID}
}

// idAnswer answers an idQuestion.
type idAnswer struct {
	noDescriptors
	requestID string
	status    proxy.IDStatus
}

func (m idAnswer) envelope() envelope {
	return envelope{Kind: kindIDAnswer, RequestID: m.requestID, InUse: m.status.InUse, Run: m.status.Run}
}

// unexpectedMessage is a message of a kind that this version does not know, or one that lacks a part
// that its kind requires.
type unexpectedMessage struct {
	noDescriptors
	kind string // as received
}

func (m unexpectedMessage) envelope() envelope { return envelope{Kind: m.kind} }

// decode returns the message in an envelope that arrived with the descriptors fds. The caller owns the
// descriptors that belong to the message; decode closes all others. It returns an unexpectedMessage
// if the kind is unknown, or if a welcome or connection lacks its content or descriptors.
func decode(e *envelope, fds []int) message {
	switch {
	case e.Kind == kindWelcome && e.Snapshot != nil && len(fds) == 1 && !e.HasDatagram:
		return welcome{Handoff{Snapshot: e.Snapshot, ListenerFD: fds[0], DatagramFD: -1}, e.Protocol}
	case e.Kind == kindWelcome && e.Snapshot != nil && len(fds) == 2 && e.HasDatagram:
		return welcome{Handoff{Snapshot: e.Snapshot, ListenerFD: fds[0], DatagramFD: fds[1]}, e.Protocol}
	case e.Kind == kindConnection && e.Connection != nil && len(fds) == 2:
		e.Connection.Downstream.FD, e.Connection.Upstream.FD = fds[0], fds[1]
		return connection{e.Connection}
	}
	closeDescriptors(fds)
	switch e.Kind {
	case kindRequest:
		return handoverRequest{listen: e.Listen, protocol: e.Protocol}
	case kindRejection:
		return rejection{reason: e.Reason}
	case kindTakeOver:
		return takeOver{}
	case kindTakenOver:
		return takenOver{snapshot: e.Snapshot}
	case kindSuspended:
		return hostSuspended{hostID: e.HostID, suspended: e.Suspended}
	case kindList:
		return listChanged{snapshot: e.Snapshot}
	case kindDownstreams:
		return downstreamCount{count: e.Downstreams, accounts: e.Accounts}
	}
	switch {
	case e.Kind == kindIDQuestion && e.RequestID != "":
		return idQuestion{requestID: e.RequestID}
	case e.Kind == kindIDAnswer && e.RequestID != "":
		return idAnswer{requestID: e.RequestID, status: proxy.IDStatus{InUse: e.InUse, Run: e.Run}}
	}
	return unexpectedMessage{kind: e.Kind}
}
