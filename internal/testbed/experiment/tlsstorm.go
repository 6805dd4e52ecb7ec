package experiment

import (
	"fmt"
	"time"

	"croftlock/internal/operations/certs"
	"croftlock/internal/testbed/fake"
)

const (
	calmClients, stormClients = 300, 500
	stormWait                 = 4 * time.Second
	hostRate                  = 200 // full handshakes a second with one host
	stormBurst                = 50 * time.Millisecond
	placedWithin              = 8 * time.Second
)

// stormCase is one way in which the clients of the drained server come again.
type stormCase struct {
	name     string
	plain    bool             // TCP without TLS
	settings string           // more of the tls section
	away     [2]time.Duration // least and most before a client comes again
	bounds   bool             // the files are replaced in the midst of it, and bounds are held
}

// comeAgain is how soon clients come again, as the operators state it.
var comeAgain = [2]time.Duration{50 * time.Millisecond, 1700 * time.Millisecond}

var stormCases = []stormCase{
	{name: "full", settings: " (reuse off)", away: comeAgain, bounds: true},
	{name: "full, in one moment", settings: " (reuse off)"},
	{name: "resumed", settings: "(reuse on)", away: comeAgain},
	{name: "plain TCP", plain: true, away: comeAgain},
	{name: "plain TCP, in one moment", plain: true},
}

// tlsStorm: 500 clients of one server are sent away at once, while 300 others stand on two servers, all through one proxy
// on one core. No session is resumed: each of the 500 needs a full handshake. They come again after 50 to 1,700 ms, as the
// operators say that clients do. Beside it, without bounds: all in one moment, resumed, and the same without any TLS,
// which shows what the wave costs by itself.
func tlsStorm(e *Env, r *Report) error {
	for _, c := range stormCases {
		if err := c.play(e, r); err != nil {
			return fmt.Errorf("%s: %w", c.name, err)
		}
	}
	return nil
}

// storm is one case under way.
type storm struct {
	stormCase
	upstreams *upstreams
	proxy     *Process
	alone     bool             // the proxy has a core of its own
	staying   *standingClients // clients of the two servers that stay
	movedAway *standingClients // clients of the server that drains
}

// stormFigures is what one storm was measured by.
type stormFigures struct {
	calm, wave   samples        // milliseconds of the calm crowd's lines, before and during it
	earlier      map[string]int // handshakes of each server before it
	filesTaken   int            // times that the proxy had taken new files before it
	placed       time.Duration  // until all were placed again; 0: they were not
	cpu          time.Duration  // of the proxy
	withinBudget bool           // no host got more handshakes than its budget

	served, unanswered, late int      // requests of the clients that were sent away
	lost                     []string // connections that ended other than by a migration
	ranTwice                 int      // requests that a host saw twice
}

// play has one storm happen and reports it.
func (c stormCase) play(e *Env, r *Report) error {
	s, err := c.prepare(e)
	if err != nil {
		return err
	}
	defer s.upstreams.close()
	defer s.proxy.Kill()
	defer s.staying.end()
	defer s.movedAway.end()
	if err := s.settle(e); err != nil {
		return err
	}
	figures, err := s.drain(e)
	if err != nil {
		return err
	}
	s.count(figures)
	s.tables(r, figures)
	s.staying.stopping.Store(true)
	s.movedAway.stopping.Store(true)
	ended := s.proxy.Stop()
	if c.bounds {
		s.hold(r, figures, ended)
	}
	return nil
}

// prepare starts the servers and the proxy.
func (c stormCase) prepare(e *Env) (s *storm, err error) {
	f, err := newUpstreams(e, 3, !c.plain)
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			f.close()
		}
	}()
	settings := ""
	if !c.plain {
		handshakes := fmt.Sprintf("(cpu 35%%) (rate 600) (host-rate %d) (burst %dms)", hostRate, stormBurst.Milliseconds())
		if settings, err = f.settings("(handshakes "+handshakes+")", c.settings); err != nil {
			return nil, err
		}
	}
	p, err := e.Proxy(Setup{Name: "storm", Discovery: f.discovery.Addr(), Known: f.discovery.List(), Settings: settings,
		Connect: 3500 * time.Millisecond, Deadline: stormWait})
	if err != nil {
		return nil, err
	}
	return &storm{stormCase: c, upstreams: f, proxy: p, alone: p.isolateCPU(),
		staying:   &standingClients{answers: newAnswerCounts(), interval: 250 * time.Millisecond},
		movedAway: &standingClients{answers: newAnswerCounts(), interval: 2 * time.Second, awaitMoves: true, returnAfter: c.away}}, nil
}

// settle has all clients connect to the servers that they are to stand on.
func (s *storm) settle(e *Env) error {
	e.Logf("%s: %d clients settle on two servers, %d on the third", s.name, calmClients, stormClients)
	for _, group := range []struct {
		crowd   *standingClients
		clients int
		server  string
	}{{s.staying, calmClients / 2, "at=s2"}, {s.staying, calmClients / 2, "at=s3"}, {s.movedAway, stormClients, "at=s1"}} {
		if err := group.crowd.connect(s.proxy.Addr, group.clients, group.server, 20*time.Second); err != nil {
			return fmt.Errorf("before the storm: %v", err)
		}
	}
	s.movedAway.answers.reset()
	time.Sleep(2 * time.Second)
	return nil
}

// drain measures the calm, drains the first server, and measures until all are placed again.
func (s *storm) drain(e *Env) (*stormFigures, error) {
	f := &stormFigures{earlier: map[string]int{}}
	calmFrom := time.Now()
	time.Sleep(5 * time.Second)
	calmTo := time.Now()
	for _, server := range s.upstreams.servers {
		f.earlier[server.UID] = len(server.Handshakes())
	}
	cpu := s.proxy.CPU()
	e.Logf("server s1 drains")
	s.upstreams.discovery.SetState("s1", "draining")
	time.Sleep(300 * time.Millisecond)
	began := time.Now()
	s.upstreams.servers[0].Drain()
	f.filesTaken = len(s.proxy.Log("event=tls_files_taken"))
	if s.bounds {
		if err := s.replaceFiles(); err != nil {
			return nil, err
		}
	}
	f.placed = s.awaitPlaced(began)
	stormTo := time.Now()
	f.cpu = s.proxy.CPU() - cpu
	time.Sleep(time.Second)
	f.calm, f.wave = s.staying.between(calmFrom, calmTo), s.staying.between(began, stormTo)
	return f, nil
}

// replaceFiles has the bundle of authorities grow and the proxy's certificate replaced, in the midst of the storm.
func (s *storm) replaceFiles() error {
	time.Sleep(300 * time.Millisecond)
	if _, err := fake.SaveTrust(s.upstreams.dir, s.upstreams.pki.Trusted, s.upstreams.pki.Other); err != nil {
		return err
	}
	_, err := s.upstreams.pki.Trusted.SaveClient(s.upstreams.dir, certs.Spec{Name: "proxy"})
	return err
}

// awaitPlaced waits until all clients stand on the two servers that stay, and gives the time since the storm began; 0: they do not.
func (s *storm) awaitPlaced(began time.Time) time.Duration {
	for time.Since(began) < 2*placedWithin {
		time.Sleep(10 * time.Millisecond)
		if s.upstreams.servers[1].Established()+s.upstreams.servers[2].Established() >= calmClients+stormClients {
			return time.Since(began)
		}
	}
	return 0
}
