package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// refusedTenant is the tenant whose requests the agreed rules refuse; allowedTenant is another one.
const refusedTenant, allowedTenant = "kirtipur-branch", "central-library"

// agreedRules is the operators' file of rules.
const agreedRules = "(rules (refuse closed (tenant kirtipur-branch) (advice 1s)))\n"

// platformLinkSettings is deploy/examples/rules.sexp with the platform's own link between the proxies (peers of the configuration),
// and without the report of the members.
func platformLinkSettings(int) string {
	return `(log (format text) (level info))
(membership (on on) (fleet "valley") (base 3))
(owners (on on) (group "valley") (voters "proxy-1 proxy-2 proxy-3") (hosts on) (pace 20) (rules on) (agree_within 3s) (when_cut refuse)
  (socket "DIR/owners.sock"))
`
}

// exampleSettings returns deploy/examples/rules.sexp with free addresses: members have a link of their own.
func exampleSettings(extra string) func(i int) string {
	var addresses []string
	for range 3 {
		addresses = append(addresses, freePort("udp"))
	}
	return func(i int) string {
		return fmt.Sprintf(`(log (format text) (level info))
(membership (on on) (fleet "valley") (listen %q) (peers %q) (base 3) (socket "DIR/members.sock"))
(owners (on on) (group "valley") (voters "proxy-1 proxy-2 proxy-3") (hosts on) (pace 20) %s (socket "DIR/owners.sock"))
`, addresses[i], strings.Join(addresses, " "), extra)
	}
}

// newFleet starts catalogue servers, discovery and three proxies.
func newFleet(p *platform, settings func(int) string, uids ...string) (*servers, []*proxy, error) {
	s, err := newServers(p.rec, uids...)
	if err != nil {
		return nil, nil, err
	}
	d, err := newDiscovery(p.rec, s.entries)
	if err != nil {
		return nil, nil, err
	}
	proxies, err := p.newProxies(3, d, settings)
	if err != nil {
		return nil, nil, err
	}
	for _, x := range proxies {
		if err := x.startFirst(); err != nil {
			return nil, nil, err
		}
	}
	return s, proxies, nil
}

// served is a request of a client and its answer.
type served struct {
	id, tenant, proxy, answer string
	sentAt                    time.Time
}

// load sends requests of both tenants to a proxy each 25 ms until stop is closed. Each client leaves half a second after UP.
func load(rec *record, x *proxy, tenants []string, stop chan struct{}, wg *sync.WaitGroup, book func(served)) {
	defer wg.Done()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(25 * time.Millisecond):
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			q := served{id: newID(), tenant: tenants[i%len(tenants)], proxy: x.name, sentAt: time.Now()}
			c, answer := open(x.listen, openLine(q.id, q.tenant, 2*time.Second), 2*time.Second)
			q.answer = answer
			rec.add("client at %s id=%s t=%s sent %d ms ago, answer %q", x.name, q.id, q.tenant, time.Since(q.sentAt).Milliseconds(), answer)
			book(q)
			if c != nil {
				if strings.HasPrefix(answer, "UP ") {
					time.Sleep(500 * time.Millisecond)
				}
				c.conn.Close()
			}
		}()
	}
}

// rulesCase: three proxies agree on rules that refuse a tenant; then the process of one proxy is replaced while it serves.
func rulesCase(p *platform, trouble bool) (broken bool, err error) {
	settings := platformLinkSettings
	if os.Getenv("LINK") == "own" {
		settings = exampleSettings("(rules on) (agree_within 3s) (when_cut refuse)")
	}
	s, proxies, err := newFleet(p, settings, "s1", "s2", "s3")
	if err != nil {
		return false, err
	}
	file := filepath.Join(p.dir, "rules.sexp")
	if err := os.WriteFile(file, []byte(agreedRules), 0o600); err != nil {
		return false, err
	}
	active := false
	for end := time.Now().Add(25 * time.Second); !active && time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		answer := proxies[0].command("rules", "put", file, "--against", "0")
		active = strings.HasPrefix(answer, "active: version 1 at 3 of 3") || strings.Contains(proxies[1].command("rules", "show"), "active: version 1 at 3 of 3")
	}
	if !active {
		return false, fmt.Errorf("the rules are not active at all three proxies")
	}
	time.Sleep(time.Second)
	var mu sync.Mutex
	var all []served
	stop, wg := make(chan struct{}), &sync.WaitGroup{}
	for _, x := range proxies {
		wg.Add(1)
		go load(p.rec, x, []string{refusedTenant, allowedTenant}, stop, wg, func(q served) { mu.Lock(); all = append(all, q); mu.Unlock() })
	}
	time.Sleep(5 * time.Second)
	first := proxies[0].current
	if trouble {
		if err := proxies[0].replace(nil); err != nil {
			return false, err
		}
	} else {
		time.Sleep(7 * time.Second)
	}
	time.Sleep(8 * time.Second)
	proxies[1].command("rules", "show")
	close(stop)
	wg.Wait()
	p.copyLog(first, "hot_restart", "rules_activated", "owners_off", "membership_delayed")
	p.copyLog(proxies[0].current, "hot_restart", "rules_activated", "owners_off", "membership_delayed")
	counts, lateness := map[string]int{}, 0.0
	var firstBroken time.Time
	for _, q := range all {
		kind, _, _ := strings.Cut(q.answer, " ")
		counts[q.proxy+" "+q.tenant+" "+kind]++
		if q.tenant == refusedTenant && kind == "UP" {
			broken = true
			if firstBroken.IsZero() || q.sentAt.Before(firstBroken) {
				firstBroken = q.sentAt
			}
		}
	}
	for _, q := range all {
		if q.tenant == refusedTenant && strings.HasPrefix(q.answer, "UP") {
			lateness = max(lateness, q.sentAt.Sub(firstBroken).Seconds())
		}
	}
	ran := 0
	for _, a := range s.attempts() {
		if a.tenant == refusedTenant {
			ran++
		}
	}
	for _, x := range proxies {
		for _, t := range []string{refusedTenant, allowedTenant} {
			for _, kind := range []string{"UP", "BUSY", "ERR", "", "unreachable"} {
				if n := counts[x.name+" "+t+" "+kind]; n > 0 {
					p.rec.say("%s t=%s: %d answered %q", x.name, t, n, kind)
				}
			}
		}
	}
	p.rec.say("requests of the refused tenant that a catalogue server ran: %d, over %.2f s", ran, lateness)
	return broken || ran > 0, nil
}
