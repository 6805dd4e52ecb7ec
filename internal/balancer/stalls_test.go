package balancer

import (
	"testing"

	"croftlock/internal/balancer/stallgossip"
)

// TestFewGossipOfStalledHost checks that few of 16 balancers that see a host stall (delay messages)
// notify the others by gossip, and that the other balancers then avoid the host although they hold no
// connection there.
func TestFewGossipOfStalledHost(t *testing.T) {
	var balancers []*fake
	for instance := range 80 {
		cfg := settings()
		cfg.Instance, cfg.Instances, cfg.Zones, cfg.MayGossip = instance, 80, []string{"a"}, true
		f := start(t, cfg, fleet(4)...)
		f.b.rng.Seed(int64(instance))
		balancers = append(balancers, f)
	}
	for _, f := range balancers[:16] {
		f.b.ConnectionAdopted(f.now, Request{ID: "o", Tenant: -1}, "s01")
		f.b.Observe(f.now, "o", 0, ObservedLatency, 1000)
	}
	gossip := 0
	for at := Time(0); at < 2*sec; at += 20 * ms { // a message takes 20 ms
		var messages [][]byte
		for _, f := range balancers {
			f.run(20 * ms)
			messages = append(messages, f.peerMessages...)
			f.peerMessages = nil
		}
		for _, data := range messages {
			stallgossip.Decode(data[:min(6, len(data))], func(stallgossip.Record) { gossip++ })
		}
		for _, data := range messages {
			for _, f := range balancers {
				f.b.PeerMessageReceived(f.now, 0, data)
			}
		}
	}
	if gossip < 1 || gossip > 4 {
		t.Errorf("16 balancers that saw the stall sent %d messages, want 1 to 4", gossip)
	}
	for _, f := range balancers {
		f.b.PeerMessageReceived(f.now, 0, stallMessage("s01", 8))
	}
	attempts := 0
	for _, f := range balancers[16:] {
		f.request("r")
		if f.lastAttempt().host == "s01" {
			attempts++
		}
		f.establish("r")
	}
	if attempts > 3 {
		t.Errorf("%d of 64 balancers use the stalled host after they were notified, want at most 3", attempts)
	}
}

func TestNoGossipWhereForbidden(t *testing.T) {
	f := start(t, settings(), fleet(2)...)
	f.b.ConnectionAdopted(f.now, Request{ID: "o", Tenant: -1}, "s01")
	f.b.Observe(f.now, "o", 0, ObservedLatency, 1000)
	f.run(5 * sec)
	if n := len(f.peerMessages); n > 0 {
		t.Fatalf("%d messages to peers although gossip is forbidden, want none", n)
	}
}

// FuzzStallGossip checks that whatever message a balancer receives, it records no delay outside the
// range that messages can contain, and still places requests.
func FuzzStallGossip(f *testing.F) {
	f.Add([]byte{})
	f.Add(stallMessage("s01", 3))
	f.Add(append(stallgossip.Append(nil, stallgossip.Record{Host: 1, Delay: 3}), 9, 9, 9, 9, 9, 9))
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, data []byte) {
		x := start(t, settings(), fleet(3)...)
		x.b.PeerMessageReceived(x.now, 1, data)
		for _, h := range x.b.hosts {
			if h.messages.delay < 0 || h.messages.delay > 64 {
				t.Errorf("message %x: host %s has a delay of %v, want 0 to 64", data, h.hostID, h.messages.delay)
			}
		}
		x.request("q")
		if n := len(x.attemptsStarted); n != 1 {
			t.Errorf("message %x: %d attempts for one request, want 1: %v", data, n, x.trace)
		}
	})
}

// stallMessage returns a gossip message about one stalled host, given by its ID. delay is in shortest
// message latency objectives.
func stallMessage(host string, delay float64) []byte {
	return stallgossip.Append(nil, stallgossip.Record{Host: uint32(stableHash(host)), Delay: delay})
}
