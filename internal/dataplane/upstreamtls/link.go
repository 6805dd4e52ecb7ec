package upstreamtls

import (
	"fmt"
	"log/slog"
	"net"
	"sort"
	"strings"
	"time"

	"croftlock/internal/dataplane/handshake"
	"croftlock/internal/dataplane/netio"
)

// Host is an upstream host to connect to.
type Host struct{ ID, Zone, Address string }

// kernelBuffer is the size, in bytes, of the buffer requested from the kernel for a connection, as netio does.
const kernelBuffer = 16 << 10

// Dialer opens TLS connections to upstream hosts. Its methods belong to the loop, but for those that say otherwise.
type Dialer struct {
	loop         *netio.Loop
	wallClock    func() time.Time
	material     *Material
	budget       *handshake.Budget
	cache        *sessionCache
	peers        map[string]*tlsPeer
	dials        map[uint64]*pendingDial // queued and in flight
	lastID       uint64
	jobs         chan *handshakeJob
	computeToken chan struct{} // held by the worker that computes; see sealedSocket
	budgetTimer  *netio.Timer
	counts       counts
	reloads      chan reload // to the watcher
}

// counts are what was done since they were last logged.
type counts struct {
	full, resumed int
	cpu           time.Duration
	failed        map[Reason]int
}

// maxPeers bounds the hosts whose configuration is cached.
const maxPeers = 4096

// New makes a link with its workers, by the options that m was loaded from.
func New(l *netio.Loop, m *Material, wall func() time.Time) *Dialer {
	k := &Dialer{loop: l, wallClock: wall, material: m, budget: handshake.New(m.options.Handshakes, l.Now()),
		cache: newSessionCache(m.options.MaxSessions), peers: map[string]*tlsPeer{}, dials: map[uint64]*pendingDial{},
		jobs: make(chan *handshakeJob, m.options.Handshakes.MaxInFlight), reloads: make(chan reload, 1),
		computeToken: make(chan struct{}, 1)}
	k.counts.failed = map[Reason]int{}
	for range m.options.Handshakes.MaxInFlight {
		go k.runWorker()
	}
	return k
}

// peer is how to connect to a host now, or why that is not possible.
func (k *Dialer) peer(t Host) (*tlsPeer, *Failure) {
	m := k.material
	if f := m.OwnFault(k.wallClock()); f != nil {
		return nil, f
	}
	address, _, err := net.SplitHostPort(t.Address)
	if err != nil {
		return nil, &Failure{Reason: Unreachable, Step: "queue", Err: err}
	}
	name, ok := m.options.ExpectedName(t.ID, t.Zone, address)
	if !ok {
		return nil, &Failure{Reason: NoExpectedName, Step: "queue", Err: fmt.Errorf("no name to expect of %s in zone %q", t.ID, t.Zone)}
	}
	p := k.peers[t.ID]
	if p == nil || p.material != m || p.key.name != name {
		if len(k.peers) >= maxPeers {
			clear(k.peers)
		}
		p = newTLSPeer(m, t.ID, name, k.cache, k.wallClock)
		k.peers[t.ID] = p
	}
	return p, nil
}

// beginAllowed begins the handshakes that the budget allows.
func (k *Dialer) beginAllowed() {
	begin, late, again := k.budget.Next(k.loop.Now())
	for _, id := range late {
		if d := k.dials[id]; d != nil {
			k.loop.Post(func() { d.fail(budgetFailure(handshake.DeadlineTooSoon)) })
		}
	}
	for _, id := range begin {
		k.startHandshake(k.dials[id])
	}
	k.budgetTimer.Stop()
	k.budgetTimer = nil
	if again > 0 {
		k.budgetTimer = k.loop.After(again, k.beginAllowed)
	}
}

// startHandshake gives a dial to a worker. There are as many workers as handshakes may be in flight, so the channel takes it at once.
func (k *Dialer) startHandshake(d *pendingDial) {
	// The files, or the name that the host must have, may have changed while it was queued.
	p, f := k.peer(d.host)
	if f != nil {
		k.loop.Post(func() { d.fail(f) })
		k.budget.Done(k.loop.Now(), d.requestID, false, 0, false)
		return
	}
	d.job = &handshakeJob{requestID: d.requestID, peer: p, endpoint: d.host.Address, until: time.Now().Add(time.Duration(d.deadline - k.loop.Now()))}
	k.jobs <- d.job
}

// logFailure logs a failure. One of the proxy's own files is an event of its own, since it concerns every host.
func (k *Dialer) logFailure(host string, f *Failure) {
	k.counts.failed[f.Reason]++
	text := ""
	if f.Err != nil {
		text = f.Err.Error()
	}
	if f.Reason.IsOwnFault() {
		slog.Error("tls_own_fault", "reason", string(f.Reason), "detail", text)
		return
	}
	slog.Warn("tls_failed", "host", host, "reason", string(f.Reason), "step", f.Step, "detail", text)
}

// logBrokenSession logs why an established connection broke. late: the host had rejected the handshake.
func (k *Dialer) logBrokenSession(host string, f *Failure, late bool) {
	if late {
		k.logFailure(host, f)
		return
	}
	slog.Warn("tls_broken", "host", host, "reason", string(f.Reason), "detail", f.Err.Error())
}

// Run starts the watch of the files, and the counts in the log.
func (k *Dialer) Run() {
	go k.watch(k.material)
	k.loop.After(countEvery, k.logCounts)
}

// countEvery is how often the log sums up.
const countEvery = 10 * time.Second

// logCounts logs what was done since the last time.
func (k *Dialer) logCounts() {
	k.loop.After(countEvery, k.logCounts)
	c := k.counts
	if c.full+c.resumed+len(c.failed) == 0 {
		return
	}
	var failed []string
	for r, n := range c.failed {
		failed = append(failed, fmt.Sprintf("%s:%d", r, n))
	}
	sort.Strings(failed)
	slog.Info("tls_counts", "full", c.full, "resumed", c.resumed, "cpu_ms", c.cpu.Milliseconds(), "queued", k.budget.Waiting(),
		"in_flight", k.budget.InFlight(), "sessions", k.cache.len(), "epoch", k.material.Epoch, "failed", strings.Join(failed, ","))
	k.counts = counts{failed: map[Reason]int{}}
}

// SetMaterial has new connections follow new material; open ones go on.
func (k *Dialer) SetMaterial(m *Material) {
	k.material = m
	clear(k.peers)
	k.cache.keepOnly(m.Epoch)
}
