package experiment

import (
	"fmt"
	"strings"
	"time"
)

// demo shows the program at work: one proxy, three hosts of which one drains, and clients.
func demo(e *Env, r *Report) error {
	u, err := newUpstreams(e, 3, false)
	if err != nil {
		return err
	}
	defer u.close()
	p, err := e.Proxy(Setup{Name: "demo", Discovery: u.discovery.Addr(), InitialList: u.discovery.List()})
	if err != nil {
		return err
	}
	e.Logf("proxy on %s, discovery on %s, hosts on %s %s %s", p.Addr, u.discovery.Addr(), u.servers[0].Addr(),
		u.servers[1].Addr(), u.servers[2].Addr())
	c := &persistentClients{answers: newAnswerCounts(), interval: 200 * time.Millisecond}
	const clients = 60
	if err := c.connect(p.Addr, clients, "", 2*time.Second); err != nil {
		return err
	}
	e.Logf("%d clients are served; host s1 drains", clients)
	time.Sleep(1500 * time.Millisecond)
	u.discovery.SetState("s1", "draining")
	time.Sleep(300 * time.Millisecond)
	u.servers[0].Drain()
	time.Sleep(2 * time.Second)
	established := 0
	r.StartTable("hosts", "host", "requests", "established")
	for _, s := range u.servers {
		all, _ := s.Requests()
		r.AddRow("hosts", s.UID, all, s.Established())
		established += s.Established()
	}
	lines := c.latenciesBetween(r.Began, time.Now())
	c.stop()
	err = p.Stop()
	r.Check(err == nil, "the proxy shut down on SIGTERM without an error", fmt.Sprint(err))
	r.Check(established == clients, "all clients are connected after the drain", established)
	r.Check(len(c.lost) == 0, "no connection was lost", strings.Join(c.lost, "; "))
	r.AddValue("clients", clients)
	r.AddValue("migrated", c.migrations)
	r.AddValue("lines", len(lines))
	r.AddValue("line_ms_median", lines.median())
	return nil
}
