package ledger

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

// TestPlacementsAreTheSum checks that the load of a host is the sum of the loads that the balancers
// have reported, whatever they report and whenever they restart, and that no load falls below 0.
func TestPlacementsAreTheSum(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := NewPlacements()
		type key struct {
			peer        int
			host, group uint32
		}
		model := map[key]int{}
		for range rapid.IntRange(0, 80).Draw(rt, "steps") {
			k := key{peer: rapid.IntRange(0, 3).Draw(rt, "peer"),
				host:  rapid.Uint32Range(1, 3).Draw(rt, "host"),
				group: rapid.Uint32Range(1, 3).Draw(rt, "group")}
			if rapid.IntRange(0, 9).Draw(rt, "action") == 0 {
				p.RemovePeer(k.peer)
				for x := range model {
					if x.peer == k.peer {
						delete(model, x)
					}
				}
				continue
			}
			n := rapid.IntRange(-127, 127).Draw(rt, "units")
			p.Add(k.peer, k.host, k.group, n)
			model[k] = max(0, model[k]+n)
		}
		for host := uint32(1); host <= 3; host++ {
			units, groups := 0, map[uint32]int{}
			for k, n := range model {
				if k.host == host && n > 0 {
					units += n
					groups[k.group] += n
				}
			}
			connections := float64(units) / UnitsPerConnection
			for group := uint32(1); group <= 3; group++ {
				load, n, holds := p.Load(host, group)
				if load != connections || n != len(groups) || holds != (groups[group] > 0) {
					rt.Fatalf("host %d: %g connections of %d groups, group %d %t; expected %g of %d, %t",
						host, load, n, group, holds, connections, len(groups), groups[group] > 0)
				}
			}
		}
	})
}

// TestPlacementsAreBounded checks that endless reports of one balancer do not exhaust the memory
// and leave the counts of the others unchanged.
func TestPlacementsAreBounded(t *testing.T) {
	p := NewPlacements()
	p.Add(1, 1, 1, 8)
	for i := range uint32(3 * maxEntriesPerPeer) {
		p.Add(2, 1, i, 8)
	}
	if n := len(p.peers[2]); n > maxEntriesPerPeer {
		t.Errorf("%d entries of one balancer, expected at most %d", n, maxEntriesPerPeer)
	}
	p.RemovePeer(2)
	if load, groups, _ := p.Load(1, 1); load != 1 || groups != 1 {
		t.Errorf("%g connections of %d groups, expected 1 of 1", load, groups)
	}
	for i := range uint32(3 * maxHosts) {
		p.Add(3, i, 1, 8)
		p.RecordAssignment(5, Time(i))
	}
	if len(p.hosts) > maxHosts+1 || len(p.placementsAt(5).assignments) > maxAssignmentsPerHost {
		t.Errorf("%d hosts, and %d assignments to one, expected at most %d and %d",
			len(p.hosts), len(p.placementsAt(5).assignments), maxHosts+1, maxAssignmentsPerHost)
	}
}

func TestAssignmentsInWindow(t *testing.T) {
	p := NewPlacements()
	for _, at := range []Time{10, 20, 30, 40} {
		p.RecordAssignment(7, at)
	}
	for since, want := range map[Time]int{0: 4, 20: 3, 25: 2, 41: 0} {
		if n := p.AssignmentsSince(7, since); n != want {
			t.Errorf("%d assignments since %d, expected %d", n, since, want)
		}
	}
}

// TestWhichServerIsQueried checks that the first ledger server that replies is queried. A query
// without a reply is a miss. After maxMisses the next server is queried, after misses of all servers
// none during a pause, and an earlier server as soon as it sends a message.
func TestWhichServerIsQueried(t *testing.T) {
	c := NewClient(300)
	if got := c.servers; len(got) != 8 || got[0] != 0 || got[1] != 37 || got[7] != 262 {
		t.Fatalf("ledger servers of 300 balancers are %v, expected 8 of them: 0, 37 to 262", got)
	}
	if !c.ServerMessageReceived(0, 5) || c.ServerMessageReceived(0, 5) ||
		!c.ServerMessageReceived(0, 6) || !c.ServerReachable(1) {
		t.Error("expected a sync at the first message, none at the second, and one with a new epoch")
	}
	now := Time(1e9)
	miss := func() { c.QueryTimedOut(now, "r") } // one query without a reply
	miss()
	c.ServerMessageReceived(0, 6)
	miss()
	if c.Server(now) != 0 {
		t.Errorf("ledger server %d is queried after single misses between replies, expected 0", c.Server(now))
	}
	miss()
	if c.Server(now) != 37 || c.ServerReachable(now) {
		t.Errorf("after two misses %d is queried, reachable %t, expected 37, false",
			c.Server(now), c.ServerReachable(now))
	}
	if c.ServerMessageReceived(150, 1) {
		t.Error("ServerMessageReceived(150, 1) = true for a later server than the current one, expected false")
	}
	if server := c.ServerToPoll(now + pollInterval); server != 0 {
		t.Errorf("ledger server %d is polled, expected 0", server)
	}
	if c.ServerToPoll(now+pollInterval+1) >= 0 {
		t.Error("a ledger server is polled again 1 ns after the last poll, expected none")
	}
	if !c.ServerMessageReceived(0, 6) || c.Server(now) != 0 {
		t.Errorf("ledger server %d is queried after a message from the first one, expected 0 and a sync",
			c.Server(now))
	}
	for range 2 * maxServers {
		miss()
	}
	if c.Server(now) >= 0 || c.Server(now+initialPause) != 0 {
		t.Errorf("after misses of all, %d is queried, after the pause %d, expected -1 and 0",
			c.Server(now), c.Server(now+initialPause))
	}
	checkPausesDouble(t, c, now+initialPause)
	if n := len(NewClient(2).servers); n != 2 {
		t.Errorf("%d ledger servers of two balancers, expected 2", n)
	}
}

