package node

import (
	"math/rand/v2"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/dataplane/proxy"
	"croftlock/internal/fleet/membership"
	"croftlock/internal/fleet/watermark"
)

// startWatermarks starts the exchange of watermarks and connects it to the core. A watermark tells
// members with an older endpoint list which hosts are draining or gone. Until the member agent runs, the
// exchange sends and receives nothing. startWatermarks does nothing if watermarks are disabled.
func (p *process) startWatermarks() {
	f := &p.fleet
	if !f.watermarkOptions.Enabled || !f.memberOptions.Enabled {
		return
	}
	f.watermarks = &watermark.Link{
		Transport:    memberTransport{f},
		Clock:        loopClock{p.loop},
		Rand:         rand.New(rand.NewPCG(rand.Uint64(), 1)),
		RefetchAfter: f.watermarkOptions.RefetchAfter,
		RefetchList:  p.discovery.FetchList,
		HostsChanged: p.core.WatermarksChanged,
		Source:       p.watermarkSource,
	}
	f.watermarks.Run()
	_, revision := p.discovery.Source()
	p.core.SetWatermarks(coreWatermarks{f.watermarks}, revision)
}

// attachWatermarks makes a member agent that has just started pass other members' watermarks to the
// exchange.
func (f *fleet) attachWatermarks() {
	if f.watermarks != nil {
		f.members.Attach(watermark.PayloadChannel, f.watermarks.Receive)
	}
}

// receivedWatermarks returns the watermarks to hand over to the next process, or nil if there are none.
func (f *fleet) receivedWatermarks() *watermark.Received {
	if f.watermarks == nil {
		return nil
	}
	return f.watermarks.Received()
}

// restoreWatermarks adds the watermarks that another process of this proxy has received. received may be
// nil.
func (f *fleet) restoreWatermarks(received *watermark.Received) {
	if f.watermarks != nil {
		f.watermarks.Restore(received)
	}
}

// watermarkSource returns an ID of the discovery service whose list revisions the watermarks
// contain. The ID is derived from the name in the settings, or from the discovery address if no name
// is set.
func (p *process) watermarkSource() uint32 {
	name := p.fleet.watermarkOptions.Source
	if addr, _ := p.discovery.Source(); name == "" {
		name = addr
	}
	return membership.ID(name)
}

// loopClock adapts the event loop to the clock that a watermark link requires.
type loopClock struct{ *netio.Loop }

// After calls f on the loop after d.
func (c loopClock) After(d time.Duration, f func()) { c.Loop.After(d, f) }

// memberTransport sends watermarks to other members through the member agent, if it runs.
type memberTransport struct{ *fleet }

// SendPayload sends data to a member.
func (t memberTransport) SendPayload(member uint32, channel byte, data []byte) {
	if t.members != nil {
		t.members.SendPayload(member, channel, data)
	}
}

// MaxPayload returns the length of the longest datagram in bytes.
func (t memberTransport) MaxPayload() int {
	if t.members == nil {
		return membership.MaxPayload(membership.SealLength)
	}
	return t.members.MaxPayload()
}

// Others returns the IDs of the members that may be alive. These include suspects: a suspect does not
// answer, but may still receive.
func (t memberTransport) Others() (out []uint32) {
	if t.members == nil {
		return nil
	}
	for _, m := range t.members.View() {
		if m.State == "alive" || m.State == "suspect" {
			out = append(out, m.ID)
		}
	}
	return out
}

// coreWatermarks adapts a watermark link to the core. The link's times are in milliseconds, the
// core's in nanoseconds.
type coreWatermarks struct{ *watermark.Link }

var _ proxy.Watermarks = coreWatermarks{}

// watermarkStates maps the states of hosts to the states in watermarks.
var watermarkStates = map[balancer.HostState]watermark.State{balancer.Ready: watermark.Up, balancer.Draining: watermark.Draining, balancer.Removed: watermark.Gone}

// ListUpdated passes a change of this process's endpoint list to the watermark link. It returns the
// IDs of the hosts for which a watermark begins or ceases to take effect.
func (w coreWatermarks) ListUpdated(event proxy.WatchEvent) []string {
	listed := make([]watermark.ListedHost, 0, len(event.Hosts))
	for _, host := range event.Hosts {
		listed = append(listed, watermark.ListedHost{Host: host.ID, StartedAt: host.StartedAt / 1e6, State: watermarkStates[host.State]})
	}
	return w.ReceiveList(event.Version, event.Kind == balancer.ListFull || event.Kind == balancer.ListCached, listed)
}

// Blocks reports whether, according to other members' newer endpoint lists, the host id that started
// at ns (Unix time in nanoseconds) must not receive requests.
func (w coreWatermarks) Blocks(id string, ns balancer.Time) bool { return w.Link.Blocks(id, ns/1e6) }
