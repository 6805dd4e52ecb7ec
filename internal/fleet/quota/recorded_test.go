package quota

import (
	"fmt"
	"strings"
	"testing"

	"croftlock/internal/testbed/golden"
)

// TestRecordedDecisions checks that the same demand and faults produce the recorded queries,
// replies and connections.
func TestRecordedDecisions(t *testing.T) {
	const sequences = 200
	var lines strings.Builder
	samples := golden.NewSamples(8)
	for seed := range uint64(sequences) {
		f := newTestFleet(3+int(seed%3), seed, map[string]Limit{"p": {Rate: 40, Connections: 60}, "p/x": {Rate: 25}, "p/y": {Connections: 20 + int(seed%20)}, "q": {Rate: 9, Connections: 5}})
		f.loss = float64(seed%5) / 20
		f.recorded = golden.NewDigest()
		if seed < 4 {
			f.samples = samples
		}
		for events := 0; events < 1000; {
			account := []string{"p", "p/x", "p/y", "q", "p/z"}[f.rng.IntN(5)]
			demand := f.rng.Float64()
			switch f.rng.IntN(12) {
			case 0:
				f.noIssuer = !f.noIssuer
			case 1:
				f.restartIssuers()
			case 2:
				proxy := f.rng.IntN(len(f.clients))
				f.isolated[proxy] = !f.isolated[proxy]
			case 3:
				f.clients[f.rng.IntN(len(f.clients))].CountExisting(account)
			}
			steps := 1 + f.rng.IntN(20)
			f.run(Time(steps)*10*ms, account, func(int) float64 { return demand }, Time(f.rng.IntN(2000))*ms)
			f.recorded.Add("%d %v asked %d refused %d waited %d", f.now, f.open, f.waiting, f.rejected, f.longestWait)
			events += steps * len(f.clients)
		}
		fmt.Fprintf(&lines, "seed=%d proxies=%d %s\n", seed, len(f.clients), f.recorded)
	}
	golden.Check(t, "decisions.golden", []byte(lines.String()))
	golden.Check(t, "messages.golden", samples.Bytes())
}
