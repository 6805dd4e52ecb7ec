package memberagent

import "slices"

// channels are the receivers of other packages' data, by channel.
type channels map[byte]func(peer uint32, data []byte)

// Attach has data that another package's counterpart sends on a channel received, with the id of the member that sent them. They share
// membership's datagrams and its seal. A nil receive detaches.
func (a *Agent) Attach(channel byte, receive func(peer uint32, data []byte)) {
	a.channels[channel] = receive
}

// MaxPayload is how many bytes of an attached package's a datagram can carry.
func (a *Agent) MaxPayload() int { return a.transport.maxPayload() }

// Carry sends an attached package's data to a member, at most MaxPayload bytes; they may be lost, and are where its address is not known.
func (a *Agent) Carry(peer uint32, channel byte, data []byte) {
	if !a.closed {
		a.core.Carry(a.loop.Now(), peer, channel, data)
	}
}

// CarriedData implements membership.Carrier.
func (a *Agent) CarriedData(from uint32, channel byte, data []byte) {
	if receive := a.channels[channel]; receive != nil {
		receive(from, slices.Clone(data))
	}
}
