package command

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"croftlock/internal/testbed/experiment"
	"croftlock/internal/testbed/fake"
)

// customers are five processes before four hosts of two kinds.
func customers(t *testing.T) (*experiment.Rig, map[string]*fake.Server) {
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
	rigs <- struct{}{}
	t.Cleanup(func() { <-rigs })
	r, err := experiment.NewRigWith(&experiment.Env{Croftlock: os.Args[0], Dir: t.TempDir()}, experiment.RigOptions{Processes: 5, Seed: 9, Key: "0123456789abcdef0123456789abcdef", Level: "debug", Discovery: d,
		Sections: `(owners (on on) (voters "n0 n1 n2") (rules on) (agree_within 1s) (socket "DIR/owners.sock"))`, Env: []string{"CROFTLOCK_TEST_RUN=1"}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r, hosts
}

// TestNamespacesAmongProcesses: two customers on pools of their own; a host and a tenant change hands while one process is cut off and one sleeps.
// Nobody is sent to another's host, nothing belongs to two at once, standing connections stay, and a customer's administrator changes its own routes alone.
func TestNamespacesAmongProcesses(t *testing.T) {
	t.Parallel()
	r, hosts := customers(t)
	stands(t, r, 0, 0, 5)
	key, public := keyFile(t)
	change := func(i, against int, text, want string, more ...string) {
		t.Helper()
		got := ""
		if _, ok := experiment.Until(ownersPatience, func() bool { got = propose(t, r, i, against, text, more...); return strings.Contains(got, want) }); !ok {
			t.Fatalf("against version %d: %q, expected %q", against, got, want)
		}
	}
	book := func(a, b, acme, other string) string {
		return fmt.Sprintf(`(rules (pool a %s) (pool b %s) (account acme (tenants %q) (pools a) (grant admin (key %q) (verbs route))) (account other (tenants %q) (pools b)))`,
			a, b, acme, public, other)
	}
	change(1, 0, book(`(kinds a)`, `(kinds b)`, "t1 t2", "t3"), "active: version 2 at 5 of 5")

	// Requests of each tenant at every process all the time.
	var quit atomic.Bool
	var unanswered, served atomic.Int64
	var wg sync.WaitGroup
	stopped := make([]atomic.Bool, 5)
	for i := range r.Procs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; !quit.Load(); n++ {
				if !stopped[i].Load() {
					c, a, _ := fake.Open(r.Procs[i].Addr, "lab", fmt.Sprintf("t=t%d", n%3+1), 400*time.Millisecond)
					if c != nil {
						served.Add(1)
						c.Close()
					}
					if a.Kind == "NONE" && !stopped[i].Load() {
						unanswered.Add(1)
					}
				}
				time.Sleep(15 * time.Millisecond)
			}
		}()
	}
	// A connection of acme's at a2 stands through all that follows.
	var standing *fake.Client
	if _, ok := experiment.Until(ownersPatience, func() bool {
		before := hosts["a2"].Established()
		c, _, _ := fake.Open(r.Procs[0].Addr, "lab", "t=t1", time.Second)
		if c == nil {
			return false
		}
		out, _ := command(t, "rules", "explain", "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=lab,t=t1", "--socket", filepath.Join(r.Dir(0), "owners.sock"))
		if !strings.Contains(out, "account acme") || !strings.Contains(out, "pool a") {
			t.Errorf("explained: %q", out)
		}
		if hosts["a2"].Established() > before {
			standing = c
			return true
		}
		c.Close()
		return false
	}); !ok {
		t.Fatal("no connection stands at a2")
	}

	// The customer's own change, and what its key does not cover.
	change(2, 2, `(namespace (account acme) (route closed (key ff) (refuse on) (advice 200ms)) (route rest (class lab) (pool a)))`, "active: version 3 at 5 of 5", "--key", key)
	if got := answered(t, r, 3, 3, `(namespace (account other) (route x (pool b)))`, "--key", key); !strings.Contains(got, "refused: by version 3 its grant is acme:admin, which is for acme and below") {
		t.Errorf("another's namespace: %q", got)
	}
	if got := answered(t, r, 3, 3, `(namespace (account acme) (route x (pool b)))`, "--key", key); !strings.Contains(got, "account acme may not use pool b") {
		t.Errorf("another's pool: %q", got)
	}

	// a2 and the tenant t2 change hands, while one process is cut off and another sleeps.
	r.Cut(4, true)
	stopped[3].Store(true)
	r.Procs[3].Signal(syscall.SIGSTOP)
	moved := make(chan string, 1)
	go func() {
		moved <- propose(t, r, 0, 3, book(`(kinds a)`, `(kinds b) (hosts a2)`, "t1", "t2 t3"))
	}()
	time.Sleep(1500 * time.Millisecond)
	r.Procs[3].Signal(syscall.SIGCONT)
	stopped[3].Store(false)
	t.Logf("moved: %q", <-moved)
	change(0, 3, book(`(kinds a)`, `(kinds b) (hosts a2)`, "t1", "t2 t3"), "active: version 5 at")
	r.Cut(4, false)
	stands(t, r, 0, 5, 5)
	time.Sleep(300 * time.Millisecond)
	if _, moved, err := standing.Exchange("still there", time.Second); moved || err != nil {
		t.Errorf("the connection that stood at a2: moved=%t %v", moved, err)
	}
	quit.Store(true)
	wg.Wait()

	var all []made
	for _, p := range r.Procs {
		all = append(all, attempts(t, p)...)
	}
	n := 0
	for _, m := range all {
		if m.version < "2" {
			continue // there were no customers yet
		}
		n++
		if m.account == "acme" && m.host[0] != 'a' || m.account == "other" && m.host[0] != 'b' && m.host != "a2" {
			t.Errorf("%s was sent to %s by version %s", m.account, m.host, m.version)
		}
	}
	last, first := handed(all, "a2", "acme", "other")
	if first.IsZero() || !last.Before(first) {
		t.Errorf("a2: last for acme at %v, first for other at %v", last, first)
	}
	t.Logf("%d attempts, %d served; a2 was nobody's for %v", n, served.Load(), first.Sub(last))
	if n < 100 || unanswered.Load() > 0 {
		t.Errorf("%d attempts, %d requests without an answer", n, unanswered.Load())
	}
	out, code := command(t, "rules", "history", "--account", "acme", "--socket", filepath.Join(r.Dir(1), "owners.sock"))
	if code != 0 || !strings.Contains(out, "acme:admin  namespace acme") {
		t.Errorf("%d %s", code, out)
	}
	out, code = command(t, "rules", "diff", "3", "0", "--socket", filepath.Join(r.Dir(1), "owners.sock"))
	if code != 0 || !strings.Contains(out, `+ (pool "b" (hosts "a2") (kinds "b"))`) {
		t.Errorf("%d %s", code, out)
	}
}

// TestTheCheckerFindsAHostOfTwo: in attempts where two have a host at once it is found.
func TestTheCheckerFindsAHostOfTwo(t *testing.T) {
	at := time.Unix(1000, 0)
	last, first := handed([]made{{at, "acme", "h", "2"}, {at.Add(time.Second), "other", "h", "4"}, {at.Add(2 * time.Second), "acme", "h", "2"}}, "h", "acme", "other")
	if last.Before(first) {
		t.Fatalf("%v before %v", last, first)
	}
}

func TestTheExampleOfThreeCustomers(t *testing.T) {
	if out, code := command(t, "rules", "check", "../../../deploy/examples/three-customers.sexp"); code != 0 {
		t.Fatalf("%d %s", code, out)
	}
	p := filepath.Join(t.TempDir(), "bad.sexp")
	if err := os.WriteFile(p, []byte("(rules\n  (pool a (kinds m))\n  (route x (pool nowhere)))\n(namespace (account a))"), 0o600); err != nil {
		t.Fatal(err)
	}
	if out, code := command(t, "rules", "check", p); code != 1 || !strings.Contains(out, "bad.sexp:1:1: namespace: operators/x: there is no pool nowhere") {
		t.Fatalf("%d %s", code, out)
	}
}
