package node

import (
	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/proxy"
)

// listReceived applies a watch event. A new process also waits for its first list before it takes over, and an old one passes its lists on.
func (p *process) listReceived(ch proxy.WatchEvent) {
	p.core.ListReceived(ch)
	if ch.Kind == balancer.ListFailed {
		return
	}
	p.becomeTakingOver()
	if p.restart.partner != nil && p.restart.isOld && len(ch.Hosts) > 0 { // at once: this process may have ended before the other one has its own list
		s := p.snapshot(false)
		p.restart.partner.SendListChanged(&proxy.Snapshot{WrittenAt: s.WrittenAt, Discovery: s.Discovery, Revision: s.Revision, Hosts: s.Hosts})
	}
}

// redirect changes to another discovery service. It may be called on any goroutine.
func (p *process) redirect(discovery string) {
	p.loop.Post(func() { p.discovery.Redirect(discovery) })
}
