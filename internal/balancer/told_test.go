package balancer

import (
	"fmt"
	"testing"
)

// TestFewTellOfAStalledServer: of sixteen balancers that see a server stall, few tell the others, and those then send
// elsewhere though they hold nothing there.
func TestFewTellOfAStalledServer(t *testing.T) {
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
			told = append(told, f.told...)
			f.told = nil
		}
		for _, data := range told {
			if data[0] == toldSlow {
				tells++
			}
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
		f.b.PeerMessageReceived(f.now, 0, appendTold(nil, uint32(hash("s01")), 8)) // news, as each second
	}
	there := 0
	for _, f := range all[16:] {
		f.request("r")
		if f.last().server == "s01" {
			there++
		}
		f.stands("r")
	}
	if there > 3 {
		t.Errorf("%d of 64 that were told sent to the stalled server", there)
	}
}

// TestPeersThatMayNotTell say nothing.
func TestPeersThatMayNotTell(t *testing.T) {
	f := start(t, settings(), fleet(2)...)
	f.b.ConnectionAdopted(f.now, Request{ID: "o", Tenant: -1}, "s01")
	f.b.Observe(f.now, "o", 0, ObservedLatency, 1000)
	f.run(5 * sec)
	if len(f.told) > 0 {
		t.Fatal("told")
	}
}

func TestTold(t *testing.T) {
	var data []byte
	for i := 0; i < 100; i++ {
		data = appendTold(data, uint32(i), float64(i))
	}
	if len(data) > 256 {
		t.Fatalf("%d bytes in a message", len(data))
	}
	n := 0
	readTold(data, func(server uint32, x float64) {
		if server != uint32(n) || x != min(255.0/4, float64(n)) {
			t.Errorf("record %d: %d %v", n, server, x)
		}
		n++
	})
	if n != toldMost {
		t.Errorf("%d records", n)
	}
}

// FuzzTold: whatever comes, the module stays whole and believes in no delay that can't be said.
func FuzzTold(f *testing.F) {
	f.Add([]byte{})
	f.Add(appendTold(nil, uint32(hash("s01")), 3))
	f.Add(append(appendTold(nil, 1, 3), 9, 9, 9, 9, 9, 9))
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, data []byte) {
		x := start(t, settings(), fleet(3)...)
		x.b.PeerMessageReceived(x.now, 1, data)
		for _, s := range x.b.servers {
			if s.delay < 0 || s.delay > 64 {
				t.Errorf("%s: %v", s.id, s.delay)
			}
		}
		x.request("q")
		if len(x.sends) != 1 {
			t.Errorf("%s", fmt.Sprint(x.trace))
		}
	})
}
