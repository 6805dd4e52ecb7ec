package rules

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"croftlock/internal/fleet/namespace"
	"croftlock/internal/testbed/golden"
)

// recorder records all messages between a publisher, its members and the group that stores the
// checkpoints. A nil recorder records nothing.
type recorder struct {
	digest  *golden.Digest  // hash of the messages, checkpoints and verdicts
	samples *golden.Samples // nil if only the digest is recorded
}

// add records one message or checkpoint.
func (r *recorder) add(kind string, data []byte) {
	if r == nil {
		return
	}
	r.digest.Add("%s %x", kind, data)
	if r.samples != nil {
		r.samples.Add(kind, data)
	}
}

// randomChange returns a random change that an administrator may propose. The publisher rejects many
// of these.
func randomChange(rng *rand.Rand, baseVersion uint64) *Change {
	id := fmt.Appendf(nil, "id-%08d", rng.Intn(1e8))
	pools := []string{"a", "b", namespace.MainPool}
	account := []string{"acme", "other", "acme/web", "acme/web/x"}[rng.Intn(4)]
	switch rng.Intn(8) {
	case 0:
		return NewOperatorsChange(&Version{ExcludedHosts: []string{fmt.Sprintf("h%d", rng.Intn(5))}, Directory: twoCustomers().Directory}, baseVersion, id)
	case 1:
		return NewOperatorsChange(&Version{Refusals: []Refusal{{RetryAfterMillis: uint32(100 + rng.Intn(900))}}, Directory: twoCustomers().Directory}, baseVersion, id)
	case 2, 3:
		return NewNamespaceChange(namespaceRoutingTo(account, 0, pools[rng.Intn(3)]), baseVersion, id)
	case 4:
		return NewAccountChange(&namespace.Account{Name: account, Tenants: []string{fmt.Sprintf("t%d", 1+rng.Intn(3))}, Pools: pools[:rng.Intn(3)]}, baseVersion, id)
	case 5:
		return NewAccountRemoval(account, baseVersion, id)
	case 6:
		return NewRollback(uint64(rng.Intn(int(baseVersion)+2)), baseVersion, id)
	}
	reassigned := twoCustomers()
	reassigned.Directory.Pools[0].Kinds, reassigned.Directory.Pools[1].Kinds = []string{"m2"}, []string{"m1"}
	return NewOperatorsChange(reassigned, baseVersion, id)
}

// randomStep does one random thing: it proposes a change, sends an administrator's query, or starts
// or ends a fault.
func randomStep(fleet *testFleet, rng *rand.Rand) {
	member := 1 + uint32(rng.Intn(len(fleet.members)))
	switch rng.Intn(12) {
	case 0, 1, 2:
		baseVersion := fleet.publisher.versions.active.Number
		if rng.Intn(6) == 0 {
			baseVersion = uint64(rng.Intn(int(baseVersion) + 2))
		}
		c := randomChange(rng, baseVersion)
		if rng.Intn(3) > 0 {
			c.Sign(privateKey(byte(1 + rng.Intn(3))))
		}
		fleet.propose(c)
	case 3:
		queries := [][]byte{QueryActive(), QueryStatus(), QueryHistory(""), QueryHistory("acme"), QueryVersion(0), QueryVersion(uint64(rng.Intn(9)))}
		fleet.publisher.QueryReceived(fleet.now, 0, 2, queries[rng.Intn(len(queries))])
	case 4:
		fleet.isolated[member] = !fleet.isolated[member]
	case 5:
		fleet.losesReplies[member] = !fleet.losesReplies[member]
	case 6:
		fleet.checkpointsFail = rng.Intn(3) == 0
	case 7:
		if rng.Intn(3) == 0 {
			fleet.restartPublisher()
		}
	default:
		fleet.isolated[member], fleet.losesReplies[member] = false, false
	}
}

// The same changes, queries and faults must result in the same messages, answers and checkpoints as
// in the golden files.
func TestRecordedDecisions(t *testing.T) {
	const sequences, eventsPerSequence = 200, 1000
	lines := make([]string, sequences)
	samples := golden.NewSamples(3)
	runSequence := func(seed int64, samples *golden.Samples) {
		rng := rand.New(rand.NewSource(seed))
		fleet := newTestFleet(t, 2+uint32(seed%4))
		fleet.recorder = &recorder{digest: golden.NewDigest(), samples: samples}
		if seed%2 == 0 {
			fleet.proposeOperators(twoCustomers(), 0)
		}
		for events := 0; events < eventsPerSequence; {
			randomStep(fleet, rng)
			steps := 1 + rng.Intn(3)
			fleet.run(20 * ms * Time(steps))
			events += 1 + steps*len(fleet.members)
			for i := uint32(1); i <= uint32(len(fleet.members)); i++ {
				v := fleet.members[i].Enforcer.Evaluate(namespace.Request{Tenant: "t1", Class: "c"})
				fleet.recorder.digest.Add("%d %d {Refused:%t Advice:%v Version:%d Lapsed:%t Account:%s Route:%s Pools:%v}",
					fleet.now, i, v.Rejected, v.RetryAfter, v.Version, v.Lapsed, v.Account, v.Route, v.Pools)
			}
		}
		lines[seed] = fmt.Sprintf("seed=%d members=%d version=%d %s", seed, len(fleet.members), fleet.publisher.versions.active.Number, fleet.recorder.digest)
	}
	const sampled = 4
	for seed := range int64(sampled) {
		runSequence(seed, samples)
	}
	golden.InParallel(sampled, sequences, func(seed int) { runSequence(int64(seed), nil) })
	golden.Check(t, "decisions.golden", []byte(strings.Join(lines, "\n")+"\n"))
	golden.Check(t, "messages.golden", samples.Bytes())
}
