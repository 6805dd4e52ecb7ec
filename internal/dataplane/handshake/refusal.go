package handshake

// Refusal is why a handshake may not begin.
type Refusal int

var refusals = [...]string{"none", "no time left in the handshake budget", "too many handshakes wait"}

// String names a refusal as the log writes it.
func (r Refusal) String() string { return refusals[r] }
