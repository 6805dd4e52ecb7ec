package command

import (
	"os"
	"strconv"
	"testing"
	"time"

	"croftlock/internal/testbed/experiment"
	"croftlock/internal/testbed/fake"
)

// BenchmarkRelayedLine measures the processor time that a proxy process takes for a line and the host's line that answers it.
// CROFTLOCK_BENCH names another build to be measured by the same clients, in place of this one.
func BenchmarkRelayedLine(b *testing.B) {
	server, err := fake.NewServer("s0", "a", nil)
	if err != nil {
		b.Fatal(err)
	}
	defer server.Close()
	discovery, err := fake.NewDiscovery(server.Entry())
	if err != nil {
		b.Fatal(err)
	}
	defer discovery.Close()
	env := &experiment.Env{Croftlock: os.Args[0], Dir: b.TempDir()}
	setup := experiment.Setup{Name: "n0", Discovery: discovery.Addr(), Known: discovery.List(), Env: []string{"CROFTLOCK_TEST_RUN=1"}}
	if other := os.Getenv("CROFTLOCK_BENCH"); other != "" {
		setup.Program = other
	}
	process, err := env.Proxy(setup)
	if err != nil {
		b.Fatal(err)
	}
	defer process.Kill()
	client, answer, err := fake.Open(process.Addr, "lab", "", 2*time.Second)
	if err != nil || client == nil {
		b.Fatalf("opened: %+v, %v", answer, err)
	}
	defer client.Close()
	before := process.CPU()
	b.ResetTimer()
	for i := range b.N {
		if _, moved, err := client.Exchange(strconv.Itoa(i), 5*time.Second); err != nil || moved {
			b.Fatalf("line %d: moved %t, %v", i, moved, err)
		}
	}
	b.StopTimer()
	b.ReportMetric(float64(process.CPU()-before)/float64(b.N), "cpu-ns/line")
}
