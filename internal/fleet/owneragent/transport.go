package owneragent

import (
	"errors"
	"fmt"
	"log/slog"
)

// payloadChannel marks, for membership, the datagrams whose data is for this package.
const payloadChannel = 1

// Addressees: the first byte of a message.
const (
	recipientGroup = 1
	recipientCore  = 2
)

var errUnknownRecipient = errors.New("owners: message for neither the group nor the core")

// receiveDatagram takes a datagram from membership, on the loop. Malformed ones are counted, not logged.
func (a *Agent) receiveDatagram(peer uint32, data []byte) {
	a.worker.post(func() {
		if a.transport.Receive(a.now(), peer, data) != nil {
			a.counts.MalformedMessages++
		}
	})
}

func (a *Agent) send(to uint32, addressee byte, msg []byte) {
	if err := a.transport.Send(a.now(), to, append([]byte{addressee}, msg...)); err != nil {
		slog.Error("owner_message_too_long", "bytes", len(msg), "reason", err)
	}
}

// receiveMessage passes a complete message on.
func (a *Agent) receiveMessage(peer uint32, data []byte) error {
	switch data[0] {
	case recipientGroup:
		if g := a.replica.group; g != nil {
			return g.Receive(a.now(), peer, data[1:])
		}
		return nil
	case recipientCore:
		return a.core.Receive(a.now(), peer, data[1:])
	}
	return errUnknownRecipient
}

// transportEffects are the effects of the fragmenting transport.
type transportEffects struct{ agent *Agent }

// SendDatagram has membership carry a datagram.
func (t transportEffects) SendDatagram(peer uint32, data []byte) {
	copied := append([]byte(nil), data...)
	t.agent.loop.Post(func() { t.agent.members.SendPayload(peer, payloadChannel, copied) })
}

// DeliverMessage takes a complete message. One that is rejected is logged if nothing was counted as malformed before; receiveDatagram counts without
// logging, so all may go unlogged.
func (t transportEffects) DeliverMessage(peer uint32, data []byte) {
	if len(data) == 0 {
		return
	}
	err := t.agent.receiveMessage(peer, data)
	if err == nil {
		return
	}
	t.agent.counts.MalformedMessages++
	if t.agent.counts.MalformedMessages == 1 {
		slog.Warn("owner_message_rejected", "peer", fmt.Sprintf("%08x", peer), "reason", err)
	}
}

// groupEffects are the effects of the replicated group.
type groupEffects struct{ agent *Agent }

// Send sends a message to another voter.
func (g groupEffects) Send(peer uint32, msg []byte) { g.agent.send(peer, recipientGroup, msg) }

// Applied reports a command; while the group opens there is no core yet.
func (g groupEffects) Applied(_ byte, tag uint64, result []byte) {
	if g.agent.core != nil {
		g.agent.core.Applied(g.agent.now(), tag, result)
	}
}

// Confirmed reports that this process still leads.
func (g groupEffects) Confirmed(tag uint64) {
	if g.agent.core != nil {
		g.agent.core.Confirmed(g.agent.now(), tag)
	}
}

// LogEvent logs at level info.
func (g groupEffects) LogEvent(event string, args ...any) { slog.Info(event, args...) }
