package hotrestart

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"croftlock/internal/dataplane/netio"
	"croftlock/internal/dataplane/proxy"
)

const (
	door = "croftlock.sock"
	// askWithin is how long an old process may take to hand over: its loop may be at its busiest.
	askWithin = time.Second
	// waiting bounds the messages that the other process has not taken yet; they are few and short.
	waiting = 256
)

// ErrBusy says that the process which serves has a partner already.
var ErrBusy = errors.New("another process of this proxy is being replaced")

// Handoff is what an old process hands over.
type Handoff struct {
	Snapshot *proxy.Snapshot
	Listener int // descriptors, the receiver's to close
	Datagram int // under 0: none
}

// Partner is the other process of this proxy, while there are two.
type Partner struct {
	conn *net.UnixConn
	out  chan parcel
	once sync.Once
	gone chan struct{}
}

// parcel is a message with what it hands over.
type parcel struct {
	*message
	goodbye []byte // to the client of its standing connection, if that can't be handed over
	done    func()
}

// Events is what a partner tells, on the loop.
type Events interface {
	// TakeOver says that the partner accepts from here on; what it is to know is the answer.
	TakeOver() *proxy.Snapshot
	// TakenOver brings what the partner knew as it stopped accepting.
	TakenOver(k *proxy.Snapshot)
	// HostSuspended brings an operator's word.
	HostSuspended(id string, out bool)
	// ListChanged brings a list that the partner was told since.
	ListChanged(k *proxy.Snapshot)
	// Sessions tells how many downstreams the partner holds.
	Sessions(n int)
	// ConnectionReceived brings an open connection; its sockets are the receiver's.
	ConnectionReceived(s *proxy.HandedOverConnection)
	// Gone says that the partner has ended.
	Gone()
}

func newPartner(c *net.UnixConn) *Partner {
	return &Partner{conn: c, out: make(chan parcel, waiting), gone: make(chan struct{})}
}

// Run begins to read what the partner tells and to write what it is told: one goroutine each, for as long as it lives.
func (p *Partner) Run(l *netio.Loop, ev Events) {
	go func() {
		for {
			select {
			case m := <-p.out:
				if p.deliver(m) != nil {
					p.Close()
				}
				continue
			case <-p.gone:
			}
			for {
				select {
				case m := <-p.out:
					p.deliver(m) // it fails, and what it would hand over is ended politely
				default:
					return
				}
			}
		}
	}()
	go func() {
		for {
			m, fds, err := receive(p.conn)
			if err != nil {
				p.Close()
				l.Post(ev.Gone)
				return
			}
			if m.Kind == kindStanding && m.Standing != nil && len(fds) == 2 {
				m.Standing.Down.FD, m.Standing.Up.FD = fds[0], fds[1]
				l.Post(func() { ev.ConnectionReceived(m.Standing) })
				continue
			}
			closeAll(fds)
			l.Post(func() { p.take(m, ev) })
		}
	}()
}

func (p *Partner) take(m *message, ev Events) {
	switch m.Kind {
	case kindTake:
		p.tell(&message{Kind: kindTaken, Kept: ev.TakeOver()})
	case kindTaken:
		ev.TakenOver(m.Kept)
	case kindByHand:
		if m.ID != "" {
			ev.HostSuspended(m.ID, m.Out)
		}
	case kindListed:
		if m.Kept != nil {
			ev.ListChanged(m.Kept)
		}
	case kindSessions:
		ev.Sessions(max(0, m.Sessions))
	default:
		slog.Warn("hot_restart_unexpected", "kind", m.Kind) // a later version's; what it means is not known here
	}
}

// tell never waits: a partner that takes nothing is given up.
func (p *Partner) tell(m *message) {
	select {
	case p.out <- parcel{message: m}:
	default:
		p.Close()
	}
}

// HandOver hands an open connection over; where that fails its client is told goodbye. done is called, on any goroutine, once
// the connection is not this process's any more.
func (p *Partner) HandOver(s *proxy.HandedOverConnection, goodbye []byte, done func()) {
	m := parcel{&message{Kind: kindStanding, Standing: s}, goodbye, done}
	select {
	case <-p.gone:
		m.end(true)
	case p.out <- m:
	default:
		m.end(true)
	}
}

// deliver sends a parcel. What it hands over is not this process's afterwards.
func (p *Partner) deliver(m parcel) error {
	if m.Standing == nil {
		return send(p.conn, m.message)
	}
	err := send(p.conn, m.message, m.Standing.Down.FD, m.Standing.Up.FD)
	m.end(err != nil)
	return err
}

func (m parcel) end(failed bool) {
	if failed {
		m.Standing.Down.Discard(m.goodbye)
	} else {
		m.Standing.Down.Discard(nil)
	}
	m.Standing.Up.Discard(nil)
	m.done()
}

// TakeOver tells the old process that this one accepts from here on.
func (p *Partner) TakeOver() { p.tell(&message{Kind: kindTake}) }

// HostSuspended passes an operator's word on.
func (p *Partner) HostSuspended(id string, out bool) {
	p.tell(&message{Kind: kindByHand, ID: id, Out: out})
}

// ListChanged passes on what discovery has told of hosts: the two processes are one proxy, and what one is told the other has been told.
func (p *Partner) ListChanged(k *proxy.Snapshot) { p.tell(&message{Kind: kindListed, Kept: k}) }

// Sessions tells how many downstreams this process holds.
func (p *Partner) Sessions(n int) { p.tell(&message{Kind: kindSessions, Sessions: n}) }

// Close ends the connection; Gone follows.
func (p *Partner) Close() {
	p.once.Do(func() {
		close(p.gone)
		p.conn.Close()
	})
}
