package node

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"
	"time"

	"croftlock/internal/balancer"
	"croftlock/internal/dataplane/cluster"
	"croftlock/internal/dataplane/hotrestart"
	"croftlock/internal/dataplane/lineproto"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/dataplane/proxy"
	"croftlock/internal/fleet/memberagent"
	"croftlock/internal/fleet/owneragent"
	"croftlock/internal/fleet/peers"
	"croftlock/internal/fleet/watermark"
	"croftlock/internal/operations/platform"
)

const (
	// tryFor is how long a start waits for an address, or for another replacement to end: the new process has 6 s to say
	// that it is ready.
	tryFor   = 5500 * time.Millisecond
	tryEvery = 100 * time.Millisecond
	// newsWithin is how long a new process waits for its own word from discovery before it takes over with the list it was
	// given, and takenWithin how long for the old one's last word.
	newsWithin  = 2500 * time.Millisecond
	takenWithin = 700 * time.Millisecond
	// tellEvery is how often an old process tells how many downstreams it holds.
	tellEvery = 250 * time.Millisecond
	// keepWithin is how long an operator's yes waits for the disk, and keepEvery how often a changed list is written.
	keepWithin = 400 * time.Millisecond
	keepEvery  = time.Second
)

// patiently tries until it succeeds, for as long as a start may take.
func patiently[T any](try func() (T, error), again func(error) bool) (T, error) {
	for end := time.Now().Add(tryFor); ; time.Sleep(tryEvery) {
		x, err := try()
		if err == nil || !again(err) || time.Now().After(end) {
			return x, err
		}
	}
}

// replacement is the part of a proxy that outlives its process. Its methods run on the loop.
type replacement struct {
	cfg     *platform.Config
	dir     string
	loop    *netio.Loop
	core    *proxy.Core
	watch   *cluster.Client
	front   *lineproto.Front
	on      *netio.Listener
	peers   *peers.Link // nil: there are none
	store   *hotrestart.Store
	door    *hotrestart.Endpoint
	dirty   bool                // the list has changed since it was written
	partner *hotrestart.Partner // nil: this is the only process
	older   bool                // and it is the one to stay no longer
	handed  bool                // the other one accepts
	waits   bool                // this one does not accept yet
	gave    balancer.Snapshot   // what the other one was told as it took over

	members *memberagent.Agent // nil: off, or another process's still
	owners  *owneragent.Agent  // the same
	owning  owneragent.Options

	floors   *watermark.Link // the same
	flooring watermark.Options
	began    time.Time
	joining  memberagent.Options
}

// keep is what the next process is to know.
func (r *replacement) keep(yield bool) *proxy.Snapshot {
	k := r.core.Snapshot(yield)
	k.Discovery, k.Revision = r.watch.Source()
	return k
}

// HostSuspended keeps an operator's word, and passes it on. done is called once, also where the disk hangs.
func (r *replacement) HostSuspended(id string, out bool, done func()) {
	if r.partner != nil {
		r.partner.HostSuspended(id, out)
	}
	if r.handed || r.waits {
		done() // the file is the other process's, and it has been told
		return
	}
	once := false
	yes := func() {
		if !once {
			once = true
			done()
		}
	}
	limit := r.loop.After(keepWithin, yes)
	r.store.Save(r.keep(false), func() { limit.Stop(); yes() })
}

// ListChanged has a changed list kept, soon.
func (r *replacement) ListChanged() {
	if r.dirty || r.handed || r.waits {
		return
	}
	r.dirty = true
	r.loop.After(keepEvery, func() {
		r.dirty = false
		if !r.handed {
			r.store.Save(r.keep(false), nil)
		}
	})
}

// news takes a list, and takes it for the sign that discovery speaks to this process.
func (r *replacement) news(ch proxy.Change) {
	r.core.ListReceived(ch)
	if ch.Kind == balancer.ListFailed {
		return
	}
	r.take()
	if r.partner != nil && r.older && len(ch.Hosts) > 0 { // also before it has taken over: this one may be gone by then
		list := r.keep(false)
		r.partner.ListChanged(&proxy.Snapshot{At: list.At, Discovery: list.Discovery, Revision: list.Revision, Hosts: list.Hosts})
	}
}

