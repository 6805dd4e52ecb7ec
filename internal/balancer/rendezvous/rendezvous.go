// Package rendezvous orders hosts for a key by weighted rendezvous hashing: every process that
// knows the same hosts computes the same order without communication, a host with twice the weight
// is first twice as often, and the loss of one host does not change the order of the others.
package rendezvous

import "math"

// Hash returns a hash of a name that is evenly distributed over 64 bits (FNV-1a with a final mix).
// Proxies compare hashes with each other, so that the function has to stay the same in all
// versions.
func Hash(name string) uint64 {
	const offsetBasis, prime, mix = 14695981039346656037, 1099511628211, 0xbf58476d1ce4e5b9
	h := uint64(offsetBasis)
	for i := 0; i < len(name); i++ {
		h = (h ^ uint64(name[i])) * prime
	}
	h ^= h >> 29
	h *= mix
	return h ^ h>>32
}

// Score returns the score of a host for a key; the host with the lowest score is first. weight must
// be above 0. Scores are exponentially distributed with the weight as rate, so that the probability
// of being first is proportional to the weight.
func Score(key, host string, weight float64) float64 {
	uniform := (float64(Hash(key+host)>>11) + 0.5) / (1 << 53) // never 0, whose logarithm is infinite
	return -math.Log(uniform) / weight
}