// checkPausesDouble checks the pauses that follow a client's first one, which ends at pauseEnd:
// each is twice as long as the one before, up to a limit, and a message from a ledger server ends
// it.
func checkPausesDouble(t *testing.T, c *Client, pauseEnd Time) {
	t.Helper()
	for i := range 6 {
		for range 2 * maxServers {
			c.QueryTimedOut(pauseEnd, "r")
		}
		next := pauseEnd + 2*initialPause<<min(i, maxPauseDoublings-1)
		if c.Server(next-1) >= 0 || c.Server(next) != 0 {
			t.Errorf("pause %d: ledger server %d is queried just before its end after %g s, %d at the end; "+
				"expected -1 and 0", i+2, c.Server(next-1), float64(next-pauseEnd)/1e9, c.Server(next))
		}
		pauseEnd = next
	}
	if c.ServerMessageReceived(0, 6); c.Server(pauseEnd-1) != 0 {
		t.Errorf("Server(%d) = %d after a message from ledger server 0, expected 0: the message ends the pause",
			pauseEnd-1, c.Server(pauseEnd-1))
	}
}

func TestPendingQueriesAreBounded(t *testing.T) {
	c := NewClient(9)
	first := c.Register(PendingQuery{Request: "a", SentAt: 0})
	for i := range 10 * maxPending {
		c.Register(PendingQuery{Request: "b", SentAt: Time(i) * 1e8})
	}
	if len(c.pending) > maxPending || c.RemovePending(first) != nil {
		t.Errorf("%d queries are pending, expected at most %d, without the first one",
			len(c.pending), maxPending)
	}
	sequence := c.Register(PendingQuery{Request: "c", SentAt: 1})
	c.QueryTimedOut(1, "c")
	if q := c.RemovePending(sequence); q == nil || !q.Abandoned || c.RemovePending(sequence) != nil {
		t.Errorf("RemovePending returned %+v, expected an abandoned query at the first call only", q)
	}
}

// TestFollowersSettle guards against two ledger servers that both count one balancer: the new one counts
// it only once the old one cannot do so any more, and a window has passed since.
func TestFollowersSettle(t *testing.T) {
	const second, window = Time(1e9), 2 * Time(1e9)
	older, newer := NewFollowers(), NewFollowers()
	now := Time(0)
	for ; now < 10*second; now += second {
		older.MessageReceived(7, now)
	}
	if n := older.Settled(now, window); n != 1 {
		t.Fatalf("%d settled followers after 10 s, want 1", n)
	}
	olderUntil, newerFrom := Time(0), Time(0)
	for ; now < 25*second; now += second / 10 {
		newer.MessageReceived(7, now)
		if older.Settled(now, window) == 1 {
			olderUntil = now
		}
		if newerFrom == 0 && newer.Settled(now, window) == 1 {
			newerFrom = now
		}
	}
	if newerFrom-olderUntil < window || newerFrom > 16*second {
		t.Errorf("the old ledger server counts the balancer until %d ms, the new one from %d ms; want %d ms or more between them, and 16000 at most",
			olderUntil/1e6, newerFrom/1e6, window/1e6)
	}
	for peer := range 3 * maxFollowers {
		newer.MessageReceived(peer, now)
	}
	if len(newer.byPeer) > maxFollowers {
		t.Errorf("%d balancers stored, want at most %d", len(newer.byPeer), maxFollowers)
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
			t.Fatalf("Decode(%x) is encoded again as %x, expected the same bytes", data, back)
		}
	})
}
