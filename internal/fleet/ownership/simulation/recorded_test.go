package simulation

import (
	"fmt"
	"strings"
	"testing"

	"croftlock/internal/testbed/golden"
)

// recordedPlans is the number of recorded plans. Half of them have voters with disks (package
// consensus) and half have voters without (ownership.Quorum).
const recordedPlans = 200

// record plays the plan of a seed and returns its line of the golden file: counts of the run, and a digest
// of all messages and the final tables. It adds the messages to samples unless samples is nil.
func record(seed uint64, samples *golden.Samples) string {
	cfg := fleetConfig(seed)
	cfg.FaultPeriod = 5 * Sec
	r, digest := New(cfg), golden.NewDigest()
	stateIn := "memory"
	if cfg.Disks {
		stateIn = "disk"
	}
	r.onSend = func(from int, peer uint32, group bool, message []byte) {
		digest.Add("%d %d to %08x, group %t: %x", r.now, from, peer, group, message)
		if samples != nil && len(message) > 0 {
			kind := fmt.Sprintf("owners-%d", message[0])
			if group {
				kind = fmt.Sprintf("group-%s-%d", stateIn, message[0])
			}
			samples.Add(kind, message)
		}
	}
	err := r.Play()
	for _, p := range r.processes {
		digest.Add("%x", p.table.Snapshot())
	}
	// The keys must stay as they are in the golden file.
	return fmt.Sprintf("seed=%d voters=%d kept=%s effects=%d refused=%d starts=%d notes=%d ok=%t %s", seed, cfg.Voters, stateIn, r.AcceptedEffects, r.RejectedEffects, r.JobStarts, r.Checkpoints, err == nil, digest)
}

// TestRecordedDecisions tests that the recorded plans of faults lead to the same messages, owners
// and tables as when they were recorded.
func TestRecordedDecisions(t *testing.T) {
	lines := make([]string, recordedPlans)
	samples := golden.NewSamples(3)
	const sampled = 4 // number of plans that also yield sample messages; they are played one after the other
	for seed := range uint64(sampled) {
		lines[seed] = record(seed, samples)
	}
	golden.InParallel(sampled, recordedPlans, func(seed int) { lines[seed] = record(uint64(seed), nil) })
	golden.Check(t, "decisions.golden", []byte(strings.Join(lines, "\n")+"\n"))
	golden.Check(t, "messages.golden", samples.Bytes())
}
