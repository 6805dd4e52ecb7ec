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

// lay begins to tell the other members of hosts that drain or are gone, and to go by what they tell, where the operators want it.
func (r *replacement) lay() {
	if !r.flooring.Enabled || r.members == nil {
		return
	}
	if r.floors != nil {
		r.floors.Close()
	}
	m := r.members
	r.floors = &watermark.Link{Transport: memberWay{m}, Clock: loopClock{r.loop}, Rand: rand.New(rand.NewPCG(rand.Uint64(), 1)), RefetchAfter: r.flooring.RefetchAfter, RefetchList: r.watch.FetchList, Changed: r.core.WatermarksChanged,
		Source: func() uint32 {
			name := r.flooring.Source
			if addr, _ := r.watch.Source(); name == "" {
				name = addr
			}
			return membership.ID(name)
		}}
	r.floors.Run()
	m.Attach(watermark.CarrierID, r.floors.Receive)
	_, rev := r.watch.Source()
	r.core.SetWatermarks(floorSide{r.floors}, rev)
}

type loopClock struct{ *netio.Loop }

func (c loopClock) After(d time.Duration, f func()) { c.Loop.After(d, f) }

// memberWay is the way between members.
type memberWay struct{ *memberagent.Agent }

// Others are the members that may be there: one that does not answer may hear all the same.
func (w memberWay) Others() (out []uint32) {
	for _, m := range w.View() {
		if m.State == "alive" || m.State == "suspect" {
			out = append(out, m.ID)
		}
	}
	return out
}

// floorSide gives the core what others' lists say.
type floorSide struct{ *watermark.Link }

// Listed is proxy.Floors'.
func (s floorSide) Listed(ch proxy.Change) []string {
	states := map[balancer.HostState]watermark.State{balancer.Ready: watermark.Up, balancer.Draining: watermark.Draining, balancer.Removed: watermark.Gone}
	all := make([]watermark.ListedHost, 0, len(ch.Hosts))
	for _, e := range ch.Hosts {
		all = append(all, watermark.ListedHost{Host: e.ID, StartedAt: e.StartedAt / 1e6, State: states[e.State]})
	}
	return s.List(ch.Version, ch.Kind == balancer.ListFull || ch.Kind == balancer.ListCached, all)
}

// Out is proxy.Floors'.
func (s floorSide) Out(id string, since balancer.Time) bool { return s.Link.Out(id, since/1e6) }
