package memberagent

import (
	"log/slog"

	"croftlock/internal/fleet/membership"
	"croftlock/internal/fleet/peers"
)

// transport is the way to the other members: a link, and the seal over its datagrams.
type transport struct {
	link            *peers.Link
	shared          bool             // the link is the platform's, and the decision module's too
	learnsAddresses bool             // members come and go
	seal            *membership.Seal // nil: datagrams are not sealed
	unsealed        int              // datagrams under an unknown key, or replayed
	rejected        int              // those that membership rejected
}

func (t *transport) sealed(data []byte) []byte {
	if t.seal == nil {
		return data
	}
	return t.seal.Seal(data)
}

// unseal takes a datagram out of its seal. The first that fails is logged, and the others are counted.
func (t *transport) unseal(from any, data []byte) ([]byte, bool) {
	if t.seal == nil {
		return data, true
	}
	data, err := t.seal.Open(data)
	if err == nil {
		return data, true
	}
	if t.unsealed++; t.unsealed == 1 {
		logRejected(from, err)
	}
	return nil, false
}

// noteRejection logs the first datagram that membership rejected, and counts the others.
func (t *transport) noteRejection(from any, err error) {
	if t.rejected++; t.rejected == 1 {
		logRejected(from, err)
	}
}

func logRejected(from any, err error) {
	slog.Warn("membership_datagram_rejected", "peer", from, "reason", err)
}

// maxPayload is how many bytes of another package's a datagram can carry.
func (t *transport) maxPayload() int {
	if t.seal == nil {
		return membership.MaxPayload(0)
	}
	return membership.MaxPayload(membership.SealLength)
}
