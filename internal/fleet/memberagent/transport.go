package memberagent

import (
	"log/slog"

	"croftlock/internal/fleet/membership"
	"croftlock/internal/fleet/peers"
)

// transport sends to the other members and receives from them: a link, and the seal over its datagrams.
type transport struct {
	link            *peers.Link
	shared          bool             // the link is the platform's, and the decision module's too
	learnsAddresses bool             // members come and go
	seal            *membership.Seal // nil: datagrams are not sealed
	sealFailures    int              // datagrams under an unknown key, or replayed
	rejected        int              // datagrams that membership rejected
}

func (t *transport) sealDatagram(data []byte) []byte {
	if t.seal == nil {
		return data
	}
	return t.seal.Seal(data)
}

// unseal takes a datagram out of its seal. Only the first failure is logged, as anybody can cause any number; all are counted.
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

// recordRejection logs the first datagram that membership rejected, and counts all.
func (t *transport) recordRejection(from slog.Attr, err error) {
	if t.rejected++; t.rejected == 1 {
		logRejected(from, err)
	}
}

// maxPayload is how many bytes of another package's a datagram can carry.
func (t *transport) maxPayload() int {
	if t.seal == nil {
		return membership.MaxPayload(0)
	}
	return membership.MaxPayload(membership.SealLength)
}
