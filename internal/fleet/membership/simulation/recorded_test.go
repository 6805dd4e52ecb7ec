package simulation

import (
	"fmt"
	"strings"
	"testing"

	"croftlock/internal/fleet/membership"
	"croftlock/internal/testbed/golden"
)

// TestRecordedDecisions checks that recorded plans of faults still cause the recorded datagrams and changes
// of the view.
func TestRecordedDecisions(t *testing.T) {
	const plans = 200
	lines := make([]string, plans)
	samples := golden.NewSamples(4)
	runPlan := func(seed uint64, samples *golden.Samples) {
		processes := 3 + int(seed%6)
		f, digest := New(processes, seed, membership.Config{}), golden.NewDigest()
		f.SkipChecks = true
		if seed%4 == 3 {
			f.Seeds = 2
		}
		f.OnSend = func(from, slot int, datagram []byte) {
			digest.Add("%d %d to %d: %x", f.Now(), from, slot, datagram)
			if samples != nil {
				samples.Add(fmt.Sprintf("first-part-%d", firstPart(datagram)), datagram)
			}
		}
		f.OnChange = func(at int, c membership.Change) {
			digest.Add("%d at %d: %d from %s to %s, incarnation %d, version %d", f.Now(), at, c.ID, c.OldState, c.NewState, c.Incarnation, c.Version)
		}
		endMS := f.Apply(RandomPlan(processes, seed))
		f.Run(endMS*Ms + SettleTime)
		for _, n := range f.Nodes {
			digest.Add("%08x %d", n.Core.Digest(), n.Core.Version())
		}
		lines[seed] = fmt.Sprintf("seed=%d processes=%d %s", seed, processes, digest)
	}
	const sampled = 8 // number of plans that also yield sample datagrams; they run one after the other
	for seed := range uint64(sampled) {
		runPlan(seed, samples)
	}
	golden.InParallel(sampled, plans, func(seed int) { runPlan(uint64(seed), nil) })
	golden.Check(t, "decisions.golden", []byte(strings.Join(lines, "\n")+"\n"))
	golden.Check(t, "datagrams.golden", samples.Bytes())
}

// firstPart returns the kind of the first part after a datagram's header of 21 bytes, or 0 if there is none.
func firstPart(datagram []byte) byte {
	const headerLength = 21
	if len(datagram) <= headerLength {
		return 0
	}
	return datagram[headerLength]
}
