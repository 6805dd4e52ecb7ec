package hotrestart

import (
	"log/slog"
	"net"
	"sync"

	"croftlock/internal/dataplane/netio"
	"croftlock/internal/dataplane/proxy"
)

// maxQueuedMessages is the maximum number of messages that wait to be written to the other process.
// Messages are few and short, so that many wait only if that process does not read.
const maxQueuedMessages = 256

// Events handles what a Partner receives. All methods are called on the loop.
type Events interface {
	// TakeOver is called when the partner, the new process, asks this one to stop accepting clients. It
	// returns the state to send to the partner, or nil to send none.
	TakeOver() *proxy.Snapshot
	// TakenOver is called when the partner has stopped accepting clients. s is the partner's last state,
	// or nil if it sent none.
	TakenOver(s *proxy.Snapshot)
	// HostSuspended is called when an operator suspended the host id at the partner or, if suspended is
	// false, resumed it.
	HostSuspended(id string, suspended bool)
	// ListChanged is called with an endpoint list that the partner received after the handover.
	ListChanged(s *proxy.Snapshot)
	// DownstreamCount is called with the number of downstreams, the connections of clients, that the
	// partner still has, which is not negative, and how many of them count against each account's quota.
	DownstreamCount(n int, accounts map[string]int)
	// ConnectionReceived is called with an open connection that the partner hands over. This process
	// now owns the connection's two sockets.
	ConnectionReceived(c *proxy.HandedOverConnection)
	// IDQuestion is called when the partner asks about the ID of a request. answer may be called later, on
	// the loop.
	IDQuestion(id string, answer func(proxy.IDStatus))
	// IDAnswer is called with the partner's answer about an ID.
	IDAnswer(id string, status proxy.IDStatus)
	// Gone is called once, when the connection to the partner has ended.
	Gone()
}

// Partner is the other process of this proxy during a hot restart. Its methods may be called from any
// goroutine; Run must be called once.
type Partner struct {
	conn      *net.UnixConn
	protocol  int                // the partner's protocolVersion; 0 if it runs an earlier build
	queue     chan queuedMessage // messages to write, at most maxQueuedMessages
	closeOnce sync.Once
	closed    chan struct{} // closed by Close
}

// queuedMessage is a message that waits to be written.
type queuedMessage struct {
	message
	handover *handover // nil unless the message hands over a connection
}

// handover is an open connection that is being handed over.
type handover struct {
	connection    *proxy.HandedOverConnection
	migrationLine []byte // sent to the client if the handover fails
	done          func() // called once this process no longer owns the connection
}

// finish closes this process's descriptors of the connection and calls done. If the handover failed,
// it first sends the client the line that migrates it.
func (h *handover) finish(failed bool) {
	if failed {
		h.connection.Downstream.Discard(h.migrationLine)
	} else {
		h.connection.Downstream.Discard(nil)
	}
	h.connection.Upstream.Discard(nil)
	h.done()
}

// newPartner returns the Partner at the other end of c, which has named this version of the protocol. Run
// must be called to exchange messages.
func newPartner(c *net.UnixConn, protocol int) *Partner {
	return &Partner{conn: c, protocol: protocol, queue: make(chan queuedMessage, maxQueuedMessages), closed: make(chan struct{})}
}

// Run starts one goroutine that reads messages from the partner and one that writes queued messages to
// it. It does not block. Both goroutines end when Close or the partner ends the connection.
func (p *Partner) Run(l *netio.Loop, events Events) {
	go p.writeQueued()
	go p.readMessages(l, events)
}

// writeQueued writes queued messages until the connection to the partner ends. It then fails the
// remaining messages, so that clients whose handover was queued are migrated.
func (p *Partner) writeQueued() {
	for {
		select {
		case m := <-p.queue:
			if p.write(m) != nil {
				p.Close()
			}
			continue
		case <-p.closed:
		}
		p.failQueued()
		return
	}
}

// failQueued fails all queued messages by writing them to the closed connection.
func (p *Partner) failQueued() {
	for {
		select {
		case m := <-p.queue:
			p.write(m)
		default:
			return
		}
	}
}

