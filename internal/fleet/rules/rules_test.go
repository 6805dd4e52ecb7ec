package rules

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"croftlock/internal/operations/settings"
)

func TestVersionBecomesActiveEverywhere(t *testing.T) {
	g := newGroup(t, 5)
	g.put(refuseAll, 0)
	g.run(200 * ms)
	if !strings.HasPrefix(g.last(), "active: version 1 at 5 of 5") {
		t.Fatalf("answered %q", g.last())
	}
	for i, m := range g.members {
		if v := m.Enforcer.Judge(anyAsk); !v.Refused || v.Version != 1 || v.Advice != 500*time.Millisecond || v.Lapsed {
			t.Errorf("%d: %+v", i, v)
		}
	}
	if o := g.overlap(); o > 100*ms {
		t.Errorf("without a fault two versions side by side for %d ms", o/ms)
	}
	g.put(refuseAll, 0) // asked twice is as once
	if !strings.HasPrefix(g.last(), "active: version 1") {
		t.Errorf("asked again: %q", g.last())
	}
	g.put(&Version{HostsOut: []string{"h"}}, 0)
	if !strings.HasPrefix(g.last(), "refused: it was made against version 0, and 1 is active") {
		t.Errorf("an old base: %q", g.last())
	}
}

// Cut off in each direction: nothing newer is active before its lease has ended, and it acts by nothing after.
func TestMemberCutOffActsByNothing(t *testing.T) {
	for name, fault := range map[string]func(g *group, on bool){
		"both ways": func(g *group, on bool) { g.cut[3] = on }, "hears nothing": func(g *group, on bool) { g.deaf[3] = on }} {
		g := newGroup(t, 3)
		fault(g, true)
		began := g.now
		g.put(refuseAll, 0)
		g.run(500 * ms)
		if name == "both ways" && g.last() != "" {
			t.Errorf("%s: active %d ms after a cut, though a lease may be held: %q", name, (g.now-began)/ms, g.last())
		}
		g.run(3 * within)
		if o := g.overlap(); o > within {
			t.Errorf("%s: two versions side by side for %d ms", name, o/ms)
		}
		if v := g.members[3].Enforcer.Judge(anyAsk); !v.Lapsed || !v.Refused {
			t.Errorf("%s: it goes on: %+v", name, v)
		}
		fault(g, false)
		g.run(2 * within)
		if name == "both ways" && !strings.HasPrefix(g.last(), "active: version 1 at 2 of 3; lapsed: c") {
			t.Errorf("%s: answered %q", name, g.last())
		}
		if name == "both ways" {
			if v := g.members[3].Enforcer.Judge(anyAsk); v.Lapsed || v.Version != 1 {
				t.Errorf("%s: not healed: %+v", name, v)
			}
		}
	}
}

// Keep goes on by the last version, and says that it stands outside the promise.
func TestKeepAfterLapseReportsTheLapse(t *testing.T) {
	g := newGroup(t, 2)
	g.members[2].Enforcer.GraceAfterLapse = true
	g.put(&Version{HostsOut: []string{"h"}}, 0)
	g.run(200 * ms)
	g.cut[2] = true
	g.run(2 * within)
	if v := g.members[2].Enforcer.Judge(anyAsk); v.Refused || !v.Lapsed || v.Version != 1 {
		t.Fatalf("%+v", v)
	}
	if g.members[2].Enforcer.Usable("h") || !g.members[2].Enforcer.Usable("i") {
		t.Fatal("its last version names h alone as out")
	}
}

// A version that compiles everywhere but on one is active nowhere, and its change is answered with who and why.
func TestUnusableVersionIsActiveNowhere(t *testing.T) {
	g := newGroup(t, 3)
	g.members[2].MaxEntries = 1
	g.put(&Version{HostsOut: []string{"g", "h"}}, 0)
	g.run(4 * within)
	if !strings.HasPrefix(g.last(), "refused: b: rules: 2 entries, this process takes 1") {
		t.Fatalf("answered %q", g.last())
	}
	for i, m := range g.members {
		if n, _ := m.Enforcer.ActiveVersion(); n != 0 {
			t.Errorf("%d acts by %d", i, n)
		}
	}
	g.put(&Version{HostsOut: []string{"h"}}, 0)
	g.run(within)
	if !strings.HasPrefix(g.last(), "active: version 1 at 3 of 3") {
		t.Fatalf("the next change: %q", g.last())
	}
}

