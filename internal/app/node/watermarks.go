package node

import (
	"math/rand/v2"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/dataplane/proxy"
	"croftlock/internal/fleet/memberagent"
	"croftlock/internal/fleet/membership"
	"croftlock/internal/fleet/watermark"
)

// startWatermarks begins to tell the other members of hosts that drain or are removed, and to go by what they tell, where the operators want
// it.
func (p *process) startWatermarks() {
	f := &p.fleet
	if !f.watermarkOptions.Enabled || f.members == nil {
		return
	}
	if f.watermarks != nil {
		f.watermarks.Close()
	}
	f.watermarks = &watermark.Link{
		Transport:    memberTransport{f.members},
		Clock:        loopClock{p.loop},
		Rand:         rand.New(rand.NewPCG(rand.Uint64(), 1)),
		RefetchAfter: f.watermarkOptions.RefetchAfter,
		RefetchList:  p.discovery.FetchList,
		Changed:      p.core.WatermarksChanged,
		Source:       p.watermarkSource,
	}
	f.watermarks.Run()
	f.members.Attach(watermark.CarrierID, f.watermarks.Receive)
	_, revision := p.discovery.Source()
	p.core.SetWatermarks(coreWatermarks{f.watermarks}, revision)
}

// watermarkSource identifies whose revisions the watermarks count: the name in the settings, or else discovery's address.
func (p *process) watermarkSource() uint32 {
	name := p.fleet.watermarkOptions.Source
	if addr, _ := p.discovery.Source(); name == "" {
		name = addr
	}
	return membership.ID(name)
}

// loopClock is the loop as a watermark link's clock.
type loopClock struct{ *netio.Loop }

// After calls f on the loop after d.
func (c loopClock) After(d time.Duration, f func()) { c.Loop.After(d, f) }

// memberTransport is the way between members.
type memberTransport struct{ *memberagent.Agent }

// Others are the members that may be there: one that does not answer may hear all the same.
func (w memberTransport) Others() (out []uint32) {
	for _, m := range w.View() {
		if m.State == "alive" || m.State == "suspect" {
			out = append(out, m.ID)
		}
	}
	return out
}

// coreWatermarks is a watermark link as the core knows it. The link's times are in milliseconds, the core's in nanoseconds.
type coreWatermarks struct{ *watermark.Link }

var _ proxy.Watermarks = coreWatermarks{}

// watermarkStates are the states of hosts as watermarks know them.
var watermarkStates = map[balancer.HostState]watermark.State{balancer.Ready: watermark.Up, balancer.Draining: watermark.Draining, balancer.Removed: watermark.Gone}

// Listed passes the own list's change on.
func (w coreWatermarks) Listed(ch proxy.Change) []string {
	all := make([]watermark.ListedHost, 0, len(ch.Hosts))
	for _, e := range ch.Hosts {
		all = append(all, watermark.ListedHost{Host: e.ID, StartedAt: e.StartedAt / 1e6, State: watermarkStates[e.State]})
	}
	return w.List(ch.Version, ch.Kind == balancer.ListFull || ch.Kind == balancer.ListCached, all)
}

// Out tells whether others' newer lists keep a host from getting anything new.
func (w coreWatermarks) Out(id string, since balancer.Time) bool { return w.Link.Out(id, since/1e6) }
