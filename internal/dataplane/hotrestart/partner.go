package hotrestart

import (
	"log/slog"
	"net"
	"sync"

	"croftlock/internal/dataplane/netio"
	"croftlock/internal/dataplane/proxy"
)

// maxQueuedMessages bounds the messages that the other process has not read yet; they are few and short.
const maxQueuedMessages = 256

// Events is what a Partner notifies, on the loop.
type Events interface {
	// TakeOver says that the partner accepts clients from here on; its result is what the partner is to know.
	TakeOver() *proxy.Snapshot
	// TakenOver brings what the partner knew as it stopped accepting clients; s may be nil.
	TakenOver(s *proxy.Snapshot)
	// HostSuspended brings a host's suspension or its end.
	HostSuspended(id string, suspended bool)
	// ListChanged brings an endpoint list that the partner has received since.
	ListChanged(s *proxy.Snapshot)
	// DownstreamCount brings how many downstreams the partner holds.
	DownstreamCount(n int)
	// ConnectionReceived brings an open connection; its sockets are the receiver's.
	ConnectionReceived(s *proxy.HandedOverConnection)
	// Gone says that the partner has ended.
	Gone()
}

// Partner is the other process of this proxy, while there are two.
type Partner struct {
	conn      *net.UnixConn
	queue     chan queuedMessage
	closeOnce sync.Once
	closed    chan struct{}
}

// queuedMessage is a message on its way.
type queuedMessage struct {
	message
	handover *handover // nil: it is not an open connection
}

// handover is an open connection on its way.
type handover struct {
	connection    *proxy.HandedOverConnection
	migrationLine []byte // for its client, should the handover fail
	done          func()
}

// finish closes this process's descriptors of the connection. Where the handover failed, its client is migrated.
func (h *handover) finish(failed bool) {
	if failed {
		h.connection.Downstream.Discard(h.migrationLine)
	} else {
		h.connection.Downstream.Discard(nil)
	}
	h.connection.Upstream.Discard(nil)
	h.done()
}

func newPartner(c *net.UnixConn) *Partner {
	return &Partner{conn: c, queue: make(chan queuedMessage, maxQueuedMessages), closed: make(chan struct{})}
}

// Run begins to read what the partner sends and to write what is queued for it: one goroutine each, which end with Close or with the
// partner.
func (p *Partner) Run(l *netio.Loop, ev Events) {
	go p.writeQueued()
	go p.readMessages(l, ev)
}

// writeQueued writes until the connection to the partner ends. What is queued then fails, and connections among it are ended politely.
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

// failQueued writes what is queued to a connection that is closed.
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

// write sends a message. An open connection is not this process's afterwards.
func (p *Partner) write(m queuedMessage) error {
	err := send(p.conn, m.message)
	if m.handover != nil {
		m.handover.finish(err != nil)
	}
	return err
}

// readMessages reads until the connection to the partner ends.
func (p *Partner) readMessages(l *netio.Loop, ev Events) {
	for {
		e, fds, err := receive(p.conn)
		if err != nil {
			p.Close()
			l.Post(ev.Gone)
			return
		}
		m := decode(e, fds)
		l.Post(func() { p.handle(m, ev) })
	}
}

// handle notifies of a message of the partner's.
func (p *Partner) handle(m message, ev Events) {
	switch m := m.(type) {
	case takeOver:
		p.send(takenOver{snapshot: ev.TakeOver()})
	case takenOver:
		ev.TakenOver(m.snapshot)
	case hostSuspended:
		if m.hostID != "" {
			ev.HostSuspended(m.hostID, m.suspended)
		}
	case listChanged:
		if m.snapshot != nil {
			ev.ListChanged(m.snapshot)
		}
	case downstreamCount:
		ev.DownstreamCount(max(0, m.count))
	case connection:
		ev.ConnectionReceived(m.HandedOverConnection)
	default:
		closeDescriptors(m.descriptors())
		slog.Warn("hot_restart_unexpected", "kind", m.envelope().Kind) // a later version's, for one
	}
}

// send queues a message. It never waits: the connection to a partner that reads nothing is ended.
func (p *Partner) send(m message) {
	select {
	case p.queue <- queuedMessage{message: m}:
	default:
		p.Close()
	}
}

// HandOver hands an open connection over; where that fails its client gets migrationLine. done is called, on any goroutine, once the
// connection is not this process's any more.
func (p *Partner) HandOver(s *proxy.HandedOverConnection, migrationLine []byte, done func()) {
	h := &handover{s, migrationLine, done}
	select {
	case <-p.closed:
		h.finish(true)
	case p.queue <- queuedMessage{connection{s}, h}:
	default:
		h.finish(true)
	}
}

// SendTakeOver notifies the old process that this one accepts clients from here on.
func (p *Partner) SendTakeOver() { p.send(takeOver{}) }

// SendHostSuspended passes a host's suspension, or its end, on.
func (p *Partner) SendHostSuspended(id string, suspended bool) {
	p.send(hostSuspended{hostID: id, suspended: suspended})
}

// SendListChanged passes the endpoint list on: the two processes are one proxy, and what one knows the other must know.
func (p *Partner) SendListChanged(s *proxy.Snapshot) { p.send(listChanged{snapshot: s}) }

// SendDownstreamCount sends how many downstreams this process holds.
func (p *Partner) SendDownstreamCount(n int) { p.send(downstreamCount{count: n}) }

// Close ends the connection to the partner; Gone follows.
func (p *Partner) Close() {
	p.closeOnce.Do(func() {
		close(p.closed)
		p.conn.Close()
	})
}