// A new publisher knows of no leases: it makes nothing active before those that its predecessor may have given have ended, and
// what the group keeps is not lost.
func TestPublisherLostBetweenReadyAndActive(t *testing.T) {
	g := newGroup(t, 3)
	g.cut[3] = true
	g.put(refuseAll, 0)
	g.run(200 * ms) // kept, and on its way: the one cut off may hold a lease
	g.restartPublisher()
	began := g.now
	for g.now < began+3*within && g.overlap() == 0 && !strings.Contains(g.publisher.overview(g.now), "version 1 at") {
		g.run(20 * ms)
	}
	if n, _ := g.members[1].Enforcer.ActiveVersion(); n == 1 && g.now-began < within {
		t.Fatalf("active %d ms after a new publisher began, and the one cut off may act still", (g.now-began)/ms)
	}
	g.run(3 * within)
	if n, _ := g.members[1].Enforcer.ActiveVersion(); n != 1 {
		t.Fatalf("what was kept is lost: %d is acted by; %s", n, g.publisher.overview(g.now))
	}
	if o := g.overlap(); o > within {
		t.Fatalf("two versions side by side for %d ms", o/ms)
	}
}

// An answer that was held up says nothing of now: a lease counts from before it was asked for.
func TestLateReplyGrantsNoLease(t *testing.T) {
	g := newGroup(t, 2)
	g.delayReplies = true
	g.run(within / 2)
	g.cut[1], g.cut[2] = true, true
	g.run(3 * within)
	for _, f := range g.delayedReplies {
		f()
	}
	if v := g.members[1].Enforcer.Judge(anyAsk); !v.Lapsed {
		t.Fatalf("a lease from an answer %d ms late", 3*within/ms)
	}
}

// What the tests here look for is found where it is put in: a lease that is counted for too long.
func TestOverlapCheckFindsAnOverlongLease(t *testing.T) {
	g := newGroup(t, 3)
	g.members[3].AgreeWithin = 10 * within
	g.run(3 * within)
	g.cut[3] = true
	g.put(refuseAll, 0)
	g.run(5 * within)
	if o := g.overlap(); o <= within {
		t.Fatalf("overlap %d ms with a lease of ten times its time", o/ms)
	}
}

// Clocks that run a hundredth apart each, and a change each while one is cut off.
func TestOverlapWithClocksApart(t *testing.T) {
	g := newGroup(t, 4)
	g.clockRate[3], g.clockRate[4] = 0.99, 1.01
	for n := uint64(0); n < 6; n++ {
		g.cut[3] = n%2 == 0
		g.run(200 * ms)
		g.put(&Version{HostsOut: []string{strings.Repeat("h", int(n)+1)}}, n)
		g.run(3 * within)
		if !strings.HasPrefix(g.last(), "active: version ") {
			t.Fatalf("change %d: %q", n+1, g.last())
		}
	}
	if o := g.overlap(); o > within {
		t.Fatalf("overlap %d ms of %d", o/ms, within/ms)
	}
}

// Without the group nothing changes, and nobody loses a lease for it.
func TestNothingIsActiveWithoutACheckpoint(t *testing.T) {
	g := newGroup(t, 2)
	g.checkpointsFail = true
	g.put(refuseAll, 0)
	g.run(3 * within)
	if !strings.HasPrefix(g.last(), "unknown") {
		t.Fatalf("answered %q", g.last())
	}
	if v := g.members[1].Enforcer.Judge(anyAsk); v.Lapsed || v.Version != 0 || v.Refused {
		t.Fatalf("%+v", v)
	}
}

func TestDecodeRejects(t *testing.T) {
	for name, v := range map[string]*Version{
		"twice":        {Refusals: []Refusal{{Tenant: "a"}, {Tenant: "a"}}},
		"out of order": {HostsOut: []string{"b", "a"}},
		"no name":      {HostsOut: []string{""}},
		"too many":     {HostsOut: func() (s []string) { return strings.Split(strings.Repeat("x,", MaxEntries+1), ",") }()},
		"long":         {Refusals: []Refusal{{Class: strings.Repeat("c", maxNameBytes+1)}}},
	} {
		if _, err := Decode(v.Encode()); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
	tree, faults := settings.Parse("x", []byte(`(rules (refuse a (tenant t) (advice 2s)) (refuse b (class c)) (out h g))`))
	if err := faults.Err(); err != nil || tree == nil {
		t.Fatal(err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(refuseAll.Encode())
	f.Add((&Version{Number: 3, HostsOut: []string{"a", "b"}}).Encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		if v, err := Decode(data); err == nil && !bytes.Equal(v.Encode(), data) {
			t.Fatalf("%x is read as %x", data, v.Encode())
		}
		g := &Publisher{AgreeWithin: within}
		if g.Start(1, &group{t: t}, 1, 1, data) == nil && len(data) > 0 {
			g.QueryReceived(2, 0, 1, append([]byte{queryPropose}, data...))
		}
	})
}
