package memberagent

import (
	"log/slog"

	"croftlock/internal/fleet/membership"
	"croftlock/internal/fleet/peers"
)

// transport is the link, the socket for datagrams to the other members, and the seal over its datagrams.
type transport struct {
	link            *peers.Link
	shared          bool             // whether the link is the platform's, which the decision module also uses
	learnsAddresses bool             // whether addresses are learnt, as members come and go
	seal            *membership.Seal // nil if datagrams are not sealed
	sealFailures    int              // number of datagrams that the seal rejected
	rejected        int              // number of datagrams that membership rejected
}

// sealDatagram returns a datagram with its seal, or unchanged if datagrams are not sealed. The result is
// valid until the next call.
func (t *transport) sealDatagram(data []byte) []byte {
	if t.seal == nil {
		return data
	}
	return t.seal.Seal(data)
}

// unseal checks the seal of a datagram, a keyed hash with a sequence number, and removes it. Without
// keys it returns the datagram unchanged. It returns false if the seal is not valid. It counts all
// failures but logs only the first one, as any sender can cause any number of them. from is the log
// field for the sender.
func (t *transport) unseal(from slog.Attr, data []byte) ([]byte, bool) {
	if t.seal == nil {
		return data, true
	}
	data, err := t.seal.Open(data)
	if err == nil {
		return data, true
	}
	if t.sealFailures++; t.sealFailures == 1 {
		logRejected(from, err)
	}
	return nil, false
}

// recordRejection counts the datagrams that membership rejects, and logs the first one. from is the log field
// for the sender.
func (t *transport) recordRejection(from slog.Attr, err error) {
	if t.rejected++; t.rejected == 1 {
		logRejected(from, err)
	}
}

// maxPayload returns the maximum number of bytes of another package's data in a datagram.
func (t *transport) maxPayload() int {
	if t.seal == nil {
		return membership.MaxPayload(0)
	}
	return membership.MaxPayload(membership.SealLength)
}
