package owneragent

import (
	"errors"
	"fmt"
	"log/slog"
)

// payloadChannel is the channel of membership's payloads that belongs to this package.
const payloadChannel = 1

// Recipients of a message, as sent in its first byte. The numbers must not change.
const (
	recipientGroup = 1
	recipientCore  = 2
)

var errUnknownRecipient = errors.New("owners: message for neither the group nor the core")

// receiveDatagram handles a datagram from membership on the loop. It counts a malformed one without
// logging it.
func (a *Agent) receiveDatagram(peer uint32, data []byte) {
	a.worker.post(func() {
		if a.transport.Receive(a.now(), peer, data) != nil {
			a.counts.MalformedMessages++
		}
	})
}

// send sends a message to a recipient at another process.
func (a *Agent) send(to uint32, recipient byte, msg []byte) {
	if err := a.transport.Send(a.now(), to, append([]byte{recipient}, msg...)); err != nil {
		slog.Error("owner_message_too_long", "bytes", len(msg), "reason", err)
	}
}

// receiveMessage passes a complete message to its recipient. data must not be empty.
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
	return fmt.Errorf("%w: recipient %d", errUnknownRecipient, data[0])
}

// transportEffects implements fragment.Effects.
type transportEffects struct{ agent *Agent }

// SendDatagram sends a datagram as a payload of membership.
func (t transportEffects) SendDatagram(peer uint32, data []byte) {
	copied := append([]byte(nil), data...)
	t.agent.loop.Post(func() { t.agent.members.SendPayload(peer, payloadChannel, copied) })
}

// DeliverMessage handles a complete message. It logs a rejected message only if it is the first one
// that MalformedMessages counts. Since receiveDatagram also counts, but without logging, it may
// happen that no rejection is ever logged.
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

// groupEffects implements group.Effects.
type groupEffects struct{ agent *Agent }

// Send sends a message to the group's replica at another process.
func (g groupEffects) Send(peer uint32, msg []byte) { g.agent.send(peer, recipientGroup, msg) }

// Applied reports to the core that a command was applied. The core does not exist yet while the
// group is opened for the first time.
func (g groupEffects) Applied(_ byte, tag uint64, result []byte) {
	if g.agent.core != nil {
		g.agent.core.Applied(g.agent.now(), tag, result)
	}
}

// Confirmed reports to the core that this process still leads the group.
func (g groupEffects) Confirmed(tag uint64) {
	if g.agent.core != nil {
		g.agent.core.Confirmed(g.agent.now(), tag)
	}
}

// LogEvent logs an event at level info.
func (g groupEffects) LogEvent(event string, args ...any) { slog.Info(event, args...) }
