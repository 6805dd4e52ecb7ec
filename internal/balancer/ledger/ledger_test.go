package ledger

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

// However balancers tell, are lost and begin anew: a host holds the sum of what each was last known to hold,
// and nothing is under 0.
func TestPlacementsAreTheSum(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := NewPlacements()
		type key struct {
			peer          int
			server, group uint32
		}
		model := map[key]int{}
		for range rapid.IntRange(0, 80).Draw(rt, "steps") {
			k := key{rapid.IntRange(0, 3).Draw(rt, "peer"), rapid.Uint32Range(1, 3).Draw(rt, "server"), rapid.Uint32Range(1, 3).Draw(rt, "group")}
			if rapid.IntRange(0, 9).Draw(rt, "what") == 0 {
				p.Forget(k.peer)
				for x := range model {
					if x.peer == k.peer {
						delete(model, x)
					}
				}
				continue
			}
			n := rapid.IntRange(-127, 127).Draw(rt, "units")
			p.Add(k.peer, k.server, k.group, n)
			model[k] = max(0, model[k]+n)
		}
		for s := uint32(1); s <= 3; s++ {
			units, groups := 0, map[uint32]int{}
			for k, n := range model {
				if k.server == s && n > 0 {
					units += n
					groups[k.group] += n
				}
			}
			for g := uint32(1); g <= 3; g++ {
				load, n, holds := p.Load(s, g)
				if load != float64(units)/UnitsPerConnection || n != len(groups) || holds != (groups[g] > 0) {
					rt.Fatalf("host %d: %g of %d groups, group %d %t; expected %g of %d, %t", s, load, n, g, holds, float64(units)/UnitsPerConnection, len(groups), groups[g] > 0)
				}
			}
		}
	})
}

// What one balancer tells without end fills no memory, and leaves the others' counts as they are.
func TestPlacementsAreBounded(t *testing.T) {
	p := NewPlacements()
	p.Add(1, 1, 1, 8)
	for i := range uint32(3 * maxEntriesPerPeer) {
		p.Add(2, 1, i, 8)
	}
	if n := len(p.peers[2]); n > maxEntriesPerPeer {
		t.Errorf("%d entries of one balancer", n)
	}
	p.Forget(2)
	if load, groups, _ := p.Load(1, 1); load != 1 || groups != 1 {
		t.Errorf("%g of %d groups", load, groups)
	}
	for i := range uint32(3 * maxHosts) {
		p.Add(3, i, 1, 8)
		p.RecordGrant(5, Time(i))
	}
	if len(p.hosts) > maxHosts+1 || len(p.at(5).grants) > maxGrantsPerHost {
		t.Errorf("%d hosts, %d grants", len(p.hosts), len(p.at(5).grants))
	}
}

func TestGrantsInAWindow(t *testing.T) {
	p := NewPlacements()
	for _, at := range []Time{10, 20, 30, 40} {
		p.RecordGrant(7, at)
	}
	for since, want := range map[Time]int{0: 4, 20: 3, 25: 2, 41: 0} {
		if n := p.GrantsSince(7, since); n != want {
			t.Errorf("since %d: %d, expected %d", since, n, want)
		}
	}
}

// The first ledger server that answers is asked: past the misses the next one, after all nobody for a while,
// and an earlier one as soon as it is back.
func TestWhichServerIsAsked(t *testing.T) {
	d := NewClient(300)
	if got := d.servers; len(got) != 8 || got[0] != 0 || got[1] != 37 || got[7] != 262 {
		t.Fatalf("ledger servers %v", got)
	}
	if !d.ServerSeen(0, 5) || d.ServerSeen(0, 5) || !d.ServerSeen(0, 6) || !d.Synced(1) {
		t.Error("a ledger server has to be told once, and again when it has begun anew")
	}
	now := Time(1e9)
	miss := func() { d.TimedOut(now, "r") }
	miss()
	d.ServerSeen(0, 6)
	miss()
	if d.Server(now) != 0 {
		t.Error("one miss between answers moves on")
	}
	miss()
	if d.Server(now) != 37 || d.Synced(now) {
		t.Errorf("after two misses %d is asked", d.Server(now))
	}
	if d.ServerSeen(150, 1) {
		t.Error("a later ledger server than the one that is asked has to be told")
	}
	if k := d.NextPoll(now + pollInterval); k != 0 {
		t.Errorf("looked for %d", k)
	}
	if d.NextPoll(now+pollInterval+1) >= 0 {
		t.Error("looked again at once")
	}
	if !d.ServerSeen(0, 6) || d.Server(now) != 0 {
		t.Error("the first one is back and not asked")
	}
	for range 2 * maxServers {
		miss()
	}
	if d.Server(now) >= 0 || d.Server(now+initialPause) != 0 {
		t.Errorf("after all have missed %d is asked, later %d", d.Server(now), d.Server(now+initialPause))
	}
	off := now + initialPause
	for i := range 6 {
		for range 2 * maxServers {
			d.TimedOut(off, "r")
		}
		next := off + 2*initialPause<<min(i, maxPauseDouble-1)
		if d.Server(next-1) >= 0 || d.Server(next) != 0 {
			t.Errorf("initialPause %d does not end after %g s", i+2, float64(next-off)/1e9)
		}
		off = next
	}
	if d.ServerSeen(0, 6); d.Server(off-1) != 0 {
		t.Error("not asked though it is heard")
	}
	if n := len(NewClient(2).servers); n != 2 {
		t.Errorf("%d ledger servers of two balancers", n)
	}
}

func TestPendingQueriesAreBounded(t *testing.T) {
	d := NewClient(9)
	first := d.Register(PendingQuery{Request: "a", SentAt: 0})
	for i := range 10 * maxPending {
		d.Register(PendingQuery{Request: "b", SentAt: Time(i) * 1e8})
	}
	if len(d.pending) > maxPending || d.Take(first) != nil {
		t.Errorf("%d asks kept", len(d.pending))
	}
	s := d.Register(PendingQuery{Request: "c", SentAt: 1})
	d.TimedOut(1, "c")
	if o := d.Take(s); o == nil || !o.Abandoned || d.Take(s) != nil {
		t.Errorf("%+v", o)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(Query{Seq: 513, Zone: 3, Retry: true, Units: 8, Group: GroupID(0x123456789abcdef0)}.Append(nil))
	f.Add(Reply{Seq: 7, Epoch: 9, Host: 0xdeadbeef}.Append(nil))
	f.Add(Entry{1, 2, -3}.Append(Entry{4, 5, 127}.Append(Sync{}.Append(nil))))
	f.Add(Entry{1, 2, 3}.Append(nil))
	f.Add(Announcement{Epoch: 3}.Append(nil))
	f.Add(Poll{}.Append(nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(data)
		if err != nil {
			return
		}
		back := m.Append(nil)
		if !bytes.Equal(back, data) {
			t.Fatalf("%x is read as %x", data, back)
		}
	})
}