// HandOver hands an open connection to the process that takes over.
func (r *replacement) HandOver(s *proxy.HandedOverConnection, goodbye []byte, done func()) {
	if !r.Accepts() {
		s.Down.Discard(goodbye)
		s.Up.Discard(nil)
		done()
		return
	}
	r.partner.HandOver(s, goodbye, func() { r.loop.Post(done) })
}

// Accepts tells whether there is a process that takes over.
func (r *replacement) Accepts() bool { return r.partner != nil && r.older && r.handed }

// offer lets the next process ask.
func (r *replacement) offer() {
	if r.door != nil {
		r.door.Close()
	}
	var err error
	r.door, err = hotrestart.Offer(r.loop, r.dir, r.welcome, func(p *hotrestart.Partner) {
		r.partner, r.older = p, true
		debug.SetMemoryLimit(r.cfg.MemoryLimit() / 2)
		p.Run(r.loop, partner{r, p})
	})
	if err != nil {
		slog.Warn("hot_restart_off", "reason", err)
	}
}

func (r *replacement) welcome(listen string) (*hotrestart.Handoff, error) {
	switch {
	case r.partner != nil:
		return nil, errors.New("two processes are at it")
	case listen != r.cfg.Listen:
		return nil, fmt.Errorf("this one serves %s, not %s", r.cfg.Listen, listen)
	case !r.core.Ready():
		return nil, errors.New("this one is leaving")
	}
	h := &hotrestart.Handoff{Snapshot: r.keep(false), Listener: r.on.Fd(), Datagram: -1}
	if r.peers != nil {
		h.Datagram = r.peers.Fd()
	}
	slog.Info("hot_restart_requested", "sessions", r.core.Sessions())
	return h, nil
}

// serve accepts clients, hears the other proxies, and lets the next process ask.
func (r *replacement) serve() error {
	if err := r.front.Serve(); err != nil {
		return err
	}
	if r.peers != nil {
		r.peers.StartReceiving()
	}
	r.core.SetHandedOver(false)
	if r.dir != "" {
		r.offer()
	}
	return nil
}

// mustServe is serve for a process that has nothing else to do.
func (r *replacement) mustServe() {
	if err := r.serve(); err != nil {
		slog.Error("listener_lost", "addr", r.cfg.Listen, "reason", err)
		os.Exit(1)
	}
}

// begin has a new process take over, once it has heard from discovery itself or has waited long enough.
func (r *replacement) begin(p *hotrestart.Partner) {
	r.partner, r.waits = p, true
	r.core.SetHandedOver(true)
	debug.SetMemoryLimit(r.cfg.MemoryLimit() / 2)
	p.Run(r.loop, partner{r, p})
	r.watch.FetchList()
	r.watch.WatchList(true) // the module would wait for its turn, in which a drain goes unheard that the other process is told of
	r.loop.After(newsWithin, r.take)
}

// take tells the old process, once.
func (r *replacement) take() {
	if r.waits && !r.handed {
		r.handed = true // asked for; until it is answered the other one accepts
		r.partner.TakeOver()
		r.loop.After(takenWithin, r.accept)
	}
}

// accept begins to take clients.
func (r *replacement) accept() {
	if !r.waits {
		return
	}
	r.waits, r.handed = false, false
	r.mustServe()
	r.rejoin()
	slog.Info("hot_restart_taken_over", "partner", r.partner != nil)
	r.store.Save(r.keep(false), nil)
}

// tell tells the new process how many descriptors are still held here.
func (r *replacement) tell() {
	if r.partner != nil && r.older {
		r.partner.Sessions(r.core.Sessions())
		r.loop.After(tellEvery, r.tell)
	}
}

// partner hears the other process. What a former partner had still to say counts for nothing.
type partner struct {
	*replacement
	of *hotrestart.Partner
}
