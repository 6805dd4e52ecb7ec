package handshake

// Refusal is why Enqueue rejected a handshake; None: it is queued.
type Refusal int

var refusals = [...]string{"none", "no time left in the handshake budget", "too many handshakes wait"}

// String says it in the detail of a TLS failure.
func (r Refusal) String() string { return refusals[r] }
