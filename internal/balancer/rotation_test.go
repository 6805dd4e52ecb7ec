package balancer

import (
	"fmt"
	"testing"
)

func TestRotationIsEvenAndInterleaved(t *testing.T) {
	f := start(t, settings(), fleet(7)...)
	for round := 0; round < 5; round++ {
		seen := map[string]int{}
		for i := 0; i < 7; i++ {
			seen[f.serve(fmt.Sprintf("r%d-%d", round, i))]++
		}
		if len(seen) != 7 {
			t.Fatalf("round %d reached %d of 7 hosts: %v", round, len(seen), seen)
		}
	}
}

func TestRotationFollowsWeights(t *testing.T) {
	es := fleet(3)
	es[1].Weight = 3
	f := start(t, settings(), es...)
	n := map[string]int{}
	for i := 0; i < 500; i++ {
		n[f.serve(fmt.Sprint(i))]++
	}
	if n["s01"] < 290 || n["s01"] > 310 {
		t.Fatalf("weight 3 of 5 got %d of 500 turns: %v", n["s01"], n)
	}
}

func TestBalancersStartApart(t *testing.T) {
	seen := map[string]bool{}
	for me := 0; me < 8; me++ {
		cfg := settings()
		cfg.Instance, cfg.Instances = me, 8
		f := start(t, cfg, fleet(8)...)
		seen[f.serve("r")] = true
	}
	if len(seen) != 8 {
		t.Fatalf("8 balancers began at %d of 8 hosts", len(seen))
	}
}

func TestSparseBalancersSpreadOverUnequalHosts(t *testing.T) {
	es := fleet(20)
	for i := range es {
		es[i].Weight = 1 + float64(i%4)/10
	}
	n := map[string]int{}
	for me := 0; me < 10; me++ {
		cfg := settings()
		cfg.Instance, cfg.Instances = me, 10
		f := start(t, cfg, es...)
		for k := 0; k < 4; k++ {
			f.request(fmt.Sprint(k))
			f.establish(fmt.Sprint(k))
			n[f.last().host]++
		}
	}
	for s, k := range n {
		if k > 4 {
			t.Fatalf("ten balancers with four connections each put %d on %s, 2 would be even", k, s)
		}
	}
}

func TestTurnsCrossZonesWhileOwnZoneStalls(t *testing.T) {
	cfg := settings()
	cfg.Prices.CrossZone = 0.1
	es := fleet(8)
	for i := range es {
		es[i].Zone = []string{"a", "b"}[i%2]
	}
	f := start(t, cfg, es...)
	far := func(prefix string) int {
		n := 0
		for i := 0; i < 40; i++ {
			f.request(fmt.Sprint(prefix, i))
			f.establish(fmt.Sprint(prefix, i))
			if f.b.byID[f.last().host].zone != f.b.zone {
				n++
			}
		}
		return n
	}
	before := far("a")
	for i := 0; i < 10; i++ {
		for k := 0; k < 40; k++ {
			if id := fmt.Sprint("a", k); f.b.requests[id].host.zone == f.b.zone {
				f.b.Observe(f.now, id, 0, ObservedLatency, 150)
			}
		}
		f.run(sec)
	}
	f.b.shedding.share = 0
	if after := far("b"); before > 10 || after <= before {
		t.Fatalf("%d of 40 crossed before the own zone stalled, %d after", before, after)
	}
}
