package balancer

import (
	"fmt"
	"testing"

	"croftlock/internal/balancer/stallgossip"
)

// TestFewGossipOfStalledHost: of sixteen balancers that see a host stall, few tell the others, and those then send
// elsewhere though they hold nothing there.
func TestFewGossipOfStalledHost(t *testing.T) {
	var all []*fake
	for me := 0; me < 80; me++ {
		cfg := settings()
		cfg.Instance, cfg.Instances, cfg.Zones, cfg.MayGossip = me, 80, []string{"a"}, true
		f := start(t, cfg, fleet(4)...)
		f.b.rng.Seed(int64(me))
		all = append(all, f)
	}
	for _, f := range all[:16] {
		f.b.ConnectionAdopted(f.now, Request{ID: "o", Tenant: -1}, "s01")
		f.b.Observe(f.now, "o", 0, ObservedLatency, 1000)
	}
	tells := 0
	for at := Time(0); at < 2*sec; at += 20 * ms { // a message takes 20 ms
		var told [][]byte
		for _, f := range all {
			f.run(20 * ms)
			told = append(told, f.peerMessages...)
			f.peerMessages = nil
		}
		for _, data := range told {
			stallgossip.Decode(data[:min(6, len(data))], func(stallgossip.Record) { tells++ })
		}
		for _, data := range told {
			for _, f := range all {
				f.b.PeerMessageReceived(f.now, 0, data)
			}
		}
	}
	if tells < 1 || tells > 4 {
		t.Errorf("%d of 16 told", tells)
	}
	for _, f := range all {
		f.b.PeerMessageReceived(f.now, 0, stallgossip.Append(nil, stallgossip.Record{Host: uint32(stableHash("s01")), Delay: 8})) // news, as each second
	}
	there := 0
	for _, f := range all[16:] {
		f.request("r")
		if f.last().host == "s01" {
			there++
		}
		f.establish("r")
	}
	if there > 3 {
		t.Errorf("%d of 64 that were told sent to the stalled host", there)
	}
}

// TestNoGossipWhereForbidden say nothing.
func TestNoGossipWhereForbidden(t *testing.T) {
	f := start(t, settings(), fleet(2)...)
	f.b.ConnectionAdopted(f.now, Request{ID: "o", Tenant: -1}, "s01")
	f.b.Observe(f.now, "o", 0, ObservedLatency, 1000)
	f.run(5 * sec)
	if len(f.peerMessages) > 0 {
		t.Fatal("told")
	}
}

// FuzzStallGossip: whatever comes, the module stays whole and believes in no delay that can't be said.
func FuzzStallGossip(f *testing.F) {
	f.Add([]byte{})
	f.Add(stallgossip.Append(nil, stallgossip.Record{Host: uint32(stableHash("s01")), Delay: 3}))
	f.Add(append(stallgossip.Append(nil, stallgossip.Record{Host: 1, Delay: 3}), 9, 9, 9, 9, 9, 9))
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, data []byte) {
		x := start(t, settings(), fleet(3)...)
		x.b.PeerMessageReceived(x.now, 1, data)
		for _, s := range x.b.hosts {
			if s.messages.delay < 0 || s.messages.delay > 64 {
				t.Errorf("%s: %v", s.hostID, s.messages.delay)
			}
		}
		x.request("q")
		if len(x.attemptsStarted) != 1 {
			t.Errorf("%s", fmt.Sprint(x.trace))
		}
	})
}
