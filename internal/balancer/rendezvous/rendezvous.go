// Package rendezvous orders hosts for a key by weighted rendezvous hashing: every process that knows the same
// hosts computes the same order without exchanging anything, a host of twice the weight is first twice as
// often, and the loss of one host changes the order of no others.
package rendezvous

import "math"

// Hash spreads names evenly over 64 bits (FNV-1a with a final mix). Proxies compare hashes with each other,
// so that it has to stay the same in all versions.
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

// Score is the place of a host in the order of a key: lowest first. It is exponentially distributed with the
// weight as its rate, which makes the chance of being first proportional to the weight.
func Score(key, host string, weight float64) float64 {
	uniform := (float64(Hash(key+host)>>11) + 0.5) / (1 << 53) // never 0, whose logarithm is infinite
	return -math.Log(uniform) / weight
}
