package command

import (
	"fmt"
	"os"
	"testing"
	"time"

	"croftlock/internal/testbed/experiment"
	"croftlock/internal/testbed/fake"
)

// bookTier is four proxies that may speak, before six hosts.
type bookTier struct {
	t     *testing.T
	mesh  *fake.Mesh
	procs []*experiment.Process
	setup []experiment.Setup
	env   *experiment.Env
	hosts []*fake.Server
}

func newBookTier(t *testing.T) *bookTier {
	t.Helper()
	rigs <- struct{}{}
	t.Cleanup(func() { <-rigs })
	b := &bookTier{t: t, env: &experiment.Env{Croftlock: os.Args[0], Dir: t.TempDir()}}
	var entries []fake.Entry
	for i := range 6 {
		s, err := fake.NewServer(fmt.Sprint("s", i), "z", nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		b.hosts, entries = append(b.hosts, s), append(entries, s.Entry())
	}
	d, err := fake.NewDiscovery(entries...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	if b.mesh, err = fake.NewMesh(4, 1); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.mesh.Close)
	for i := range 4 {
		listen, err := experiment.FreeAddr()
		if err != nil {
			t.Fatal(err)
		}
		b.setup = append(b.setup, experiment.Setup{Name: fmt.Sprint("n", i), Listen: listen, Discovery: d.Addr(), Known: d.List(), Cores: 0.5, Sockets: 1024, MemoryMB: 64,
			Tier: experiment.Tier{Peers: b.mesh.Peers(i), Number: i, Listen: b.mesh.Own(i)}, Env: []string{"CROFTLOCK_TEST_RUN=1"}})
		b.procs = append(b.procs, nil)
		b.start(i)
	}
	return b
}

func (b *bookTier) start(i int) {
	b.t.Helper()
	p, err := b.env.Proxy(b.setup[i])
	if err != nil {
		b.t.Fatal(err)
	}
	b.procs[i] = p
	b.t.Cleanup(p.Kill)
}

// cut takes the proxies apart from one another, or joins them again.
func (b *bookTier) cut(on bool) {
	for i := range 4 {
		for j := range 4 {
			if i != j {
				b.mesh.Set(i, j, func(l *fake.Link) { l.Cut = on })
			}
		}
	}
}

// ask has so many clients of three groups ask in turn at all proxies but some, and gives those that stand.
func (b *bookTier) ask(n int, but int) (stand []*fake.Client) {
	b.t.Helper()
	for i := range n {
		at := i % 4
		if at == but {
			continue
		}
		c, a, err := fake.Open(b.procs[at].Addr, "lab", fmt.Sprintf("g=%016x", 1+i%3), 2*time.Second)
		if err != nil || c == nil {
			b.t.Errorf("request %d at n%d: %+v %v", i, at, a, err)
			continue
		}
		stand = append(stand, c)
	}
	return stand
}

// fullest gives the most connections at one host.
func (b *bookTier) fullest() (most int) {
	for _, s := range b.hosts {
		most = max(most, s.Established())
	}
	return most
}

// TestTheBookAmongProcesses: proxies that may speak fill hosts evenly, whose groups are few; cut off from one another, and as the one that is asked is killed
// and comes back, each request is answered all the same.
func TestTheBookAmongProcesses(t *testing.T) {
	t.Parallel()
	b := newBookTier(t)
	time.Sleep(1500 * time.Millisecond) // they hear of one another within a second or so
	leave := func(all []*fake.Client) {
		t.Helper()
		for _, c := range all {
			c.Close()
		}
		if _, ok := experiment.Until(10*time.Second, func() bool { return b.fullest() == 0 }); !ok {
			t.Fatal("connections stand though their clients have left")
		}
	}
	all := b.ask(72, -1)
	with := b.fullest()
	leave(all)
	b.cut(true)
	all = b.ask(72, -1)
	alone := b.fullest()
	leave(all)
	b.cut(false)
	t.Logf("72 connections of three groups at six hosts: the fullest has %d with a book, %d alone", with, alone)
	if with > 24 {
		t.Errorf("the fullest host has %d of 72 with a book", with)
	}
	b.procs[0].Kill()
	all = b.ask(36, 0)
	b.start(0)
	all = append(all, b.ask(36, -1)...)
	if len(all) < 60 {
		t.Errorf("%d stand", len(all))
	}
	leave(all)
}
