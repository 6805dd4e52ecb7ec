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

// Host is an upstream host to connect to. Address is "host:port".
type Host struct{ ID, Zone, Address string }

// kernelBuffer is the size, in bytes, requested for the kernel's receive buffer of a connection. It is that
// of netio's kernelBuffer.
const kernelBuffer = 16 << 10

// Dialer opens TLS connections to upstream hosts. Its methods must be called on the loop unless
// documented otherwise.
type Dialer struct {
	loop         *netio.Loop
	wallClock    func() time.Time
	material     *Material // the loaded certificate, key and trust files, for new connections
	budget       *handshake.Budget
	cache        *sessionCache
	peers        map[string]*tlsPeer     // TLS configurations by host ID; at most maxPeers
	dials        map[uint64]*pendingDial // queued and in flight, by the ID of the request to the handshake budget
	lastID       uint64                  // the last such ID; the first is 1
	jobs         chan *handshakeJob
	computeToken chan struct{} // held by the one worker that computes, so that the loop does not wait for several; see sealedSocket
	budgetTimer  *netio.Timer  // calls startAllowed; nil if no call is scheduled
	counts       counts
	reloads      chan reload // read by watch
}

// counts counts the handshakes since logCounts last logged them, and the time that this side spent
// computing in them.
type counts struct {
	full, resumed    int // handshakes that succeeded, without and with a resumed session
	totalComputeTime time.Duration
	failed           map[Reason]int
}

// maxPeers is the maximum number of hosts whose TLS configuration is cached. At the maximum the cache
// is cleared; configurations are made again when needed.
const maxPeers = 4096

// New returns a Dialer that uses m, the loaded certificate, key and trust files, and the options with which
// m was loaded. It starts the workers, one for each handshake that may be in flight. The files are not
// polled for changes before Run is called.
func New(l *netio.Loop, m *Material, wallClock func() time.Time) *Dialer {
	dialer := &Dialer{loop: l, wallClock: wallClock, material: m, budget: handshake.New(m.options.Handshakes, l.Now()),
		cache: newSessionCache(m.options.MaxSessions), peers: map[string]*tlsPeer{}, dials: map[uint64]*pendingDial{},
		jobs: make(chan *handshakeJob, m.options.Handshakes.MaxInFlight), reloads: make(chan reload, 1),
		computeToken: make(chan struct{}, 1)}
	dialer.counts.failed = map[Reason]int{}
	for range m.options.Handshakes.MaxInFlight {
		go dialer.runWorker()
	}
	return dialer
}

// peerFor returns the TLS configuration for connections to a host, or the failure because of which none can
// be opened now: the proxy's own files are at fault, the address is invalid (reported as Unreachable), or
// no certificate name is specified for the host.
func (d *Dialer) peerFor(host Host) (*tlsPeer, *Failure) {
	m := d.material
	if f := m.OwnFault(d.wallClock()); f != nil {
		return nil, f
	}
	address, _, err := net.SplitHostPort(host.Address)
	if err != nil {
		return nil, &Failure{Reason: Unreachable, Step: "queue", Err: err}
	}
	name, ok := m.options.ExpectedName(host.ID, host.Zone, address)
	if !ok {
		return nil, &Failure{Reason: NoExpectedName, Step: "queue", Err: fmt.Errorf("the options specify no certificate name for host %s in zone %q", host.ID, host.Zone)}
	}
	p := d.peers[host.ID]
	if p == nil || p.material != m || p.key.name != name {
		if len(d.peers) >= maxPeers {
			clear(d.peers)
		}
		p = newTLSPeer(m, host.ID, name, d.cache, d.wallClock)
		d.peers[host.ID] = p
	}
	return p, nil
}

// startAllowed starts the handshakes that the budget allows now, and fails those whose deadline comes
// too soon. It schedules its next call for the time at which the budget may allow more.
func (d *Dialer) startAllowed() {
	ready, expired, nextAfter := d.budget.Next(d.loop.Now())
	for _, id := range expired {
		if dial := d.dials[id]; dial != nil {
			d.loop.Post(func() { dial.fail(budgetFailure(handshake.DeadlineTooSoon)) })
		}
	}
	for _, id := range ready {
		d.startHandshake(d.dials[id])
	}
	d.budgetTimer.Stop()
	d.budgetTimer = nil
	if nextAfter > 0 { // 0: the budget changes only with Enqueue and Done
		d.budgetTimer = d.loop.After(nextAfter, d.startAllowed)
	}
}

// startHandshake passes a dial to a worker. The send does not block, because the channel holds as many
// jobs as handshakes may be in flight.
func (d *Dialer) startHandshake(dial *pendingDial) {
	// The certificate files or the expected name may have changed while the dial was queued.
	p, f := d.peerFor(dial.host)
	if f != nil {
		d.loop.Post(func() { dial.fail(f) })
		d.budget.Done(d.loop.Now(), dial.requestID, false, 0, false) // not resumed, no CPU time, failed
		return
	}
	dial.job = &handshakeJob{requestID: dial.requestID, peer: p, address: dial.host.Address, deadline: time.Now().Add(time.Duration(dial.deadline - d.loop.Now()))}
	d.jobs <- dial.job
}

// logFailure logs and counts why a connection to a host was not established. A fault of the proxy's own
// certificate, trust or revocation files (Reason.IsOwnFault) affects every host and has a separate log
// event.
func (d *Dialer) logFailure(host string, f *Failure) {
	d.counts.failed[f.Reason]++
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

// logBrokenSession logs why an established connection broke. late reports whether the host rejected the
// handshake after this side had finished it; this is logged and counted as a failed handshake.
func (d *Dialer) logBrokenSession(host string, f *Failure, late bool) {
	if late {
		d.logFailure(host, f)
		return
	}
	slog.Warn("tls_broken", "host", host, "reason", string(f.Reason), "detail", f.Err.Error())
}

// Run starts polling the certificate, key and trust files for changes and logging the counts. It does not
// block.
func (d *Dialer) Run() {
	go d.watch(d.material)
	d.loop.After(countLogInterval, d.logCounts)
}

// countLogInterval is the interval between log lines with counts.
const countLogInterval = 10 * time.Second

// logCounts logs the counts since its last call, unless there are none, and schedules its next call.
func (d *Dialer) logCounts() {
	d.loop.After(countLogInterval, d.logCounts)
	c := d.counts
	if c.full+c.resumed+len(c.failed) == 0 {
		return
	}
	var failed []string
	for r, n := range c.failed {
		failed = append(failed, fmt.Sprintf("%s:%d", r, n))
	}
	sort.Strings(failed)
	slog.Info("tls_counts", "full", c.full, "resumed", c.resumed, "cpu_ms", c.totalComputeTime.Milliseconds(), "queued", d.budget.Waiting(),
		"in_flight", d.budget.InFlight(), "sessions", d.cache.len(), "epoch", d.material.Epoch, "failed", strings.Join(failed, ","))
	d.counts = counts{failed: map[Reason]int{}}
}

// SetMaterial makes new connections use m, the content of changed files. Open connections are not affected.
// Sessions that were made with other files (another epoch, the number of a version of the files) are no
// longer resumed.
func (d *Dialer) SetMaterial(m *Material) {
	d.material = m
	clear(d.peers)
	d.cache.removeOtherEpochs(m.Epoch)
}
