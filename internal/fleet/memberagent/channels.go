package memberagent

import "slices"

// channels are the receivers of other packages' data, by channel.
type channels map[byte]func(member uint32, data []byte)

// Attach has receive called with the data that another package's counterpart sends on a channel, and with the id of the member that sent them.
// They share membership's datagrams and its seal. A nil receive detaches.
func (a *Agent) Attach(channel byte, receive func(member uint32, data []byte)) {
	a.channels[channel] = receive
}

// MaxPayload is how many bytes of an attached package's a datagram can carry.
func (a *Agent) MaxPayload() int { return a.transport.maxPayload() }

// SendPayload sends an attached package's data to a member, at most MaxPayload bytes. They may be lost, and always are where the member's address is
// not known.
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
