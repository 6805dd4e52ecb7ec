package rules

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"croftlock/internal/operations/settings"
)

func TestVersionBecomesActiveEverywhere(t *testing.T) {
	fleet := newTestFleet(t, 5)
	fleet.proposeOperators(rejectAll, 0)
	fleet.run(200 * ms)
	fleet.expectAnswer("active: version 1 at 5 of 5")
	for i, m := range fleet.members {
		if v := m.Enforcer.Evaluate(anyRequest); !v.Rejected || v.Version != 1 || v.RetryAfter != 500*time.Millisecond || v.Lapsed {
			t.Errorf("member %d: verdict %+v, want a rejection by version 1 with a Retry-After of 500 ms", i, v)
		}
	}
	fleet.expectOverlapWithin(100 * ms)
	fleet.proposeOperators(rejectAll, 0) // a retry is applied once
	fleet.expectAnswer("active: version 1")
	fleet.proposeOperators(&Version{ExcludedHosts: []string{"h"}}, 0)
	fleet.expectAnswer("refused: it was made against version 0, and 1 is active")
}

// A member is isolated in both directions, or receives no replies. No newer version may become
// active before its lease has ended, and it must act by none after that.
func TestIsolatedMemberActsByNoVersion(t *testing.T) {
	for _, c := range []struct {
		name             string
		fault            func(fleet *testFleet, on bool)
		reachesPublisher bool
	}{
		{"both directions", func(fleet *testFleet, on bool) { fleet.isolated[3] = on }, false},
		{"replies to it are lost", func(fleet *testFleet, on bool) { fleet.losesReplies[3] = on }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			fleet := newTestFleet(t, 3)
			c.fault(fleet, true)
			began := fleet.now
			fleet.proposeOperators(rejectAll, 0)
			fleet.run(500 * ms)
			if !c.reachesPublisher && fleet.lastAnswer() != "" {
				t.Errorf("answered %d ms after the member was isolated, while its lease may be valid: %q", (fleet.now-began)/ms, fleet.lastAnswer())
			}
			fleet.run(3 * leaseDuration)
			fleet.expectOverlapWithin(leaseDuration)
			if v := fleet.members[3].Enforcer.Evaluate(anyRequest); !v.Lapsed || !v.Rejected {
				t.Errorf("a member without a lease has the verdict %+v, want a rejection as lapsed", v)
			}
			c.fault(fleet, false)
			fleet.run(2 * leaseDuration)
			if c.reachesPublisher {
				return
			}
			fleet.expectAnswer("active: version 1 at 2 of 3; lapsed: c")
			if v := fleet.members[3].Enforcer.Evaluate(anyRequest); v.Lapsed || v.Version != 1 {
				t.Errorf("a member that is reachable again has the verdict %+v, want version 1", v)
			}
		})
	}
}

// With KeepLastVersion a member without a lease must continue to act by the last version, and its
// verdicts must report the lapse.
func TestKeepLastVersionReportsLapse(t *testing.T) {
	fleet := newTestFleet(t, 2)
	fleet.members[2].Enforcer.KeepLastVersion = true
	fleet.proposeOperators(&Version{ExcludedHosts: []string{"h"}}, 0)
	fleet.run(200 * ms)
	fleet.isolated[2] = true
	fleet.run(2 * leaseDuration)
	if v := fleet.members[2].Enforcer.Evaluate(anyRequest); v.Rejected || !v.Lapsed || v.Version != 1 {
		t.Fatalf("a member without a lease has the verdict %+v, want version 1 as lapsed", v)
	}
	if fleet.members[2].Enforcer.Usable("h") || !fleet.members[2].Enforcer.Usable("i") {
		t.Fatalf("Usable(h) = %t and Usable(i) = %t, want false and true by the last version",
			fleet.members[2].Enforcer.Usable("h"), fleet.members[2].Enforcer.Usable("i"))
	}
}

// A version that one member can't use must not become active anywhere, and the answer must contain
// the member and the reason.
func TestUnusableVersionNeverBecomesActive(t *testing.T) {
	fleet := newTestFleet(t, 3)
	fleet.members[2].MaxEntries = 1
	fleet.proposeOperators(&Version{ExcludedHosts: []string{"g", "h"}}, 0)
	fleet.run(4 * leaseDuration)
	fleet.expectAnswer("refused: b: rules: 2 entries, this process takes 1")
	for i, m := range fleet.members {
		if n, _ := m.Enforcer.ActiveVersion(); n != 0 {
			t.Errorf("member %d acts by version %d, want 0", i, n)
		}
	}
	fleet.proposeOperators(&Version{ExcludedHosts: []string{"h"}}, 0)
	fleet.run(leaseDuration)
	fleet.expectAnswer("active: version 1 at 3 of 3")
}