// write sends a message. If the message hands over a connection, this process no longer owns the
// connection afterwards, even if write returns an error.
func (p *Partner) write(m queuedMessage) error {
	err := send(p.conn, m.message)
	if m.handover != nil {
		m.handover.finish(err != nil)
	}
	return err
}

// readMessages handles messages until the connection to the partner ends, and then reports Gone.
func (p *Partner) readMessages(l *netio.Loop, events Events) {
	for {
		e, fds, err := receive(p.conn)
		if err != nil {
			p.Close()
			l.Post(events.Gone)
			return
		}
		m := decode(e, fds)
		l.Post(func() { p.handle(m, events) })
	}
}

// handle calls the method of events for a message from the partner. It ignores a hostSuspended without
// a host ID and a listChanged without a snapshot. It logs any other unexpected message and closes its
// descriptors. handle must be called on the loop.
func (p *Partner) handle(m message, events Events) {
	switch m := m.(type) {
	case takeOver:
		p.send(takenOver{snapshot: events.TakeOver()})
	case takenOver:
		events.TakenOver(m.snapshot)
	case hostSuspended:
		if m.hostID != "" {
			events.HostSuspended(m.hostID, m.suspended)
		}
	case listChanged:
		if m.snapshot != nil {
			events.ListChanged(m.snapshot)
		}
	case downstreamCount:
		events.DownstreamCount(max(0, m.count), m.accounts)
	case connection:
		events.ConnectionReceived(m.HandedOverConnection)
	case idQuestion:
		events.IDQuestion(m.requestID, func(status proxy.IDStatus) { p.send(idAnswer{requestID: m.requestID, status: status}) })
	case idAnswer:
		events.IDAnswer(m.requestID, m.status)
	default:
		closeDescriptors(m.descriptors())
		// For example, a later version may send a kind that this one does not know.
		slog.Warn("hot_restart_unexpected", "kind", m.envelope().Kind)
	}
}

// send queues a message without blocking. A full queue means that the partner does not read; send then
// closes the connection to the partner.
func (p *Partner) send(m message) {
	select {
	case p.queue <- queuedMessage{message: m}:
	default:
		p.Close()
	}
}

// HandOver hands an open connection over to the partner without blocking. If that fails, for example
// because the queue is full, the client receives migrationLine, which makes it reconnect. done is
// called once, on any goroutine, when this process no longer owns the connection.
func (p *Partner) HandOver(c *proxy.HandedOverConnection, migrationLine []byte, done func()) {
	h := &handover{c, migrationLine, done}
	select {
	case <-p.closed:
		h.finish(true)
	case p.queue <- queuedMessage{connection{c}, h}:
	default:
		h.finish(true)
	}
}

// SendTakeOver asks the old process to stop accepting clients. Events.TakenOver reports the answer.
func (p *Partner) SendTakeOver() { p.send(takeOver{}) }

// SendHostSuspended notifies the partner that an operator suspended the host id or, if suspended is
// false, resumed it.
func (p *Partner) SendHostSuspended(id string, suspended bool) {
	p.send(hostSuspended{hostID: id, suspended: suspended})
}

// SendListChanged sends the endpoint list in s to the partner, because the two processes are one proxy
// and must use the same list. Of s only the list and its origin are needed.
func (p *Partner) SendListChanged(s *proxy.Snapshot) { p.send(listChanged{snapshot: s}) }

// SendDownstreamCount sends the number of downstreams, the connections of clients, that this process
// still has, and how many of them count against each account's quota.
func (p *Partner) SendDownstreamCount(n int, accounts map[string]int) {
	p.send(downstreamCount{count: n, accounts: accounts})
}

// AnswersIDQuestions reports whether the partner answers whether it has a request with an ID. An earlier
// build does not.
func (p *Partner) AnswersIDQuestions() bool { return p.protocol >= 1 }

// SendIDQuestion asks the partner whether it has a request with an ID. Events.IDAnswer reports the answer.
func (p *Partner) SendIDQuestion(id string) { p.send(idQuestion{requestID: id}) }

// Close closes the connection to the partner. If Run was called, Events.Gone follows. Close may be
// called more than once.
func (p *Partner) Close() {
	p.closeOnce.Do(func() {
		close(p.closed)
		p.conn.Close()
	})
}
