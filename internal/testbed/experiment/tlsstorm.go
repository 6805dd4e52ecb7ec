package experiment

import (
	"fmt"
	"time"

	"croftlock/internal/operations/certs"
	"croftlock/internal/testbed/fake"
)

const (
	stayingClients, migratingClients = 300, 500
	stormTimeout                     = 4 * time.Second       // deadline of the proxy's request class
	hostRate                         = 200                   // full handshakes per second with one host
	stormBurst                       = 50 * time.Millisecond // handshakes that a burst may contain, as the time for which the rate allows them
	reconnectLimit                   = 8 * time.Second       // for all clients to be connected again
)

// stormCase specifies how the clients of the drained server reconnect.
type stormCase struct {
	name           string
	plain          bool       // TCP without TLS
	extraSettings  string     // additional settings in the tls section
	reconnectAfter delayRange // delay before a client reconnects
	bounds         bool       // whether the TLS files are replaced during the storm and the bounds are checked
}

// reconnectDelay is the operators' figure for the delay before clients reconnect.
var reconnectDelay = delayRange{50 * time.Millisecond, 1700 * time.Millisecond}

// stormCases lists the cases in the order in which tlsStorm runs them.
var stormCases = []stormCase{
	{name: "full", extraSettings: " (reuse off)", reconnectAfter: reconnectDelay, bounds: true},
	{name: "full, all at once", extraSettings: " (reuse off)"},
	{name: "resumed", extraSettings: "(reuse on)", reconnectAfter: reconnectDelay},
	{name: "plain TCP", plain: true, reconnectAfter: reconnectDelay},
	{name: "plain TCP, all at once", plain: true},
}

// tlsStorm migrates the 500 clients of one server at once while 300 other clients stay on two
// servers, all through one proxy on one core. The clients reconnect after 50 to 1,700 ms. Sessions
// are not resumed, so that each of the 500 clients needs a full handshake. Further cases without
// bounds reconnect all clients at once, resume sessions, or use TCP without TLS, which shows the
// cost of reconnecting alone.
func tlsStorm(e *Env, r *Report) error {
	for _, c := range stormCases {
		if err := c.run(e, r); err != nil {
			return fmt.Errorf("%s: %w", c.name, err)
		}
	}
	return nil
}

// storm is a running stormCase.
type storm struct {
	stormCase
	upstreams *upstreams
	proxy     *Process
	ownCore   bool               // whether the proxy has a core of its own
	staying   *persistentClients // clients of the two servers that are not drained
	migrating *persistentClients // clients of the server that is drained
}

// stormResult holds the measurements of one storm.
type stormResult struct {
	latenciesBefore, latenciesDuring samples        // milliseconds from the staying clients' lines to the answers
	handshakesBefore                 map[string]int // number of handshakes before the storm, by server
	reloadsBefore                    int            // reloads of TLS files before the storm
	reconnectedAfter                 time.Duration  // time until all clients were connected again; 0 if some were not
	cpu                              time.Duration  // CPU time of the proxy
	withinBudget                     bool           // whether no server got more handshakes than its budget

	served, unanswered, late int      // answers to requests of the migrated clients
	lost                     []string // errors of connections that ended without a migration
	repeatedRequests         int      // requests that a server received twice
}

// run runs the case and adds its results to the report.
func (c stormCase) run(e *Env, r *Report) error {
	s, err := c.prepare(e)
	if err != nil {
		return err
	}
	defer s.upstreams.close()
	defer s.proxy.Kill()
	defer s.staying.stop()
	defer s.migrating.stop()
	if err := s.connectClients(e); err != nil {
		return err
	}
	result, err := s.drain(e)
	if err != nil {
		return err
	}
	s.count(result)
	s.writeTables(r, result)
	s.staying.stopping.Store(true)
	s.migrating.stopping.Store(true)
	ended := s.proxy.Stop()
	if c.bounds {
		s.checkBounds(r, result, ended)
	}
	return nil
}

