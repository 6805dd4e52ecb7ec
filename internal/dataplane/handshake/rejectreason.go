package handshake

// RejectReason is the reason why Enqueue rejected a handshake, or NotRejected if it was queued.
type RejectReason int

var refusals = [...]string{"none", "no time left in the handshake budget", "too many handshakes wait"}

// String says it in the detail of a TLS failure.
func (r RejectReason) String() string { return refusals[r] }
