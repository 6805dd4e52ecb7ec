package node

import (
	"testing"

	"croftlock/internal/dataplane/cluster"
	"croftlock/internal/dataplane/hotrestart"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/dataplane/proxy"
)

// TestNewProcessFollowsDiscovery guards against a new process that stays at a discovery that has been left: a
// reload moves discovery at the old process, also back to where it was, or to an address that neither knew.
func TestNewProcessFollowsDiscovery(t *testing.T) {
	p := newProcessWithList(t)
	p.discovery = cluster.NewClient(p.loop, netio.NewDialer(p.loop, 8), cluster.Options{Address: ownDiscovery, ProxyCount: 1, Revision: 7})
	p.restart.partner = &hotrestart.Partner{}
	p.restart.startDiscovery, p.restart.partnerDiscovery = ownDiscovery, ownDiscovery
	events := partnerEvents{p, p.restart.partner}
	for _, c := range []struct{ start, discovery, want string }{
		{"", ownDiscovery, ownDiscovery},
		{ownDiscovery, otherDiscovery, otherDiscovery},
		{"", ownDiscovery, ownDiscovery}, // back: the old process names no start address then
		{"127.0.0.1:4", otherDiscovery, otherDiscovery},
	} {
		events.ListChanged(&proxy.Snapshot{Discovery: c.discovery, StartDiscovery: c.start, Revision: -1})
		if got, _ := p.discovery.Source(); got != c.want {
			t.Errorf("after a message of discovery %s, started at %q: the new process is at %s, want %s", c.discovery, c.start, got, c.want)
		}
	}
	p.discovery.Redirect("127.0.0.1:5") // a reload of this process
	events.ListChanged(&proxy.Snapshot{Discovery: otherDiscovery, StartDiscovery: "127.0.0.1:4", Revision: -1})
	if got, _ := p.discovery.Source(); got != "127.0.0.1:5" {
		t.Errorf("a message without a move takes the new process to %s, want 127.0.0.1:5", got)
	}
}
