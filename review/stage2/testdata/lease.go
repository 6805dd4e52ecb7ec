package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// agreeWithin is the time of the settings within which all proxies act by one version of the rules.
const agreeWithin = 3 * time.Second

// joinFleet turns on membership, owners and rules at a proxy, as in deploy/examples/rules.sexp, over the platform's messages.
func joinFleet(p *proxySite) {
	p.file = filepath.Join(p.s.dir, p.name, "croftlock.sexp")
	text := fmt.Sprintf(`(log (format text) (level info))
(membership (on on) (fleet "valley") (base 3))
(owners (on on) (group "valley") (voters "n0 n1 n2") (hosts on) (rules on) (agree_within 3s) (when_cut refuse) (socket %q))
`, filepath.Join(p.s.dir, p.name, "owners.sock"))
	if err := os.WriteFile(p.file, []byte(text), 0o600); err != nil {
		p.s.cannotRun("%v", err)
	}
}

// command runs a sub-command of the program for a proxy, and returns what it prints.
func (p *proxySite) command(args ...string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(p.s.root, "bin", "croftlock"), append(args, "--settings", p.file)...)
	cmd.Dir = filepath.Join(p.s.dir, p.name)
	out, _ := cmd.CombinedOutput()
	return strings.TrimSpace(string(out))
}

// putRules puts a version of the rules in place of another one, and waits until the answer says that it is active.
func (p *proxySite) putRules(text string, against int) {
	file := filepath.Join(p.s.dir, fmt.Sprintf("rules%d.sexp", against+1))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		p.s.cannotRun("%v", err)
	}
	want := fmt.Sprintf("active: version %d", against+1)
	for range 40 {
		answer := p.command("rules", "put", file, "--against", fmt.Sprint(against))
		p.s.say("rules put --against %d: %s", against, answer)
		if strings.HasPrefix(answer, want) {
			return
		}
		if answer = p.command("rules", "show"); strings.HasPrefix(answer, want) {
			p.s.say("rules show: %s", answer)
			return
		}
		time.Sleep(250 * time.Millisecond)
	}
	p.s.cannotRun("version %d does not become active", against+1)
}

// endlessLease: one of three proxies is cut off while the others change the rules. Its process dies as it is replaced, and is replaced again.
func endlessLease(s *stage) bool {
	r := newRoster(s, 40)
	all := s.servers(4, r)
	known := r.whole()
	a := newDiscovery(s, "A", r)
	a.open()
	sites, m := s.fleet(a, known, joinFleet)
	time.Sleep(3 * time.Second)
	sites[0].putRules(`(rules (refuse closed (tenant bhaktapur-branch)))`, 0)
	for range 40 {
		if strings.HasPrefix(sites[0].command("rules", "show"), "active: version 1 at 3 of 3") {
			break
		}
		time.Sleep(250 * time.Millisecond)
	}
	s.say("rules show: %s", sites[0].command("rules", "show"))
	n2 := sites[2]
	changed := all[0].entry("up")
	changed.Weight = 1.1
	r.set(changed) // a change of the list, after which a proxy stores its state
	time.Sleep(3 * time.Second)
	clients := (&crowd{s: s, addrs: only(n2), tenant: "kirtipur-branch", stopped: make(chan struct{})}).start(10, 2*time.Second)
	time.Sleep(time.Second)
	next := n2.process
	if s.trouble {
		s.say("n2 is cut off from the other proxies")
		m.cut[2].Store(true)
		time.Sleep(time.Second)
		s.say("n2's process is killed as the next one is started")
		next.signal(syscall.SIGKILL)
		<-next.ended
		next = n2.start("n2 second")
		next.waitReady(6 * time.Second)
	} else {
		time.Sleep(time.Second)
		next, _ = n2.replace(next, "n2 second", nil)
	}
	sites[0].putRules(`(rules (refuse closed (tenant bhaktapur-branch)) (refuse moved (tenant kirtipur-branch)))`, 1)
	active := time.Now()
	time.Sleep(4 * time.Second)
	next, yes := n2.replace(next, "n2 third", nil)
	time.Sleep(10 * time.Second)
	m.cut[2].Store(false)
	s.say("the cut ends")
	time.Sleep(4 * time.Second)
	clients.stop()
	clients.summary()
	s.say("rules show: %s", sites[0].command("rules", "show"))
	from := active.Add(agreeWithin)
	clients.mu.Lock()
	defer clients.mu.Unlock()
	served := 0
	var first, last time.Time
	for _, o := range clients.outcomes {
		if strings.HasPrefix(o.answer, "UP ") && o.sentAt.After(from) {
			served++
			if first.IsZero() || o.sentAt.Before(first) {
				first = o.sentAt
			}
			if o.sentAt.After(last) {
				last = o.sentAt
			}
		}
	}
	s.say("requests of the refused tenant that were served later than %v after version 2 was active: %d", agreeWithin, served)
	if served > 0 {
		s.say("the first %.3f s after that answer, the last %.3f s; the third process said yes %.3f s after it", first.Sub(active).Seconds(), last.Sub(active).Seconds(), yes.Sub(active).Seconds())
	}
	return served > 0
}
