package balancer

import "math"

// hash spreads names evenly; it must be the same at every balancer, and stay so.
func hash(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(s); i++ {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	h ^= h >> 29
	h *= 0xbf58476d1ce4e5b9
	return h ^ h>>32
}

// tally is a sum that fades.
type tally struct {
	n  float64
	at Time
}

func (t *tally) add(now, tau Time, n float64) {
	t.n = t.n*math.Exp(-float64(now-t.at)/float64(tau+1)) + n
	t.at = now
}

func (b *Balancer) zoneOf(name string) int {
	z, ok := b.zones[name]
	if !ok {
		z = len(b.zones)
		b.zones[name] = z
	}
	return z
}
