package experiment

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"croftlock/internal/testbed/fake"
)

// proxySite is one proxy with its hosts and clients. Hot restarts replace the process of the proxy.
type proxySite struct {
	*Env
	upstreams  *upstreams
	setup      Setup
	current    *Process // process that accepts clients
	admin      string   // address of the admin interface of current
	started    int      // number of processes started
	persistent *persistentClients
	shortLived *answerCounts  // answers to the short-lived clients
	load       sync.WaitGroup // goroutine that starts the short-lived clients
	stop       chan struct{}  // closed to end the load
}

// newProxySite starts the hosts and the proxy, connects the persistent clients and starts
// short-lived clients at a rate in connections per second.
func newProxySite(e *Env, rate float64) (*proxySite, error) {
	upstreams, err := newUpstreams(e, 3, false)
	if err != nil {
		return nil, err
	}
	s := &proxySite{Env: e, upstreams: upstreams, shortLived: newAnswerCounts(), stop: make(chan struct{}),
		persistent: &persistentClients{answers: newAnswerCounts(), interval: 500 * time.Millisecond, awaitMigrations: true,
			reconnectAfter: delayRange{50 * time.Millisecond, 500 * time.Millisecond}}}
	tmp, err := os.MkdirTemp(e.Dir, "tmp")
	if err != nil {
		return nil, err
	}
	s.setup = Setup{Name: "n0", Discovery: upstreams.discovery.Addr(), InitialList: upstreams.discovery.List(), TmpDir: tmp, MaxDescriptors: 1024}
	if s.setup.Listen, err = FreeAddr(); err != nil {
		return nil, err
	}
	if s.current, s.admin, err = s.startProcess(); err != nil {
		return nil, err
	}
	if err := s.persistent.connect(s.setup.Listen, opsPersistent, "", opsTimeout); err != nil {
		return nil, err
	}
	s.startLoad(rate)
	return s, nil
}

// unanswered returns the number of short-lived connections that ended without an answer.
func (s *proxySite) unanswered() int { return s.shortLived.count("NONE") }

// startProcess starts a process of the proxy and returns it with the address of its own admin
// interface. Every second process runs the earlier build, if there is one.
func (s *proxySite) startProcess() (*Process, string, error) {
	admin, err := FreeAddr()
	if err != nil {
		return nil, "", err
	}
	processSetup := s.setup
	processSetup.Admin = admin
	s.started++
	if s.EarlierBuild != "" && s.started%2 == 0 {
		processSetup.Program = s.EarlierBuild
	}
	p, err := s.Proxy(processSetup)
	return p, admin, err
}

// CallAdmin sends a request without a body to an admin interface, with a time limit of 5 s, and
// returns the status, the body and the duration of the call.
func CallAdmin(admin, method, path string) (status int, body string, took time.Duration, err error) {
	startedAt := time.Now()
	req, err := http.NewRequest(method, "http://"+admin+path, nil)
	if err != nil {
		return 0, "", 0, err
	}
	c := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return 0, "", time.Since(startedAt), err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), time.Since(startedAt), err
}

// AwaitReady waits until an admin interface reports that its process is ready. It returns an error
// if that takes longer than within.
func AwaitReady(admin string, within time.Duration) error {
	startedAt := time.Now()
	for time.Since(startedAt) < within {
		if status, _, _, err := CallAdmin(admin, "GET", "/v1/readyz"); err == nil && status == 200 {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return fmt.Errorf("admin interface %s: not ready after %v", admin, within)
}

// startLoad starts short-lived clients at a rate per second until s.stop is closed. Each client
// stays connected for a second.
func (s *proxySite) startLoad(rate float64) {
	s.load.Add(1)
	go func() {
		defer s.load.Done()
		var clients sync.WaitGroup
		ticker := time.NewTicker(time.Duration(1e9 / rate))
		defer ticker.Stop()
		for {
			select {
			case <-s.stop:
				clients.Wait()
				return
			case <-ticker.C:
				clients.Add(1)
				go func() {
					defer clients.Done()
					client, answer, _ := fake.Open(s.setup.Listen, requestClass, "", opsTimeout)
					s.shortLived.add(answer, opsTimeout)
					if client != nil {
						time.Sleep(time.Second)
						client.Close()
					}
				}()
			}
		}
	}()
}

// close stops the load, the persistent clients, the proxy and the hosts.
func (s *proxySite) close() {
	select {
	case <-s.stop:
	default:
		close(s.stop)
	}
	s.load.Wait()
	s.persistent.stop()
	s.current.Stop()
	s.upstreams.close()
}

// hotRestart starts a new process that takes over and, once it is ready, stops the old one by
// SIGTERM, as the platform does. readyIn is the time until the new process was ready, and
// exitedIn the time from SIGTERM until the old one ended.
func (s *proxySite) hotRestart() (readyIn, exitedIn time.Duration, err error) {
	beganAt := time.Now()
	p, admin, err := s.startProcess()
	if err != nil {
		return 0, 0, err
	}
	if err = AwaitReady(admin, upgradeTimeout); err != nil {
		return 0, 0, err
	}
	readyIn = time.Since(beganAt)
	old, signaledAt := s.current, time.Now()
	s.current, s.admin = p, admin
	err = old.Stop()
	return readyIn, time.Since(signaledAt), err
}
