package node

import (
	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/proxy"
)

// listReceived applies a watch event. A list also shows that discovery reaches this process, which a hot restart waits for.
func (p *process) listReceived(ch proxy.Change) {
	p.core.ListReceived(ch)
	if ch.Kind == balancer.ListFailed {
		return
	}
	p.becomeTakingOver()
	if p.restart.partner != nil && p.restart.isOld && len(ch.Hosts) > 0 { // also before it has taken over: this one may be gone by then
		s := p.snapshot(false)
		p.restart.partner.ListChanged(&proxy.Snapshot{WrittenAt: s.WrittenAt, Discovery: s.Discovery, Revision: s.Revision, Hosts: s.Hosts})
	}
}

// redirect follows another discovery service from now on. It may be called on any goroutine.
func (p *process) redirect(discovery string) {
	p.loop.Post(func() { p.discovery.Redirect(discovery) })
}
