package handshake

// RejectReason is the reason for which Budget.Enqueue rejected a handshake, or NotRejected if Enqueue
// queued the handshake.
type RejectReason int

var rejectReasonTexts = [...]string{"none", "no time left in the handshake budget", "too many handshakes wait"}

// String returns the reason as text for the detail of a TLS failure.
func (r RejectReason) String() string { return rejectReasonTexts[r] }