// prepare starts the servers and the proxy. The clients are not connected yet.
func (c stormCase) prepare(e *Env) (s *storm, err error) {
	upstreams, err := newUpstreams(e, 3, !c.plain)
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			upstreams.close()
		}
	}()
	settings := ""
	if !c.plain {
		handshakes := fmt.Sprintf("(cpu 35%%) (rate 600) (host-rate %d) (burst %dms)", hostRate, stormBurst.Milliseconds())
		if settings, err = upstreams.settings("(handshakes "+handshakes+")", c.extraSettings); err != nil {
			return nil, err
		}
	}
	proxy, err := e.Proxy(Setup{Name: "storm", Discovery: upstreams.discovery.Addr(), InitialList: upstreams.discovery.List(), Settings: settings,
		ConnectTimeout: 3500 * time.Millisecond, Deadline: stormTimeout})
	if err != nil {
		return nil, err
	}
	return &storm{stormCase: c, upstreams: upstreams, proxy: proxy, ownCore: proxy.isolateCPU(),
		staying:   &persistentClients{answers: newAnswerCounts(), interval: 250 * time.Millisecond},
		migrating: &persistentClients{answers: newAnswerCounts(), interval: 2 * time.Second, awaitMigrations: true, reconnectAfter: c.reconnectAfter}}, nil
}

// connectClients connects all clients, each to a given server.
func (s *storm) connectClients(e *Env) error {
	e.Logf("%s: %d clients connect to two servers, %d to the third", s.name, stayingClients, migratingClients)
	for _, group := range []struct {
		clients *persistentClients
		number  int
		server  string
	}{{s.staying, stayingClients / 2, "at=s2"}, {s.staying, stayingClients / 2, "at=s3"}, {s.migrating, migratingClients, "at=s1"}} {
		if err := group.clients.connect(s.proxy.Addr, group.number, group.server, 20*time.Second); err != nil {
			return fmt.Errorf("connect clients (%s) before the storm: %v", group.server, err)
		}
	}
	s.migrating.answers.reset()
	time.Sleep(2 * time.Second)
	return nil
}

// drain takes measurements before the storm, drains the first server, and takes measurements until
// all clients are connected again.
func (s *storm) drain(e *Env) (*stormResult, error) {
	result := &stormResult{handshakesBefore: map[string]int{}}
	beforeFrom := time.Now()
	time.Sleep(5 * time.Second)
	beforeTo := time.Now()
	for _, server := range s.upstreams.servers {
		result.handshakesBefore[server.UID] = len(server.Handshakes())
	}
	cpu := s.proxy.CPUTime()
	e.Logf("server s1 drains")
	s.upstreams.discovery.SetState("s1", "draining")
	time.Sleep(300 * time.Millisecond)
	startedAt := time.Now()
	s.upstreams.servers[0].Drain()
	result.reloadsBefore = len(s.proxy.LogLines("event=tls_files_taken"))
	if s.bounds {
		if err := s.replaceFiles(); err != nil {
			return nil, err
		}
	}
	result.reconnectedAfter = s.awaitReconnected(startedAt)
	stormTo := time.Now()
	result.cpu = s.proxy.CPUTime() - cpu
	time.Sleep(time.Second)
	result.latenciesBefore, result.latenciesDuring = s.staying.latenciesBetween(beforeFrom, beforeTo), s.staying.latenciesBetween(startedAt, stormTo)
	return result, nil
}

// replaceFiles adds an authority to the proxy's CA bundle and replaces the proxy's certificate
// during the storm.
func (s *storm) replaceFiles() error {
	time.Sleep(300 * time.Millisecond)
	if _, err := fake.SaveTrustBundle(s.upstreams.dir, s.upstreams.pki.Trusted, s.upstreams.pki.Other); err != nil {
		return err
	}
	_, err := s.upstreams.pki.Trusted.SaveClientCertificate(s.upstreams.dir, certs.Spec{Name: "proxy"})
	return err
}

// awaitReconnected waits until all clients are connected to the two servers that are not drained.
// It returns the time since the storm began, or 0 if they are not connected within twice the limit.
func (s *storm) awaitReconnected(startedAt time.Time) time.Duration {
	for time.Since(startedAt) < 2*reconnectLimit {
		time.Sleep(10 * time.Millisecond)
		if s.upstreams.servers[1].Established()+s.upstreams.servers[2].Established() >= stayingClients+migratingClients {
			return time.Since(startedAt)
		}
	}
	return 0
}
