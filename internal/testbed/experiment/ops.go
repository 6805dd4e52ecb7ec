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
	opsTimeout       = 2 * time.Second // of clients
	opsStanding      = 40              // clients that stay connected
	opsRate          = 60.0            // fresh connections a second
	upgrades         = 20
	upgradeTimeout   = 6 * time.Second        // until a new process is ready
	drainNoticeLimit = 250 * time.Millisecond // from a suspension until nothing new may be sent to the host
)

// opsUpgrade: 20 replacements under load, then a process that dies at each step of one.
func opsUpgrade(e *Env, r *Report) error {
	s, err := newProxySite(e, opsRate)
	if err != nil {
		return err
	}
	defer s.close()
	unanswered, ready, err := s.upgradeUnderLoad(r)
	if err != nil {
		return err
	}
	resumed := s.resumedByCurrent()
	r.Columns(deathTable, "step", "fresh clients that ended without an answer", "who serves")
	for _, step := range deathSteps {
		if err := s.playDeath(r, step); err != nil {
			return fmt.Errorf("%s: %w", step, err)
		}
	}
	r.Set("door", unanswered)
	r.Set("ready_ms", ready)
	r.Set("resumed_by_last", resumed)
	return nil
}

// upgradeUnderLoad replaces the process again and again, and reports what clients noticed. It gives how many fresh ones got no answer,
// and the milliseconds until each new process was ready.
func (s *proxySite) upgradeUnderLoad(r *Report) (unanswered int, ready samples, err error) {
	var leave samples // milliseconds
	for range upgrades {
		readyIn, leftIn, err := s.replace()
		if err != nil {
			return 0, nil, err
		}
		ready, leave = append(ready, readyIn.Seconds()*1e3), append(leave, leftIn.Seconds()*1e3)
		time.Sleep(500 * time.Millisecond)
	}
	unanswered = s.unansweredCount()
	const title = "replacements under load"
	r.Columns(title, "processes", "fresh clients", "ended at the door", "standing", "lost", "moved", "ready, ms", "old one gone, ms")
	r.Row(title, upgrades, s.fresh.count("UP")+s.fresh.count("BUSY")+s.fresh.count("ERR")+unanswered, unanswered, opsStanding,
		len(s.standing.lost), s.standing.moved, ready, leave)
	r.Check(unanswered == 0, "connections that ended at the door", unanswered)
	s.checkStanding(r)
	r.Check(ready.quantile(1) < 6000, "ms to the yes, at most 6,000", ready)
	r.Check(leave.quantile(1) < 3700, "ms from SIGTERM to the old one's end, at most 3,700", leave)
	r.Check(s.fresh.count("ERR") == 0, "fresh clients that failed", s.fresh.count("ERR"))
	return unanswered, ready, nil
}

// checkStanding states that no standing connection was lost.
func (s *proxySite) checkStanding(r *Report) {
	lost := s.standing.lost
	r.Check(len(lost) == 0, "standing connections lost", strings.Join(lost, "; ")+fmt.Sprint(len(lost)))
}

// resumedByCurrent is how many connections the process that serves has taken over, by its log.
func (s *proxySite) resumedByCurrent() (total int) {
	for _, l := range s.current.Log("resumed=") {
		_, rest, _ := strings.Cut(l, "resumed=")
		n, _ := strconv.Atoi(strings.Fields(rest)[0])
		total += n
	}
	return total
}

const deathTable = "a process dies"

// deathStep is the step of a replacement at which a process dies, as reports name it.
type deathStep string

const (
	newBeforeReady deathStep = "new one, before its yes"
	oldBeforeReady deathStep = "old one, before the new one's yes"
	newAfterReady  deathStep = "new one, after its yes"
)

var deathSteps = []deathStep{newBeforeReady, oldBeforeReady, newAfterReady}

