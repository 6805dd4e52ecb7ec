package experiment

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"croftlock/internal/testbed/fake"
)

const (
	opsTimeout        = 2 * time.Second        // time limit of a client's wait for an answer
	opsPersistent     = 40                     // number of persistent clients
	opsConnectionRate = 60.0                   // short-lived connections a second
	upgrades          = 20                     // hot restarts under load
	upgradeTimeout    = 6 * time.Second        // time limit for a new process to become ready
	drainNoticeLimit  = 250 * time.Millisecond // time after a suspension from which the host must receive no new requests
)

// opsUpgrade performs 20 hot restarts under load, then kills a process at each step of one.
func opsUpgrade(e *Env, r *Report) error {
	s, err := newProxySite(e, opsConnectionRate)
	if err != nil {
		return err
	}
	defer s.close()
	unanswered, readyTimes, err := s.upgradeUnderLoad(r)
	if err != nil {
		return err
	}
	resumed := s.resumedByCurrent()
	r.StartTable(deathTable, "step", "short-lived clients without an answer", "serving process")
	for _, step := range deathSteps {
		if err := s.checkDeath(r, step); err != nil {
			return fmt.Errorf("%s: %w", step, err)
		}
	}
	r.AddValue("unanswered", unanswered)
	r.AddValue("ready_ms", readyTimes)
	r.AddValue("resumed_by_last", resumed)
	return nil
}

// upgradeUnderLoad performs the hot restarts and reports their effects on clients. It returns the number
// of short-lived clients without an answer, and the milliseconds until each new process was ready.
func (s *proxySite) upgradeUnderLoad(r *Report) (unanswered int, readyTimes samples, err error) {
	var exitTimes samples // milliseconds from SIGTERM to the old process's end
	for range upgrades {
		readyIn, exitedIn, err := s.hotRestart()
		if err != nil {
			return 0, nil, err
		}
		readyTimes, exitTimes = append(readyTimes, readyIn.Seconds()*1e3), append(exitTimes, exitedIn.Seconds()*1e3)
		time.Sleep(500 * time.Millisecond)
	}
	unanswered = s.unanswered()
	const title = "hot restarts under load"
	r.StartTable(title, "processes", "short-lived clients", "unanswered", "persistent", "lost", "migrated", "new one ready, ms", "old one ended, ms")
	r.AddRow(title, upgrades, s.shortLived.count("UP")+s.shortLived.count("BUSY")+s.shortLived.count("ERR")+unanswered, unanswered, opsPersistent,
		len(s.persistent.lost), s.persistent.migrations, readyTimes, exitTimes)
	r.Check(unanswered == 0, "connections without an answer", unanswered)
	s.checkPersistent(r)
	r.Check(readyTimes.quantile(1) < 6000, "ms until the new process is ready, at most 6,000", readyTimes)
	r.Check(exitTimes.quantile(1) < 3700, "ms from SIGTERM to the old process's end, at most 3,700", exitTimes)
	r.Check(s.shortLived.count("ERR") == 0, "short-lived clients that failed", s.shortLived.count("ERR"))
	return unanswered, readyTimes, nil
}

// checkPersistent checks that no persistent connection was lost.
func (s *proxySite) checkPersistent(r *Report) {
	lost := s.persistent.lost
	r.Check(len(lost) == 0, "persistent connections lost", strings.Join(lost, "; ")+fmt.Sprint(len(lost)))
}

// resumedByCurrent returns the number of connections that the current process has taken over, according
// to its log.
func (s *proxySite) resumedByCurrent() (total int) {
	for _, l := range s.current.LogLines("resumed=") {
		_, rest, _ := strings.Cut(l, "resumed=")
		n, _ := strconv.Atoi(strings.Fields(rest)[0])
		total += n
	}
	return total
}

// deathTable is the title of the table with one row for each deathStep.
const deathTable = "a process dies"

// deathStep specifies which process dies at which step of a hot restart. Reports print it.
type deathStep string

const (
	newBeforeReady deathStep = "new process, before it is ready"
	oldBeforeReady deathStep = "old process, before the new one is ready"
	newAfterReady  deathStep = "new process, after it was ready"
)

// deathSteps lists the steps in the order in which opsUpgrade tests them.
var deathSteps = []deathStep{newBeforeReady, oldBeforeReady, newAfterReady}

// checkDeath kills a process at a step and reports the effects on clients. Clients that the killed
// process has accepted lose their connections; those still in the listening socket's queue do not.
func (s *proxySite) checkDeath(r *Report, step deathStep) error {
	before := s.unanswered()
	serving, err := s.killAtStep(step)
	if err != nil {
		return err
	}
	lost := s.unanswered() - before
	r.AddRow(deathTable, step, lost, serving)
	c, a, err := fake.Open(s.setup.Listen, requestClass, "", opsTimeout)
	if c != nil {
		c.Close()
	}
	r.Check(err == nil && a.Kind == "UP", fmt.Sprint("served after the death of the ", step), a.Kind)
	r.Check(lost <= 3, fmt.Sprintf("short-lived clients without an answer at the death of the %s, at most 3", step), lost)
	return nil
}

