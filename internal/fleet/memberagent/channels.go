package memberagent

import "slices"

// channels holds the receivers of other packages' data, by channel.
type channels map[byte]func(member uint32, data []byte)

// Attach registers receive for the data that other members send on a channel, which it replaces if one is
// registered. receive is called with the sender's member ID. The data share membership's datagrams and its
// seal. A nil receive removes the registration.
func (a *Agent) Attach(channel byte, receive func(member uint32, data []byte)) {
	a.channels[channel] = receive
}

// MaxPayload returns the maximum number of bytes that SendPayload can send.
func (a *Agent) MaxPayload() int { return a.transport.maxPayload() }

// SendPayload sends at most MaxPayload bytes of data on a channel to a member. The data may be lost, and they
// are always lost if they are longer or the member's address is not known.
func (a *Agent) SendPayload(member uint32, channel byte, data []byte) {
	if !a.closed {
		a.core.SendPayload(a.loop.Now(), member, channel, data)
	}
}

// PayloadReceived implements membership.PayloadReceiver.
func (a *Agent) PayloadReceived(from uint32, channel byte, data []byte) {
	if receive := a.channels[channel]; receive != nil {
		receive(from, slices.Clone(data))
	}
}
