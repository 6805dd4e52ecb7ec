package owneragent

import (
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"croftlock/internal/dataplane/netio"
	"croftlock/internal/fleet/consensus"
	"croftlock/internal/fleet/consensus/disk"
	"croftlock/internal/fleet/group"
	"croftlock/internal/fleet/memberagent"
)

// testVoter implements Voter in place of package replica, which imports this package and can't be
// used here.
type testVoter struct{ *consensus.Core }

func (v testVoter) Stopped() *group.StoreError {
	if err := v.Failure(); err != nil {
		return &group.StoreError{Err: err}
	}
	return nil
}

// openTestVoter implements OpenVoter for tests.
func openTestVoter(o VoterOptions) (Voter, *group.StoreError) {
	store, err := disk.Open(filepath.Join(o.Dir, "voter.db"), o.MaxBytes)
	if err != nil {
		return nil, &group.StoreError{Err: err}
	}
	core, err := consensus.Open(consensus.Config{Group: o.Group, Name: o.Name, InitialVoters: o.Voters, Seed: o.Seed}, store, o.Machines, o.Effects)
	if err != nil {
		return nil, &group.StoreError{Err: err}
	}
	return testVoter{core}, nil
}

func TestMain(m *testing.M) {
	OpenVoter = openTestVoter
	os.Exit(m.Run())
}

// freeAddress returns a UDP address on which no socket listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	return conn.LocalAddr().String()
}

// startAlone returns a started Agent with options o, in which it sets Enabled, Group, Voters and
// MaxStoreKB. The process, named a, is the only member and the only voter. The Agent runs on the real
// clock and is stopped at the end of the test.
func startAlone(t *testing.T, o Options) *Agent {
	t.Helper()
	addr := freeAddress(t)
	loop := netio.NewLoop()
	go loop.Run()
	t.Cleanup(loop.Stop)
	var agent *Agent
	started := make(chan error, 1)
	loop.Post(func() {
		memberOptions := memberagent.Options{Enabled: true, Fleet: "f", Listen: addr, Peers: []string{addr}}
		members, err := memberagent.Start(loop, memberOptions, "a", time.Now(), memberagent.Platform{})
		if err != nil {
			started <- err
			return
		}
		o.Enabled, o.Group, o.Voters, o.MaxStoreKB = true, "g", []string{"a"}, 8192
		agent, err = Start(loop, o, "a", members, NewEnforcement(loop, o, 1), func([]string) {})
		started <- err
	})
	if err := <-started; err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		done := make(chan struct{})
		loop.Post(func() { agent.Stop(); close(done) })
		<-done
	})
	return agent
}

// readReport returns the agent's reply to owners and status. It is empty if the worker is busy.
func readReport(t *testing.T, a *Agent) (r Reply) {
	t.Helper()
	if !a.runOnWorker(func() { a.fillReport(&r) }) {
		t.Log("no report: the worker is busy")
	}
	return r
}

// eventually waits until holds reports true. If it does not within 30 s, the test fails with
// timedOut.
func eventually(t *testing.T, timedOut string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(timedOut)
		}
	}
}
