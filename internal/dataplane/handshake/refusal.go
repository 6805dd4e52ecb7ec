package handshake

// Refusal is why Enqueue took no handshake; None: it took it.
type Refusal int

var refusals = [...]string{"none", "no time left in the handshake budget", "too many handshakes wait"}

// String names a refusal as the log writes it.
func (r Refusal) String() string { return refusals[r] }
