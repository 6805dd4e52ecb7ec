package command

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"croftlock/internal/testbed/experiment"
	"croftlock/internal/testbed/fake"
)

// startCustomersRig starts a rig of five proxy processes that agree on rules, and two hosts of each
// of the kinds a and b. It returns the hosts by ID: a1, a2, b1 and b2.
func startCustomersRig(t *testing.T) (*experiment.Rig, map[string]*fake.Server) {
	t.Helper()
	hosts := map[string]*fake.Server{}
	var entries []fake.Entry
	for _, id := range []string{"a1", "a2", "b1", "b2"} {
		s, err := fake.NewServer(id, "z", nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		hosts[id] = s
		e := s.Entry()
		e.Model = id[:1]
		entries = append(entries, e)
	}
	d, err := fake.NewDiscovery(entries...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	rigSlots <- struct{}{}
	t.Cleanup(func() { <-rigSlots })
	rig, err := experiment.NewRigWithOptions(&experiment.Env{Croftlock: os.Args[0], Dir: t.TempDir()}, experiment.RigOptions{Processes: 5, Seed: 9, Key: "0123456789abcdef0123456789abcdef", LogLevel: "debug", Discovery: d,
		SettingsSections: `(owners (on on) (voters "n0 n1 n2") (rules on) (agree_within 1s) (socket "DIR/owners.sock"))`, Env: []string{"CROFTLOCK_TEST_RUN=1"}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(rig.Close)
	return rig, hosts
}

// customersTest is a rig of five processes with rules for the accounts of two customers, acme and
// other, and clients of both at each process.
type customersTest struct {
	*testing.T
	rig       *experiment.Rig
	hosts     map[string]*fake.Server
	key       string // path of the private key of acme's administrator
	publicKey string // of the same key, as the rules contain it in a grant (of the right to change acme's namespace)
	clients   *clientLoop
}

// change puts a change, based on version against, at process via repeatedly until the answer contains
// want. It fails the test after recoveryTimeout. args are added to the command line.
func (c *customersTest) change(via, against int, text, want string, args ...string) {
	c.Helper()
	answer := ""
	if _, ok := experiment.AwaitCondition(recoveryTimeout, func() bool {
		answer = putRules(c.T, c.rig, via, against, text, args...)
		return strings.Contains(answer, want)
	}); !ok {
		c.Fatalf("a change against version %d is answered with %q, want %q", against, answer, want)
	}
}

// rulesOf returns the operators' rules. poolA and poolB are clauses that select the hosts of the pools
// a and b; acme and other are the tenants of those accounts, separated by blanks.
func (c *customersTest) rulesOf(poolA, poolB, acme, other string) string {
	return fmt.Sprintf(`(rules (pool a %s) (pool b %s) (account acme (tenants %q) (pools a) (grant admin (key %q) (verbs route))) (account other (tenants %q) (pools b)))`,
		poolA, poolB, acme, c.publicKey, other)
}

// TestNamespacesAmongProcesses checks two customers with pools of their own. A host and a tenant
// are reassigned from one to the other while one process is cut off and one is paused. No request
// is sent to the other customer's host, no host belongs to both at once, an established connection
// stays, and a customer's administrator can change only its own routes.
func TestNamespacesAmongProcesses(t *testing.T) {
	t.Parallel()
	c := &customersTest{T: t}
	c.rig, c.hosts = startCustomersRig(t)
	waitActive(t, c.rig, 0, 0, 5)
	c.key, c.publicKey = keyFile(t)
	c.change(1, 0, c.rulesOf(`(kinds a)`, `(kinds b)`, "t1 t2", "t3"), "active: version 2 at 5 of 5")
	c.clients = startClientLoop(t, c.rig, 15*time.Millisecond, func(n int) string { return fmt.Sprintf("t=t%d", n%3+1) })
	established := c.connectTo("a2")
	c.checkNamespaceIsolation()
	c.reassignHostAndTenant()
	if _, migrated, err := established.Exchange("still there", time.Second); migrated || err != nil {
		t.Errorf("acme's connection at a2 after the reassignment: migrated %t, error %v; want false and none", migrated, err)
	}
	c.clients.check(t, 0)
	c.checkAttempts()
	c.checkHistory()
}

// connectTo opens connections for acme until one is established at host, and returns that one.
func (c *customersTest) connectTo(host string) (client *fake.Client) {
	c.Helper()
	eventually(c, "a connection for acme is established at "+host, func() bool {
		before := c.hosts[host].Established()
		opened, _, _ := fake.Open(c.rig.Procs[0].Addr, "lab", "t=t1", time.Second)
		if opened == nil {
			return false
		}
		out, _ := command(c.T, "rules", "explain", "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=lab,t=t1", "--socket", c.socket(0))
		if !strings.Contains(out, "account acme") || !strings.Contains(out, "pool a") {
			c.Errorf("rules explain prints %q for a request of acme, want account acme and pool a", out)
		}
		if c.hosts[host].Established() > before {
			client = opened
			return true
		}
		opened.Close()
		return false
	})
	return client
}

// socket returns the path of the socket of process i's owner agent.
func (c *customersTest) socket(i int) string { return filepath.Join(c.rig.Dir(i), "owners.sock") }

// checkNamespaceIsolation checks that acme's key can change acme's namespace, but neither change
// another account's namespace nor use its pool.
func (c *customersTest) checkNamespaceIsolation() {
	c.Helper()
	c.change(2, 2, `(namespace (account acme) (route closed (key ff) (refuse on) (advice 200ms)) (route rest (class lab) (pool a)))`, "active: version 3 at 5 of 5", "--key", c.key)
	for _, rejected := range []struct{ change, want string }{
		{`(namespace (account other) (route x (pool b)))`, "refused: by version 3 its grant is acme:admin, which is for acme and below"},
		{`(namespace (account acme) (route x (pool b)))`, "account acme may not use pool b"},
	} {
		if answer := putUntilAnswered(c.T, c.rig, 3, 3, rejected.change, "--key", c.key); !strings.Contains(answer, rejected.want) {
			c.Errorf("the change %s with acme's key is answered with %q, want %q", rejected.change, answer, rejected.want)
		}
	}
}

// reassignHostAndTenant reassigns the host a2 and the tenant t2 to the other customer while n4 is
// cut off and n3 is paused.
func (c *customersTest) reassignHostAndTenant() {
	c.Helper()
	reassigned := c.rulesOf(`(kinds a)`, `(kinds b) (hosts a2)`, "t1", "t2 t3")
	c.rig.SetCutOff(4, true)
	c.clients.paused[3].Store(true)
	c.rig.Procs[3].Signal(syscall.SIGSTOP)
	answer := make(chan string, 1)
	go func() { answer <- putRules(c.T, c.rig, 0, 3, reassigned) }()
	time.Sleep(1500 * time.Millisecond)
	c.rig.Procs[3].Signal(syscall.SIGCONT)
	c.clients.paused[3].Store(false)
	c.Logf("the reassignment is answered with %q", <-answer)
	c.change(0, 3, reassigned, "active: version 5 at")
	c.rig.SetCutOff(4, false)
	waitActive(c.T, c.rig, 0, 5, 5)
	time.Sleep(300 * time.Millisecond)
}

// checkAttempts checks in all processes' logs that attempts for a customer are only at that
// customer's hosts, and that no attempt at a2 for acme follows the first one for other.
func (c *customersTest) checkAttempts() {
	c.Helper()
	var all []attempt
	for _, p := range c.rig.Procs {
		all = append(all, attempts(c.T, p)...)
	}
	n := 0
	for _, a := range all {
		if a.version < "2" {
			continue // version 2 is the first with the customers' rules
		}
		n++
		if a.account == "acme" && a.host[0] != 'a' || a.account == "other" && a.host[0] != 'b' && a.host != "a2" {
			c.Errorf("by version %s an attempt for account %s is at host %s, want one of its own hosts", a.version, a.account, a.host)
		}
	}
	last, first := reassignmentTimes(all, "a2", "acme", "other")
	if first.IsZero() || !last.Before(first) {
		c.Errorf("attempts at a2: the last for acme at %v, the first for other at %v; want one for other, after all for acme", last, first)
	}
	c.Logf("%d attempts, %d requests served; no attempt at a2 for %v", n, c.clients.served.Load(), first.Sub(last))
	if n < 100 {
		c.Errorf("%d attempts, want 100 or more", n)
	}
}

// checkHistory checks the audit log of acme and the difference between two versions.
func (c *customersTest) checkHistory() {
	c.Helper()
	for _, query := range []struct {
		args []string
		want string
	}{
		{[]string{"rules", "history", "--account", "acme"}, "acme:admin  namespace acme"},
		{[]string{"rules", "diff", "3", "0"}, `+ (pool "b" (hosts "a2") (kinds "b"))`},
	} {
		if out, status := command(c.T, append(query.args, "--socket", c.socket(1))...); status != 0 || !strings.Contains(out, query.want) {
			c.Errorf("%v: exit status %d, want 0; want %q in\n%s", query.args, status, query.want, out)
		}
	}
}

// TestReassignment checks that reassignmentTimes finds an attempt for the old customer after the
// first one for the new customer.
func TestReassignment(t *testing.T) {
	at := time.Unix(1000, 0)
	last, first := reassignmentTimes([]attempt{{at, "acme", "h", "2"}, {at.Add(time.Second), "other", "h", "4"}, {at.Add(2 * time.Second), "acme", "h", "2"}}, "h", "acme", "other")
	if last.Before(first) {
		t.Fatalf("last attempt for acme at %v, first for other at %v; want the last after the first", last, first)
	}
}

// TestThreeCustomersExample checks that the example file is valid and that a fault in such a file
// is reported with its position.
func TestThreeCustomersExample(t *testing.T) {
	if out, status := command(t, "rules", "check", "../../../deploy/examples/three-customers.sexp"); status != 0 {
		t.Fatalf("rules check of the example: exit status %d, want 0; output %s", status, out)
	}
	invalid := filepath.Join(t.TempDir(), "bad.sexp")
	if err := os.WriteFile(invalid, []byte("(rules\n  (pool a (kinds m))\n  (route x (pool nowhere)))\n(namespace (account a))"), 0o600); err != nil {
		t.Fatal(err)
	}
	if out, status := command(t, "rules", "check", invalid); status != 1 || !strings.Contains(out, "bad.sexp:1:1: namespace: operators/x: there is no pool nowhere") {
		t.Fatalf("rules check of an invalid file: exit status %d, want 1 and the fault's position; output %s", status, out)
	}
}
