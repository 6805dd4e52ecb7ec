package rules

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"croftlock/internal/fleet/namespace"
)

// large is a version of so many customers with ten routes each.
func large(customers int) *Version {
	v := &Version{Number: 7, Directory: &namespace.Directory{}}
	for i := range customers {
		name := fmt.Sprintf("customer%04d", i)
		v.Directory.Accounts = append(v.Directory.Accounts, namespace.Account{Name: name, Number: 5, Tenants: []string{name}, Pools: []string{namespace.Main}})
		s := namespace.Namespace{Account: name, Number: uint64(i)}
		for r := range 10 {
			s.Routes = append(s.Routes, namespace.Route{Name: fmt.Sprintf("r%d", r), Prefix: fmt.Sprintf("%02x", r), Pool: namespace.Main})
		}
		v.Directory.Namespaces = append(v.Directory.Namespaces, s)
	}
	return v
}

// altered is a version in which one customer's routes are others, and one customer is gone.
func altered(v *Version) *Version {
	n := v.next()
	n.Directory.Namespaces[20].Number = n.Number
	n.Directory.Namespaces[20].Routes = n.Directory.Namespaces[20].Routes[:4]
	n.Directory.Namespaces = append(n.Directory.Namespaces[:40:40], n.Directory.Namespaces[41:]...)
	n.Directory.Accounts = append(n.Directory.Accounts[:40:40], n.Directory.Accounts[41:]...)
	return n
}

