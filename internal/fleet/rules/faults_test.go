package rules

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestOverlapUnderFaults runs random sequences of isolated members, lost and late replies, new
// publishers, failing checkpoints and changes, with clocks that drift by 1 %. No two versions may be
// in use at the same time for longer than a lease, no member may go back to an older version, and
// after the faults all members must act by the active version.
func TestOverlapUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fleet := newTestFleet(t, 4)
		for i := uint32(1); i <= 4; i++ {
			fleet.clockRate[i] = rapid.SampledFrom([]float64{0.99, 1, 1.01}).Draw(rt, "rate")
		}
		n := uint64(0)
		for range rapid.IntRange(3, 25).Draw(rt, "steps") {
			member := rapid.Uint32Range(1, 4).Draw(rt, "who")
			switch rapid.IntRange(0, 7).Draw(rt, "what") {
			case 0, 1:
				n++
				fleet.proposeOperators(&Version{ExcludedHosts: []string{strings.Repeat("h", int(n))}}, fleet.publisher.versions.active.Number)
			case 2:
				fleet.isolated[member] = !fleet.isolated[member]
			case 3:
				fleet.losesReplies[member] = !fleet.losesReplies[member]
			case 4:
				fleet.restartPublisher()
			case 5:
				fleet.checkpointsFail = !fleet.checkpointsFail
			case 6:
				fleet.delayReplies = true
			case 7:
				fleet.deliverDelayedReplies()
			}
			fleet.run(Time(rapid.IntRange(1, 120).Draw(rt, "time")) * 20 * ms)
		}
		clear(fleet.isolated)
		clear(fleet.losesReplies)
		fleet.checkpointsFail = false
		fleet.deliverDelayedReplies()
		fleet.run(6 * leaseDuration)
		if o := fleet.longestOverlap(); o > leaseDuration {
			rt.Fatalf("two versions were in use at the same time for %d ms, want at most %d ms", o/ms, leaseDuration/ms)
		}
		last := map[uint32]uint64{}
		for _, o := range fleet.observations {
			if o.number < last[o.member] {
				rt.Fatalf("member %d went back from version %d to %d", o.member, last[o.member], o.number)
			}
			last[o.member] = o.number
		}
		for i := uint32(1); i <= 4; i++ {
			if v := fleet.members[i].Enforcer.Evaluate(anyRequest); v.Lapsed || v.Version != fleet.publisher.versions.active.Number {
				rt.Fatalf("after all faults have ended, member %d acts by version %d (lapsed %t), want version %d", i, v.Version, v.Lapsed, fleet.publisher.versions.active.Number)
			}
		}
	})
}
