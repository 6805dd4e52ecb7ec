package command

import (
	"fmt"
	"os"
	"testing"
	"time"

	"croftlock/internal/testbed/experiment"
	"croftlock/internal/testbed/fake"
)

// ledgerTier is four proxies and six hosts. The proxies send one another peer datagrams. One of them,
// the ledger server, counts the connections of all in the placement ledger; the others query it for
// a host.
type ledgerTier struct {
	*testing.T
	mesh   *fake.Mesh            // carries the datagrams between the proxies, and can cut links
	procs  []*experiment.Process // by proxy
	setups []experiment.Setup    // by proxy
	env    *experiment.Env
	hosts  *fake.Hosts
}

const (
	ledgerProxies = 4
	ledgerGroups  = 3 // groups of clients; the connections of a group are placed together
)

// newLedgerTier starts the proxies, with a mesh between them, and the hosts.
func newLedgerTier(t *testing.T) *ledgerTier {
	t.Helper()
	rigSlots <- struct{}{}
	t.Cleanup(func() { <-rigSlots })
	tier := &ledgerTier{T: t, env: &experiment.Env{Croftlock: os.Args[0], Dir: t.TempDir()}, hosts: newHosts(t, "z", "s0", "s1", "s2", "s3", "s4", "s5")}
	var err error
	if tier.mesh, err = fake.NewMesh(ledgerProxies, 1); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(tier.mesh.Close)
	discovery := tier.hosts.Discovery
	for i := range ledgerProxies {
		listen, err := experiment.FreeAddr()
		if err != nil {
			t.Fatal(err)
		}
		tier.setups = append(tier.setups, experiment.Setup{Name: fmt.Sprint("n", i), Listen: listen, Discovery: discovery.Addr(), InitialList: discovery.List(), Cores: 0.5, MaxDescriptors: 1024, MemoryMB: 64,
			Tier: experiment.Tier{Peers: tier.mesh.PeerAddrs(i), Index: i, Listen: tier.mesh.ListenAddr(i)}, Env: asProgram})
		tier.procs = append(tier.procs, nil)
		tier.start(i)
	}
	return tier
}

// start starts or restarts proxy i.
func (l *ledgerTier) start(i int) {
	l.Helper()
	p, err := l.env.Proxy(l.setups[i])
	if err != nil {
		l.Fatal(err)
	}
	l.procs[i] = p
	l.Cleanup(p.Kill)
}

// cutAll cuts all links between the proxies if on is true, and restores them if it is false.
func (l *ledgerTier) cutAll(on bool) {
	for i := range ledgerProxies {
		for j := range ledgerProxies {
			if i != j {
				l.mesh.UpdateLink(i, j, func(link *fake.Link) { link.Cut = on })
			}
		}
	}
}

// noProxy, as the argument except of connect, makes connect use all proxies.
const noProxy = -1

// connect sends n requests of ledgerGroups groups to the proxies in turn, and returns the connections
// that were established. It omits the requests that are the turn of the proxy except, so that it
// sends fewer than n. Each request that is not served fails the test.
func (l *ledgerTier) connect(n, except int) (clients []*fake.Client) {
	l.Helper()
	for i := range n {
		proxy := i % ledgerProxies
		if proxy == except {
			continue
		}
		client, answer, err := fake.Open(l.procs[proxy].Addr, "lab", fmt.Sprintf("g=%016x", 1+i%ledgerGroups), 2*time.Second)
		if err != nil || client == nil {
			l.Errorf("request %d at n%d is answered with %+v, error %v; want UP", i, proxy, answer, err)
			continue
		}
		clients = append(clients, client)
	}
	return clients
}

// maxPerHost returns the largest number of connections at one host.
func (l *ledgerTier) maxPerHost() (largest int) {
	for _, host := range l.hosts.Servers {
		largest = max(largest, host.Established())
	}
	return largest
}

// disconnect closes connections and waits until no host has any.
func (l *ledgerTier) disconnect(clients []*fake.Client) {
	l.Helper()
	for _, client := range clients {
		client.Close()
	}
	if _, ok := experiment.AwaitCondition(10*time.Second, func() bool { return l.maxPerHost() == 0 }); !ok {
		l.Fatal("hosts have connections 10 s after all clients have closed theirs")
	}
}

// TestPlacementLedgerAmongProcesses checks that with the ledger the connections of few groups are
// spread evenly over the hosts, and that requests are also served while no peer datagrams arrive
// and while the ledger server is killed and restarted.
func TestPlacementLedgerAmongProcesses(t *testing.T) {
	t.Parallel()
	tier := newLedgerTier(t)
	time.Sleep(1500 * time.Millisecond) // the proxies find the ledger server within about a second
	clients := tier.connect(72, noProxy)
	withLedger := tier.maxPerHost()
	tier.disconnect(clients)
	tier.cutAll(true)
	clients = tier.connect(72, noProxy)
	withoutMessages := tier.maxPerHost()
	tier.disconnect(clients)
	tier.cutAll(false)
	t.Logf("72 connections of three groups at six hosts: at most %d at one host with the ledger, %d without messages", withLedger, withoutMessages)
	if withLedger > 24 {
		t.Errorf("%d of 72 connections at one host with the ledger, want at most 24", withLedger)
	}
	tier.procs[0].Kill()
	clients = tier.connect(36, 0)
	tier.start(0)
	clients = append(clients, tier.connect(36, noProxy)...)
	if len(clients) < 60 {
		t.Errorf("%d connections are established while the ledger server is killed and restarted, want 60 or more", len(clients))
	}
	tier.disconnect(clients)
}
