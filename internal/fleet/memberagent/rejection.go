package memberagent

import (
	"errors"
	"log/slog"
	"net/netip"

	"croftlock/internal/fleet/membership"
)

// rejectionReason is the reason for which a datagram was rejected, as it appears in the log.
type rejectionReason string

const (
	reasonMalformed        rejectionReason = "malformed"
	reasonOtherVersion     rejectionReason = "other_version"
	reasonOtherFleet       rejectionReason = "other_fleet"
	reasonUnknownKey       rejectionReason = "unknown_key"
	reasonReplayed         rejectionReason = "replayed"           // received before, or too old to tell
	reasonOwnName          rejectionReason = "own_name"           // the sender uses this process's name
	reasonNameInUse        rejectionReason = "name_in_use"        // the sender uses the name of another live member
	reasonRejectedByMember rejectionReason = "rejected_by_member" // the sender does not admit this process
	reasonUnknown          rejectionReason = "unknown"            // any other error
)

// reasonOfError holds the reasons of the errors that are plain values, without fields to log.
var reasonOfError = map[error]rejectionReason{
	membership.ErrMalformed:    reasonMalformed,
	membership.ErrOtherVersion: reasonOtherVersion,
	membership.ErrOtherFleet:   reasonOtherFleet,
	membership.ErrUnknownKey:   reasonUnknownKey,
	membership.ErrReplay:       reasonReplayed,
}

// logRejected logs that a datagram was rejected with err. from is the sender's slot or address.
func logRejected(from slog.Attr, err error) {
	slog.Warn("membership_datagram_rejected", append([]any{from}, rejectionFields(err)...)...)
}

// rejectionFields returns the log fields that describe err, as alternating keys and values.
func rejectionFields(err error) []any {
	var inUse *membership.NameInUseError
	var rejected *membership.RejectedError
	switch {
	case errors.As(err, &rejected):
		return []any{"reason", reasonRejectedByMember, "member", formatID(rejected.Member), "member_reason", rejected.Reason.String()}
	case errors.As(err, &inUse) && inUse.Name != "":
		return []any{"reason", reasonOwnName, "member", formatID(inUse.Sender)}
	case errors.As(err, &inUse):
		return []any{"reason", reasonNameInUse, "member", formatID(inUse.Sender)}
	}
	if reason, known := reasonOfError[err]; known {
		return []any{"reason", reason}
	}
	return []any{"reason", reasonUnknown}
}

// slotField returns the log field for a sender that is known by its slot.
func slotField(slot int) slog.Attr { return slog.Int("slot", slot) }

// addressField returns the log field for a sender that is known by its address.
func addressField(address netip.AddrPort) slog.Attr { return slog.String("address", address.String()) }