// A publisher is replaced while a version is staged. The new one does not know the leases of its
// predecessor, so no version may become active before all of these have ended. The staged version
// in the checkpoint must not be lost.
func TestPublisherReplacedWhileVersionStaged(t *testing.T) {
	fleet := newTestFleet(t, 3)
	fleet.isolated[3] = true
	fleet.proposeOperators(rejectAll, 0)
	fleet.run(200 * ms) // the version stays staged, since the isolated member may hold a lease
	fleet.restartPublisher()
	began := fleet.now
	for fleet.now < began+3*leaseDuration && fleet.longestOverlap() == 0 && !strings.Contains(fleet.publisher.overview(fleet.now), "version 1 at") {
		fleet.run(20 * ms)
	}
	if n, _ := fleet.members[1].Enforcer.ActiveVersion(); n == 1 && fleet.now-began < leaseDuration {
		t.Fatalf("version 1 is active %d ms after a new publisher started, while the lease of an isolated member may be valid", (fleet.now-began)/ms)
	}
	fleet.run(3 * leaseDuration)
	if n, _ := fleet.members[1].Enforcer.ActiveVersion(); n != 1 {
		t.Fatalf("member 1 acts by version %d, want the staged version 1; the publisher reports %q", n, fleet.publisher.overview(fleet.now))
	}
	fleet.expectOverlapWithin(leaseDuration)
}

// A lease counts from before its request was sent, so that a late reply must not grant one.
func TestLateReplyGrantsNoLease(t *testing.T) {
	fleet := newTestFleet(t, 2)
	fleet.delayReplies = true
	fleet.run(leaseDuration / 2)
	fleet.isolated[1], fleet.isolated[2] = true, true
	fleet.run(3 * leaseDuration)
	fleet.deliverDelayedReplies()
	if v := fleet.members[1].Enforcer.Evaluate(anyRequest); !v.Lapsed {
		t.Fatalf("after a reply that is %d ms late member 1 has the verdict %+v, want none with a lease", 3*leaseDuration/ms, v)
	}
}

// longestOverlap must detect an injected fault: a member whose leases last ten times too long.
func TestOverlapCheckFindsAnOverlongLease(t *testing.T) {
	fleet := newTestFleet(t, 3)
	fleet.members[3].LeaseDuration = 10 * leaseDuration
	fleet.run(3 * leaseDuration)
	fleet.isolated[3] = true
	fleet.proposeOperators(rejectAll, 0)
	fleet.run(5 * leaseDuration)
	if o := fleet.longestOverlap(); o <= leaseDuration {
		t.Fatalf("longestOverlap is %d ms with a lease that is ten times too long, want more than a lease", o/ms)
	}
}

// Clocks drift by 1 % in either direction, and a member is isolated during every other change. The
// overlap of two versions must stay within a lease.
func TestOverlapWithClockDrift(t *testing.T) {
	fleet := newTestFleet(t, 4)
	fleet.clockRate[3], fleet.clockRate[4] = 0.99, 1.01
	for n := uint64(0); n < 6; n++ {
		fleet.isolated[3] = n%2 == 0
		fleet.run(200 * ms)
		fleet.proposeOperators(&Version{ExcludedHosts: []string{strings.Repeat("h", int(n)+1)}}, n)
		fleet.run(3 * leaseDuration)
		fleet.expectAnswer("active: version ")
	}
	fleet.expectOverlapWithin(leaseDuration)
}

// While the group stores no checkpoint, no version may become active, but members must keep their
// leases.
func TestNoActivationWithoutCheckpoint(t *testing.T) {
	fleet := newTestFleet(t, 2)
	fleet.checkpointsFail = true
	fleet.proposeOperators(rejectAll, 0)
	fleet.run(3 * leaseDuration)
	fleet.expectAnswer("unknown")
	if v := fleet.members[1].Enforcer.Evaluate(anyRequest); v.Lapsed || v.Version != 0 || v.Rejected {
		t.Fatalf("member 1 has the verdict %+v, want version 0 with a lease", v)
	}
}

func TestDecodeRejects(t *testing.T) {
	for name, v := range map[string]*Version{
		"repeated":     {Refusals: []Refusal{{Tenant: "a"}, {Tenant: "a"}}},
		"out of order": {ExcludedHosts: []string{"b", "a"}},
		"no name":      {ExcludedHosts: []string{""}},
		"too many":     {ExcludedHosts: func() (s []string) { return strings.Split(strings.Repeat("x,", MaxEntries+1), ",") }()},
		"long":         {Refusals: []Refusal{{Class: strings.Repeat("c", maxNameBytes+1)}}},
	} {
		if _, err := Decode(v.Encode()); err == nil {
			t.Errorf("%s: Decode accepted the version", name)
		}
	}
	tree, faults := settings.Parse("x", []byte(`(rules (refuse a (tenant t) (advice 2s)) (refuse b (class c)) (out h g))`))
	if err := faults.Err(); err != nil || tree == nil {
		t.Fatalf("Parse: tree %v, error %v", tree, err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(rejectAll.Encode())
	f.Add((&Version{Number: 3, ExcludedHosts: []string{"a", "b"}}).Encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		if v, err := Decode(data); err == nil && !bytes.Equal(v.Encode(), data) {
			t.Fatalf("Decode(%x) returns a version with the encoding %x", data, v.Encode())
		}
		p := &Publisher{LeaseDuration: leaseDuration}
		if p.Start(1, &testFleet{t: t}, 1, 1, data) == nil && len(data) > 0 {
			p.QueryReceived(2, 0, 1, append([]byte{queryPropose}, data...))
		}
	})
}
