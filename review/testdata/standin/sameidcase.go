package main

import (
	"fmt"
	"strings"
	"time"
)

// sameIDCase: the process of a proxy is replaced while clients have open connections; a bad client sends the id of one of them.
func sameIDCase(p *platform, trouble bool) (broken bool, err error) {
	s, err := newServers(p.rec, "s1", "s2", "s3")
	if err != nil {
		return false, err
	}
	d, err := newDiscovery(p.rec, s.entries)
	if err != nil {
		return false, err
	}
	proxies, err := p.newProxies(1, d, nil)
	if err != nil {
		return false, err
	}
	x := proxies[0]
	if err := x.startFirst(); err != nil {
		return false, err
	}
	const clients = 6
	var opened []*client
	for i := range clients {
		line := openLine(newID(), allowedTenant, 4*time.Second)
		c, answer := open(x.listen, line, 4*time.Second)
		p.rec.say("client %d sent %q, answer %q", i, line, answer)
		if c == nil || !strings.HasPrefix(answer, "UP ") {
			return false, fmt.Errorf("a client is not served before the disruption: %q", answer)
		}
		opened = append(opened, c)
	}
	talk := func(when string) {
		for i, c := range opened {
			answer, err := c.exchange("line "+when, 2*time.Second)
			p.rec.add("client %d id=%s sent a line %s, got %q, error %v", i, c.id, when, answer, err)
		}
	}
	talk("before")
	time.Sleep(2 * time.Second)
	talk("before")
	served := 0
	badClients := func(*process) {
		for i, c := range opened {
			line := openLine(c.id, allowedTenant, 4*time.Second)
			bad, answer := open(x.listen, line, 4*time.Second)
			p.rec.say("bad client sent the id of client %d's open request: %q, answer %q", i, line, answer)
			if strings.HasPrefix(answer, "UP") {
				served++
			}
			if bad != nil {
				time.Sleep(200 * time.Millisecond)
				bad.conn.Close()
			}
		}
		talk("after the bad clients")
	}
	if trouble {
		if err := x.replace(badClients); err != nil {
			return false, err
		}
	} else {
		badClients(nil)
	}
	time.Sleep(time.Second)
	talk("at the end")
	second := 0
	for _, a := range s.attempts() {
		if a.second != "" {
			second++
		}
	}
	p.rec.say("bad clients served in place of an error: %d of %d; attempts that came while an earlier one of the id was out: %d", served, clients, second)
	return served > 0 || second > 0, nil
}
