package rules

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"croftlock/internal/fleet/namespace"
)

// largeVersion returns version 7 with a number of customers, each with one tenant and ten routes.
func largeVersion(customers int) *Version {
	v := &Version{Number: 7, Directory: &namespace.Directory{}}
	for i := range customers {
		name := fmt.Sprintf("customer%04d", i)
		v.Directory.Accounts = append(v.Directory.Accounts, namespace.Account{Name: name, VersionNumber: 5, Tenants: []string{name}, Pools: []string{namespace.MainPool}})
		s := namespace.Namespace{Account: name, VersionNumber: uint64(i)}
		for r := range 10 {
			s.Routes = append(s.Routes, namespace.Route{Name: fmt.Sprintf("r%d", r), Prefix: fmt.Sprintf("%02x", r), Pool: namespace.MainPool})
		}
		v.Directory.Namespaces = append(v.Directory.Namespaces, s)
	}
	return v
}

// withOneCustomerChanged returns the version after v, with four instead of ten routes of customer 20
// and without customer 40. v must have more than 40 customers.
func withOneCustomerChanged(v *Version) *Version {
	n := v.next()
	n.Directory.Namespaces[20].VersionNumber = n.Number
	n.Directory.Namespaces[20].Routes = n.Directory.Namespaces[20].Routes[:4]
	n.Directory.Namespaces = append(n.Directory.Namespaces[:40:40], n.Directory.Namespaces[41:]...)
	n.Directory.Accounts = append(n.Directory.Accounts[:40:40], n.Directory.Accounts[41:]...)
	return n
}

func TestDeltaIsSmallAndComplete(t *testing.T) {
	base := largeVersion(300)
	next := withOneCustomerChanged(base)
	if err := next.Check(); err != nil {
		t.Fatalf("Check: %v", err)
	}
	complete, encodedDelta := next.encodeFor(nil), next.encodeFor(base)
	t.Logf("%d entries: %d bytes, %d compressed, %d as a delta", next.Entries(), len(next.Encode()), len(complete), len(encodedDelta))
	if len(complete) > maxStoredBytes || len(encodedDelta) > 600 {
		t.Errorf("%d bytes compressed, %d as a delta, want at most %d and 600", len(complete), len(encodedDelta), maxStoredBytes)
	}
	for name, data := range map[string][]byte{"complete": complete, "as a delta": encodedDelta} {
		v, err := decodeVersion(data, onlyBase(base))
		if err != nil || !bytes.Equal(v.Encode(), next.Encode()) {
			t.Errorf("decoding the version sent %s: error %v, or another version", name, err)
		}
	}
	if _, err := decodeVersion(encodedDelta, onlyBase(nil)); err != errMissingBase {
		t.Errorf("decoding a delta without its base: %v, want %v", err, errMissingBase)
	}
	// A small version is sent uncompressed, so that processes of an earlier build can decode it.
	if data := rejectAll.encodeFor(base); !bytes.Equal(data, rejectAll.Encode()) {
		t.Error("a small version is not sent uncompressed")
	}
	tooLarge := largeVersion(410)
	if err := tooLarge.Check(); err == nil || !strings.Contains(err.Error(), "entries") {
		t.Errorf("Check of %d entries: %v, want an error with the number of entries", tooLarge.Entries(), err)
	}
}

// A short message can expand to very many bytes. Every decoder must stop at its limit.
func TestDecompressionIsBounded(t *testing.T) {
	bomb := deflate(formatCompressed, make([]byte, 8*maxEncodedBytes+1))
	if _, err := decodeVersion(bomb, onlyBase(nil)); err == nil || !strings.Contains(err.Error(), "over") {
		t.Errorf("decoding a version of %d bytes that expands beyond the limit: %v, want an error with the limit", len(bomb), err)
	}
	fleet := newTestFleet(t, 1)
	fleet.publisher.QueryReceived(fleet.now, 0, 1, append([]byte{queryPropose}, bomb...))
	fleet.expectAnswer("refused")
	if DecodeReply(string(deflate(formatCompressed, make([]byte, 8*maxEncodedBytes+1)))) != "unknown: the answer can't be read" {
		t.Error("a reply that expands beyond its limit was decoded")
	}
}

