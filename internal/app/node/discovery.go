package node

import (
	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/proxy"
)

// listReceived applies a watch event, which is an endpoint list from discovery or the failure to
// receive one. After a list, in a hot restart, a new process that waits for its own list begins to
// take over, and an old process sends the list to the new one unless it has no hosts.
func (p *process) listReceived(event proxy.WatchEvent) {
	p.core.ListReceived(event)
	if event.Kind == balancer.ListFailed {
		return
	}
	p.becomeTakingOver()
	if p.restart.partner != nil && p.restart.isOld && len(event.Hosts) > 0 {
		// This process may end before the new one has its own list.
		s := p.snapshot(false)
		p.restart.partner.SendListChanged(&proxy.Snapshot{WrittenAt: s.WrittenAt, Discovery: s.Discovery, Revision: s.Revision, Hosts: s.Hosts})
	}
}

// redirect sets the address (host:port) of the discovery service, also at the new process of a hot
// restart. It may be called from any goroutine.
func (p *process) redirect(discovery string) {
	p.loop.Post(func() {
		p.discovery.Redirect(discovery)
		if p.restart.partner != nil && p.restart.isOld {
			s := p.snapshot(false)
			p.restart.partner.SendListChanged(&proxy.Snapshot{WrittenAt: s.WrittenAt, Discovery: s.Discovery, StartDiscovery: s.StartDiscovery, Revision: s.Revision})
		}
	})
}