// playDeath has a process die at a step, and reports what clients noticed. Whoever is connected to a process that is killed loses that
// connection; who waits in the queue does not.
func (s *proxySite) playDeath(r *Report, step deathStep) error {
	before := s.unansweredCount()
	serving, err := s.killAtStep(step)
	if err != nil {
		return err
	}
	lost := s.unansweredCount() - before
	r.Row(deathTable, step, lost, serving)
	c, a, err := fake.Open(s.setup.Listen, requestClass, "", opsTimeout)
	if c != nil {
		c.Close()
	}
	r.Check(err == nil && a.Kind == "UP", fmt.Sprint("served after the death of the ", step), a.Kind)
	r.Check(lost <= 3, fmt.Sprintf("fresh clients cut off by the death of the %s, at most 3", step), lost)
	return nil
}

// killAtStep kills a process at one step of a replacement, and leaves one that serves: the old or the new one.
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
		if err := Ready(admin, upgradeTimeout); err != nil {
			return "", err
		}
		p.Kill()
		if !s.current.Await("taken_back", 5*time.Second) {
			return "", errors.New("the old one did not take over again")
		}
	}
	err = Ready(s.admin, upgradeTimeout)
	time.Sleep(500 * time.Millisecond)
	return serving, err
}

const suspendTable = "a host out by hand"

// opsHand: a host is suspended and resumed, three times, through list changes and a replacement in between.
func opsHand(e *Env, r *Report) error {
	s, err := newProxySite(e, opsRate)
	if err != nil {
		return err
	}
	defer s.close()
	r.Columns(suspendTable, "round", "sends in the rule's 250 ms", "sends after", "standing left after 1.5 s", "first send after the call back, ms")
	after, firsts := 0, samples{}
	for round := range 3 {
		time.Sleep(2 * time.Second)
		o, err := s.suspendAndResume()
		if err != nil {
			return err
		}
		after += o.sentAfter
		if o.firstMS > 0 {
			firsts = append(firsts, o.firstMS)
		}
		r.Row(suspendTable, round+1, o.sentInNotice, o.sentAfter, o.standing, o.firstMS)
		r.Check(o.firstMS > 0, fmt.Sprintf("round %d: it receives within 5 s of the call back", round+1), o.firstMS)
	}
	status, _, _, _ := Call(s.admin, "POST", "/v1/catalogue-servers/nobody/suspend")
	r.Check(status == 404, "an id that was never listed", status)
	r.Check(after == 0, "sends to a suspended host after its grace", after)
	s.checkStanding(r)
	r.Set("sends_after_grace", after)
	r.Set("first_ms", firsts)
	return nil
}

// suspension is what a host got around one suspension.
type suspension struct {
	sentInNotice int     // connections within the notice limit
	sentAfter    int     // connections after it
	standing     int     // connections that still stood a good second later
	firstMS      float64 // milliseconds from the resumption to the first connection; 0: none within 5 s
}

// suspendAndResume suspends the first host, has lists and a replacement say otherwise, and resumes it.
func (s *proxySite) suspendAndResume() (o suspension, err error) {
	host, path := s.upstreams.servers[0], "/v1/catalogue-servers/"+s.upstreams.servers[0].UID
	opened := func() int { n, _ := host.Requests(); return n }
	before := opened()
	if status, body, _, err := Call(s.admin, "POST", path+"/suspend"); err != nil || status != 200 {
		return o, fmt.Errorf("suspend: %d %s %v", status, body, err)
	}
	time.Sleep(drainNoticeLimit)
	atLimit := opened()
	s.upstreams.discovery.Set(host.Entry()) // a list that says anew that it is up
	time.Sleep(time.Second)
	o.standing = host.Established()
	if _, _, err := s.replace(); err != nil {
		return o, err
	}
	s.upstreams.discovery.SetState(host.UID, "draining")
	s.upstreams.discovery.SetState(host.UID, "up")
	time.Sleep(2 * time.Second)
	atEnd := opened()
	o.sentInNotice, o.sentAfter = atLimit-before, atEnd-atLimit
	began := time.Now()
	if status, _, _, err := Call(s.admin, "POST", path+"/resume"); err != nil || status != 200 {
		return o, fmt.Errorf("resume: %d %v", status, err)
	}
	for time.Since(began) < 5*time.Second && o.firstMS == 0 {
		if opened() > atEnd {
			o.firstMS = time.Since(began).Seconds() * 1e3
		}
		time.Sleep(5 * time.Millisecond)
	}
	return o, nil
}
