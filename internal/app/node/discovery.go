package node

import (
	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/proxy"
)

// listReceived applies a watch event. A new process that waits for its own list begins to take
// over. An old process sends its list to the new one.
func (p *process) listReceived(event proxy.WatchEvent) {
	p.core.ListReceived(event)
	if event.Kind == balancer.ListFailed {
		return
	}
	p.becomeTakingOver()
	if p.restart.partner != nil && p.restart.isOld && len(event.Hosts) > 0 {
		// Sent at once: this process may end before the new one has its own list.
		s := p.snapshot(false)
		p.restart.partner.SendListChanged(&proxy.Snapshot{WrittenAt: s.WrittenAt, Discovery: s.Discovery, Revision: s.Revision, Hosts: s.Hosts})
	}
}

// redirect changes the address of the discovery service. It may be called from any goroutine.
func (p *process) redirect(discovery string) {
	p.loop.Post(func() { p.discovery.Redirect(discovery) })
}
