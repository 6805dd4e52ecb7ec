package memberagent

import "slices"

// channels holds the receivers of other packages' data, by channel: a number that tells apart the packages
// that send data through the Agent.
type channels map[byte]func(member uint32, data []byte)

// Attach registers receive for the data that other members send on a channel, and replaces an earlier
// registration. receive is called with the sender's member ID and may keep data. The data is sent in
// membership's datagrams, under its seal. A nil receive removes the registration.
func (a *Agent) Attach(channel byte, receive func(member uint32, data []byte)) {
	a.channels[channel] = receive
}

// MaxPayload returns the maximum number of bytes that SendPayload can send.
func (a *Agent) MaxPayload() int { return a.transport.maxPayload() }

// SendPayload sends at most MaxPayload bytes of data on a channel to a member. The data may be lost. It is
// always lost if it is longer, the member's address is not known, or the Agent has stopped.
func (a *Agent) SendPayload(member uint32, channel byte, data []byte) {
	if !a.closed {
		a.core.SendPayload(a.loop.Now(), member, channel, data)
	}
}

// PayloadReceived implements membership.PayloadReceiver. It passes a copy of data to the receiver of the
// channel, if there is one.
func (a *Agent) PayloadReceived(from uint32, channel byte, data []byte) {
	if receive := a.channels[channel]; receive != nil {
		receive(from, slices.Clone(data))
	}
}
