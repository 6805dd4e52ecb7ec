package experiment

import (
	"fmt"
	"strings"
	"time"
)

// demo runs one proxy with clients and three hosts, of which one drains.
func demo(e *Env, r *Report) error {
	upstreams, err := newUpstreams(e, 3, false)
	if err != nil {
		return err
	}
	defer upstreams.close()
	proxy, err := e.Proxy(Setup{Name: "demo", Discovery: upstreams.discovery.Addr(), InitialList: upstreams.discovery.List()})
	if err != nil {
		return err
	}
	e.Logf("proxy on %s, discovery on %s, hosts on %s %s %s", proxy.Addr, upstreams.discovery.Addr(), upstreams.servers[0].Addr(),
		upstreams.servers[1].Addr(), upstreams.servers[2].Addr())
	persistent := &persistentClients{answers: newAnswerCounts(), interval: 200 * time.Millisecond}
	const clients = 60
	if err := persistent.connect(proxy.Addr, clients, "", 2*time.Second); err != nil {
		return err
	}
	e.Logf("%d clients are served; host s1 drains", clients)
	time.Sleep(1500 * time.Millisecond)
	upstreams.discovery.SetState("s1", "draining")
	time.Sleep(300 * time.Millisecond)
	upstreams.servers[0].Drain()
	time.Sleep(2 * time.Second)
	established := 0
	r.StartTable("hosts", "host", "requests", "established")
	for _, s := range upstreams.servers {
		all, _ := s.Requests()
		r.AddRow("hosts", s.UID, all, s.Established())
		established += s.Established()
	}
	lines := persistent.latenciesBetween(r.StartedAt, time.Now())
	persistent.stop()
	err = proxy.Stop()
	r.Check(err == nil, "the proxy shut down on SIGTERM without an error", fmt.Sprint(err))
	r.Check(established == clients, "all clients are connected after the drain", established)
	r.Check(len(persistent.lost) == 0, "no connection was lost", strings.Join(persistent.lost, "; "))
	r.AddValue("clients", clients)
	r.AddValue("migrated", persistent.migrations)
	r.AddValue("lines", len(lines))
	r.AddValue("line_ms_median", lines.median())
	return nil
}
