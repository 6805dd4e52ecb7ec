// Package badclients plays bad clients at the limits of the platform. It is a package of its own since its test
// needs all cores.
package badclients

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"croftlock/internal/testbed/experiment"
)

// TestBadClientsHarmNoOthers guards against a process that passes the platform's smallest limits, or answers
// sound clients late or never, beside hundreds of slow clients or one at full speed. The program is built
// without the race detector, whose memory would count.
func TestBadClientsHarmNoOthers(t *testing.T) {
	const memoryMB, descriptors, each = 32, 256, 2 * time.Second
	program := filepath.Join(t.TempDir(), "croftlock")
	if out, err := exec.Command("go", "build", "-o", program, "croftlock/cmd/croftlock").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v: %s", err, out)
	}
	results, err := experiment.PlayBadClients(&experiment.Env{Croftlock: program, Dir: t.TempDir(), Logf: t.Logf}, memoryMB, descriptors, each)
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range results {
		for _, fault := range x.Faults(memoryMB, descriptors) {
			t.Errorf("beside %s: %s", x.Kind, fault)
		}
	}
}