// killAtStep kills a process at one step of a hot restart. It returns which process serves afterwards,
// "old" or "new".
func (s *proxySite) killAtStep(step deathStep) (serving string, err error) {
	p, admin, err := s.startProcess()
	if err != nil {
		return "", err
	}
	serving = "old"
	switch step {
	case newBeforeReady:
		p.Kill()
	case oldBeforeReady:
		s.current.Kill()
		s.current, s.admin, serving = p, admin, "new"
	case newAfterReady:
		if err := AwaitReady(admin, upgradeTimeout); err != nil {
			return "", err
		}
		p.Kill()
		if !s.current.AwaitLog("taken_back", 5*time.Second) {
			return "", errors.New("the old process did not log taken_back within 5 s of the new one's death")
		}
	}
	err = AwaitReady(s.admin, upgradeTimeout)
	time.Sleep(500 * time.Millisecond)
	return serving, err
}

// suspendTable is the title of the table with one row for each suspension.
const suspendTable = "a suspended host"

// opsSuspend suspends and resumes a host three times, with list changes and a hot restart during each
// suspension.
func opsSuspend(e *Env, r *Report) error {
	s, err := newProxySite(e, opsConnectionRate)
	if err != nil {
		return err
	}
	defer s.close()
	r.StartTable(suspendTable, "round", "requests within 250 ms", "requests after", "established after 1.25 s", "first request after the resumption, ms")
	lateRequests, firstTimes := 0, samples{}
	for round := range 3 {
		time.Sleep(2 * time.Second)
		observed, err := s.suspendAndResume()
		if err != nil {
			return err
		}
		lateRequests += observed.sentAfter
		if observed.firstMS > 0 {
			firstTimes = append(firstTimes, observed.firstMS)
		}
		r.AddRow(suspendTable, round+1, observed.sentInNotice, observed.sentAfter, observed.established, observed.firstMS)
		r.Check(observed.firstMS > 0, fmt.Sprintf("round %d: it receives requests within 5 s of the resumption", round+1), observed.firstMS)
	}
	status, _, _, _ := CallAdmin(s.admin, "POST", "/v1/catalogue-servers/nobody/suspend")
	r.Check(status == 404, "status for an ID that was never listed, want 404", status)
	r.Check(lateRequests == 0, "requests to a suspended host after its grace", lateRequests)
	s.checkPersistent(r)
	r.AddValue("requests_after_grace", lateRequests)
	r.AddValue("first_ms", firstTimes)
	return nil
}

// suspensionOutcome records the requests and connections of a host around one suspension.
type suspensionOutcome struct {
	sentInNotice int     // requests within drainNoticeLimit of the suspension
	sentAfter    int     // requests after drainNoticeLimit
	established  int     // connections still open 1.25 s after the suspension
	firstMS      float64 // milliseconds from the resumption to the first request; 0 if none within 5 s
}

// suspendAndResume suspends the first host, applies list changes and a hot restart, which must not end
// the suspension, and resumes the host.
func (s *proxySite) suspendAndResume() (outcome suspensionOutcome, err error) {
	host, path := s.upstreams.servers[0], "/v1/catalogue-servers/"+s.upstreams.servers[0].UID
	requests := func() int { n, _ := host.Requests(); return n }
	before := requests()
	if status, body, _, err := CallAdmin(s.admin, "POST", path+"/suspend"); err != nil || status != 200 {
		return outcome, fmt.Errorf("suspend %s: status %d, body %q, error %v", host.UID, status, body, err)
	}
	time.Sleep(drainNoticeLimit)
	atLimit := requests()
	s.upstreams.discovery.Set(host.Entry()) // publishes a new revision in which the host is up
	time.Sleep(time.Second)
	outcome.established = host.Established()
	if _, _, err := s.hotRestart(); err != nil {
		return outcome, err
	}
	s.upstreams.discovery.SetState(host.UID, "draining")
	s.upstreams.discovery.SetState(host.UID, "up")
	time.Sleep(2 * time.Second)
	atEnd := requests()
	outcome.sentInNotice, outcome.sentAfter = atLimit-before, atEnd-atLimit
	startedAt := time.Now()
	if status, _, _, err := CallAdmin(s.admin, "POST", path+"/resume"); err != nil || status != 200 {
		return outcome, fmt.Errorf("resume %s: status %d, error %v", host.UID, status, err)
	}
	for time.Since(startedAt) < 5*time.Second && outcome.firstMS == 0 {
		if requests() > atEnd {
			outcome.firstMS = time.Since(startedAt).Seconds() * 1e3
		}
		time.Sleep(5 * time.Millisecond)
	}
	return outcome, nil
}
