package experiment

import (
	"fmt"
	"strings"
	"time"
)

// demo is the shortest way to see the program at work: one proxy, three hosts of which one drains, and clients.
func demo(e *Env, r *Report) error {
	u, err := newUpstreams(e, 3, false)
	if err != nil {
		return err
	}
	defer u.close()
	p, err := e.Proxy(Setup{Name: "demo", Discovery: u.discovery.Addr(), Known: u.discovery.List()})
	if err != nil {
		return err
	}
	e.Logf("proxy on %s, discovery on %s, servers on %s %s %s", p.Addr, u.discovery.Addr(), u.servers[0].Addr(),
		u.servers[1].Addr(), u.servers[2].Addr())
	c := &standingClients{answers: newAnswerCounts(), interval: 200 * time.Millisecond}
	const clients = 60
	if err := c.connect(p.Addr, clients, "", 2*time.Second); err != nil {
		return err
	}
	e.Logf("60 clients are served; one of the servers drains")
	time.Sleep(1500 * time.Millisecond)
	u.discovery.SetState("s1", "draining")
	time.Sleep(300 * time.Millisecond)
	u.servers[0].Drain()
	time.Sleep(2 * time.Second)
	standing := 0
	r.Columns("servers", "server", "opened", "standing")
	for _, s := range u.servers {
		all, _ := s.Requests()
		r.Row("servers", s.UID, all, s.Established())
		standing += s.Established()
	}
	lines := c.between(r.Began, time.Now())
	c.end()
	err = p.Stop()
	r.Check(err == nil, "the proxy ended in order on SIGTERM", fmt.Sprint(err))
	r.Check(standing == clients, "all clients are standing after the drain", standing)
	r.Check(len(c.lost) == 0, "no connection was lost", strings.Join(c.lost, "; "))
	r.Set("clients", clients)
	r.Set("moved", c.moved)
	r.Set("lines", len(lines))
	r.Set("line_ms_median", lines.median())
	return nil
}
