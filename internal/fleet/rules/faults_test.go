package rules

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// However cuts, deafness, late answers, lost coordinators, a group without a lead and changes come together, with clocks a hundredth apart: no two
// versions side by side for longer than stated, numbers only rise at each process, and once all is well everyone agrees again.
func TestOverlapUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := newGroup(t, 4)
		for i := uint32(1); i <= 4; i++ {
			g.clockRate[i] = rapid.SampledFrom([]float64{0.99, 1, 1.01}).Draw(rt, "rate")
		}
		release := func() {
			held := g.delayedReplies
			g.delayedReplies, g.delayReplies = nil, false
			for _, f := range held {
				f()
			}
		}
		n := uint64(0)
		for range rapid.IntRange(3, 25).Draw(rt, "steps") {
			who := rapid.Uint32Range(1, 4).Draw(rt, "who")
			switch rapid.IntRange(0, 7).Draw(rt, "what") {
			case 0, 1:
				n++
				g.put(&Version{HostsOut: []string{strings.Repeat("h", int(n))}}, g.publisher.versions.active.Number)
			case 2:
				g.cut[who] = !g.cut[who]
			case 3:
				g.deaf[who] = !g.deaf[who]
			case 4:
				g.restartPublisher()
			case 5:
				g.checkpointsFail = !g.checkpointsFail
			case 6:
				g.delayReplies = true
			case 7:
				release()
			}
			g.run(Time(rapid.IntRange(1, 120).Draw(rt, "time")) * 20 * ms)
		}
		clear(g.cut)
		clear(g.deaf)
		g.checkpointsFail = false
		release()
		g.run(6 * within)
		if o := g.overlap(); o > within {
			rt.Fatalf("two versions side by side for %d ms", o/ms)
		}
		last := map[uint32]uint64{}
		for _, a := range g.observations {
			if a.number < last[a.who] {
				rt.Fatalf("%d went back from version %d to %d", a.who, last[a.who], a.number)
			}
			last[a.who] = a.number
		}
		for i := uint32(1); i <= 4; i++ {
			if v := g.members[i].Enforcer.Judge(anyAsk); v.Lapsed || v.Version != g.publisher.versions.active.Number {
				rt.Fatalf("%d acts by version %d (lapsed %t), %d is active, though all is well", i, v.Version, v.Lapsed, g.publisher.versions.active.Number)
			}
		}
	})
}