// A large version is changed in steps, while one member misses a version and another loses the
// versions that it reported. All members must act by the same version, a new publisher must
// continue from the checkpoint, and it must decode the earlier versions from their deltas.
func TestLargeVersionsAmongMembers(t *testing.T) {
	fleet := newTestFleet(t, 4)
	v := largeVersion(75)
	v.Number = 0
	for i := range v.Directory.Accounts {
		v.Directory.Accounts[i].VersionNumber = 0
	}
	spaces := v.Directory.Namespaces
	v.Directory.Namespaces = nil
	fleet.proposeOperators(v, 0)
	fleet.run(3 * leaseDuration)
	fleet.expectAnswer("active: version 2 at 4 of 4")
	baseVersion := uint64(2)
	text := map[uint64]string{}
	for i := 0; i < len(spaces); i += 15 {
		for j := i; j < i+15; j++ {
			fleet.propose(NewNamespaceChange(&spaces[j], 0, []byte(fmt.Sprint("id", j))))
		}
		fleet.isolated[3] = i == 30 // the member misses one version
		fleet.run(3 * leaseDuration)
		fleet.isolated[3] = false
		baseVersion = fleet.publisher.versions.active.Number
		text[baseVersion] = fleet.publisher.versions.active.String()
	}
	fleet.members[2].versions = map[Hash]*compiledVersion{} // the member reports versions that it has lost
	fleet.propose(NewNamespaceChange(namespaceRoutingTo("customer0003", 0, namespace.MainPool), baseVersion, []byte("last")))
	fleet.run(4 * leaseDuration)
	if !strings.HasPrefix(fleet.lastAnswer(), "active: version ") || !strings.HasSuffix(fleet.lastAnswer(), "at 4 of 4") {
		t.Fatalf("the answer to the last change is %q, want an active version at 4 of 4", fleet.lastAnswer())
	}
	for i := uint32(1); i <= 4; i++ {
		if n, left := fleet.members[i].Enforcer.ActiveVersion(); n != fleet.publisher.versions.active.Number || left <= 0 {
			t.Errorf("member %d acts by version %d for %d ms more, want version %d", i, n, left/ms, fleet.publisher.versions.active.Number)
		}
	}
	t.Logf("%d entries, %d bytes, %d in the checkpoint with %d earlier versions", fleet.publisher.versions.active.Entries(), len(fleet.publisher.versions.active.Encode()), len(fleet.checkpoint), len(fleet.publisher.versions.history))
	fleet.run(leaseDuration)
	fleet.restartPublisher()
	decoded := 0
	for number, want := range text {
		if old := fleet.publisher.versions.byNumber(number); old != nil {
			if decoded++; old.String() != want {
				t.Errorf("version %d was decoded with another text", number)
			}
		}
	}
	if decoded < 4 {
		t.Errorf("%d of %d versions can be decoded, want at least 4", decoded, len(text))
	}
	fleet.propose(NewRollback(baseVersion, fleet.publisher.versions.active.Number, nil))
	fleet.run(4 * leaseDuration)
	if !strings.HasPrefix(fleet.lastAnswer(), "active: version ") || !bytes.Equal(marshal(fleet.publisher.versions.active.Directory.Namespaces[3].Routes), marshal(spaces[3].Routes)) {
		t.Errorf("the rollback to version %d did not restore the routes, or its answer %q is not an active version", baseVersion, fleet.lastAnswer())
	}
	fleet.expectOverlapWithin(leaseDuration)
}

// The history skips a transitional version, which is active between two others while hosts or tenants
// are reassigned. So the history must contain the version before it as a delta from the version after
// it. A change that is sent again during the transition must get no early answer.
func TestHistorySkipsTransitionalVersion(t *testing.T) {
	fleet := startWithPools(t, 2)
	first := fleet.publisher.versions.active.Number
	want := fleet.publisher.versions.active.String()
	v := twoCustomers()
	v.Directory.Accounts[1].Tenants = []string{"t2", "t3"}
	v.Directory.Accounts[0].Tenants = []string{"t1"}
	for i := range 100 { // makes the version long enough to be stored as a delta
		v.ExcludedHosts = append(v.ExcludedHosts, fmt.Sprintf("host%03d-of-a-long-name-0123456789-0123456789-0123456789", i))
	}
	c, n := NewOperatorsChange(v, first, []byte("with a step")), len(fleet.answers)
	fleet.propose(c)
	for range 100 {
		if fleet.run(20 * ms); fleet.publisher.versions.active.Directory.Previous != nil {
			break
		}
	}
	if fleet.propose(c); fleet.publisher.versions.active.Directory.Previous == nil || len(fleet.answers) > n {
		t.Errorf("no transitional version is active after 2 s, or a retry during it got the answers %q, want none", fleet.answers[n:])
	}
	fleet.run(4 * leaseDuration)
	if got := fleet.answers[n:]; len(got) != 1 || !strings.HasPrefix(got[0], fmt.Sprintf("active: version %d at", first+2)) {
		t.Fatalf("the answers are %q, want one with active version %d", got, first+2)
	}
	if old := fleet.publisher.versions.byNumber(first); old == nil || old.String() != want {
		t.Error("the version before the transitional one is missing or has another text")
	}
	if fleet.publisher.versions.byNumber(first+1) != nil {
		t.Error("the transitional version is in the history")
	}
}

func FuzzDecodeVersion(f *testing.F) {
	base := largeVersion(30)
	f.Add(withOneCustomerChanged(largeVersion(60)).encodeFor(largeVersion(60)))
	f.Add(base.encodeFor(nil))
	f.Add(marshal(delta{BaseHash: make([]byte, 32), ResultHash: make([]byte, 32), Head: marshal(base)}))
	f.Fuzz(func(t *testing.T, data []byte) {
		if v, err := decodeVersion(data, onlyBase(base)); err == nil {
			if again, err := decodeVersion(v.encodeFor(base), onlyBase(base)); err != nil || !bytes.Equal(again.Encode(), v.Encode()) {
				t.Fatalf("the encoding of a decoded version is decoded with error %v, or as another version", err)
			}
		}
		if len(data) < 1<<16 {
			h := base.Hash()
			d := delta{BaseHash: h[:], ResultHash: h[:], Head: data}
			decodeVersion(deflate(formatDelta, marshal(d)), onlyBase(base))
		}
	})
}