func TestDeltaIsSmallAndComplete(t *testing.T) {
	base := large(300)
	next := altered(base)
	if err := next.Check(); err != nil {
		t.Fatal(err)
	}
	wholeData, short := next.encodeFor(nil), next.encodeFor(base)
	t.Logf("%d entries: %d bytes, %d squeezed, %d as a difference", next.Entries(), len(next.Encode()), len(wholeData), len(short))
	if len(wholeData) > maxStoredBytes || len(short) > 600 {
		t.Errorf("%d bytes squeezed, %d as a difference", len(wholeData), len(short))
	}
	for name, data := range map[string][]byte{"whole": wholeData, "as a difference": short} {
		v, err := decodeVersion(data, onlyBase(base))
		if err != nil || !bytes.Equal(v.Encode(), next.Encode()) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := decodeVersion(short, onlyBase(nil)); err != errMissingBase {
		t.Error("without its base:", err)
	}
	// What is small goes as it is written, which processes of an earlier build read.
	if data := refuseAll.encodeFor(base); !bytes.Equal(data, refuseAll.Encode()) {
		t.Error("a small version does not go as it is written")
	}
	over := large(410)
	if err := over.Check(); err == nil || !strings.Contains(err.Error(), "entries") {
		t.Error(err)
	}
}

// A few bytes that stand for very many are refused, and cost nothing much.
func TestDecompressionIsBounded(t *testing.T) {
	bomb := deflate(formCompressed, make([]byte, 8*maxEncodedBytes+1))
	if _, err := decodeVersion(bomb, onlyBase(nil)); err == nil || !strings.Contains(err.Error(), "over") {
		t.Error(err)
	}
	g := newGroup(t, 1)
	g.publisher.QueryReceived(g.now, 0, 1, append([]byte{queryPropose}, bomb...))
	if !strings.HasPrefix(g.last(), "refused") {
		t.Error(g.last())
	}
	if DecodeReply(string(deflate(formCompressed, make([]byte, 8*maxEncodedBytes+1)))) != "unknown: the answer can't be read" {
		t.Error("an answer")
	}
}

// A large version and changes of it among members, one of which is late and one of which has lost what it had: all act by the same, earlier
// versions are read back through their differences, and a new publisher goes on from what was left.
func TestLargeVersionsAmongMembers(t *testing.T) {
	g := newGroup(t, 4)
	v := large(75)
	v.Number = 0
	for i := range v.Directory.Accounts {
		v.Directory.Accounts[i].Number = 0
	}
	spaces := v.Directory.Namespaces
	v.Directory.Namespaces = nil
	g.put(v, 0)
	g.run(3 * within)
	if !strings.HasPrefix(g.last(), "active: version 2 at 4 of 4") {
		t.Fatal(g.last())
	}
	against := uint64(2)
	text := map[uint64]string{}
	for i := 0; i < len(spaces); i += 15 {
		for j := i; j < i+15; j++ {
			g.change(ChangeNamespace(&spaces[j], 0, []byte(fmt.Sprint("id", j))))
		}
		g.cut[3] = i == 30 // misses a version, and more than one after it
		g.run(3 * within)
		g.cut[3] = false
		against = g.publisher.versions.active.Number
		text[against] = g.publisher.versions.active.String()
	}
	g.members[2].versions = map[Hash]*compiledVersion{} // what it says that it has it has not
	g.change(ChangeNamespace(to("customer0003", 0, namespace.Main), against, []byte("last")))
	g.run(4 * within)
	if !strings.HasPrefix(g.last(), "active: version ") || !strings.HasSuffix(g.last(), "at 4 of 4") {
		t.Fatal(g.last())
	}
	for i := uint32(1); i <= 4; i++ {
		if n, left := g.members[i].Enforcer.ActiveVersion(); n != g.publisher.versions.active.Number || left <= 0 {
			t.Errorf("member %d acts by %d, %d is active", i, n, g.publisher.versions.active.Number)
		}
	}
	t.Logf("%d entries, %d bytes, %d kept by the group with %d versions before it", g.publisher.versions.active.Entries(), len(g.publisher.versions.active.Encode()), len(g.checkpoint), len(g.publisher.versions.history))
	g.run(within)
	g.restartPublisher()
	read := 0
	for number, want := range text {
		if old := g.publisher.versions.byNumber(number); old != nil {
			if read++; old.String() != want {
				t.Errorf("version %d is not as it was", number)
			}
		}
	}
	if read < 4 {
		t.Errorf("%d of %d versions can be read back", read, len(text))
	}
	g.change(RollBackTo(against, g.publisher.versions.active.Number, nil))
	g.run(4 * within)
	if !strings.HasPrefix(g.last(), "active: version ") || !bytes.Equal(marshal(g.publisher.versions.active.Directory.Namespaces[3].Routes), marshal(spaces[3].Routes)) {
		t.Error("back:", g.last())
	}
	if o := g.overlap(); o > within {
		t.Errorf("two versions side by side for %d ms", o/ms)
	}
}

// A version on the way from one to the next is nothing to go back to: the one before it is kept as what is different from the next.
func TestHistoryOverATransitionalVersion(t *testing.T) {
	g := startWithPools(t, 2)
	first := g.publisher.versions.active.Number
	want := g.publisher.versions.active.String()
	v := twoCustomers()
	v.Directory.Accounts[1].Tenants = []string{"t2", "t3"}
	v.Directory.Accounts[0].Tenants = []string{"t1"}
	for i := range 100 { // long enough to be kept as a difference
		v.HostsOut = append(v.HostsOut, fmt.Sprintf("host%03d-of-a-long-name-0123456789-0123456789-0123456789", i))
	}
	c, n := ChangeOperators(v, first, []byte("with a step")), len(g.answers)
	g.change(c)
	for range 100 {
		if g.run(20 * ms); g.publisher.versions.active.Directory.Previous != nil {
			break
		}
	}
	if g.change(c); g.publisher.versions.active.Directory.Previous == nil || len(g.answers) > n {
		t.Errorf("asked again between: %q", g.answers[n:])
	}
	g.run(4 * within)
	if got := g.answers[n:]; len(got) != 1 || !strings.HasPrefix(got[0], fmt.Sprintf("active: version %d at", first+2)) {
		t.Fatalf("%q", got)
	}
	if old := g.publisher.versions.byNumber(first); old == nil || old.String() != want {
		t.Error("the version before is not as it was")
	}
	if g.publisher.versions.byNumber(first+1) != nil {
		t.Error("the step between can be gone back to")
	}
}

func FuzzDecodeVersion(f *testing.F) {
	base := large(30)
	f.Add(altered(large(60)).encodeFor(large(60)))
	f.Add(base.encodeFor(nil))
	f.Add(marshal(delta{BaseHash: make([]byte, 32), ResultHash: make([]byte, 32), Head: marshal(base)}))
	f.Fuzz(func(t *testing.T, data []byte) {
		if v, err := decodeVersion(data, onlyBase(base)); err == nil {
			if again, err := decodeVersion(v.encodeFor(base), onlyBase(base)); err != nil || !bytes.Equal(again.Encode(), v.Encode()) {
				t.Fatal(err)
			}
		}
		if len(data) < 1<<16 {
			h := base.Hash()
			d := delta{BaseHash: h[:], ResultHash: h[:], Head: data}
			decodeVersion(deflate(formDelta, marshal(d)), onlyBase(base))
		}
	})
}
