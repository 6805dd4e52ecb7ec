package command

import (
	"os"
	"strconv"
	"testing"
	"time"

	"croftlock/internal/testbed/experiment"
	"croftlock/internal/testbed/fake"
)

// BenchmarkRelayedLine measures the CPU time that a proxy process uses for a line and its answer.
// If CROFTLOCK_BENCH is set, it is the path of the build to measure instead of this one.
func BenchmarkRelayedLine(b *testing.B) {
	discovery := newHosts(b, "a", "s0").Discovery
	env := &experiment.Env{Croftlock: os.Args[0], Dir: b.TempDir()}
	setup := experiment.Setup{Name: "n0", Discovery: discovery.Addr(), InitialList: discovery.List(), Env: asProgram}
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
		b.Fatalf("the request is answered with %+v, error %v; want UP", answer, err)
	}
	defer client.Close()
	before := process.CPUTime()
	b.ResetTimer()
	for i := range b.N {
		if _, migrated, err := client.Exchange(strconv.Itoa(i), 5*time.Second); err != nil || migrated {
			b.Fatalf("line %d: migrated %t, error %v", i, migrated, err)
		}
	}
	b.StopTimer()
	b.ReportMetric(float64(process.CPUTime()-before)/float64(b.N), "cpu-ns/line")
}
