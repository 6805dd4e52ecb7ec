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
	opsTimeout       = 2 * time.Second
	opsStanding      = 40
	opsRate          = 60.0 // fresh connections a second
	upgrades         = 20
	drainNoticeLimit = 250 * time.Millisecond
)

// opsUpgrade: 20 replacements under load, then a process that dies at each step of one.
func opsUpgrade(e *Env, r *Report) error {
	s, err := newProxySite(e, opsRate)
	if err != nil {
		return err
	}
	defer s.close()
	var readies, leaves samples
	for range upgrades {
		in, out, err := s.replace()
		if err != nil {
			return err
		}
		readies, leaves = append(readies, in.Seconds()*1e3), append(leaves, out.Seconds()*1e3)
		time.Sleep(500 * time.Millisecond)
	}
	door := s.unansweredCount()
	handed := 0
	for _, l := range s.current.Log("resumed=") {
		_, rest, _ := strings.Cut(l, "resumed=")
		n, _ := strconv.Atoi(strings.Fields(rest)[0])
		handed += n
	}
	r.Columns("replacements under load", "processes", "fresh clients", "ended at the door", "standing", "lost", "moved", "ready, ms", "old one gone, ms")
	r.Row("replacements under load", upgrades, s.fresh.count("UP")+s.fresh.count("BUSY")+s.fresh.count("ERR")+door, door, opsStanding,
		len(s.standing.lost), s.standing.moved, readies, leaves)
	r.Check(door == 0, "connections that ended at the door", door)
	r.Check(len(s.standing.lost) == 0, "standing connections lost", strings.Join(s.standing.lost, "; ")+fmt.Sprint(len(s.standing.lost)))
	r.Check(readies.quantile(1) < 6000, "ms to the yes, at most 6,000", readies)
	r.Check(leaves.quantile(1) < 3700, "ms from SIGTERM to the old one's end, at most 3,700", leaves)
	r.Check(s.fresh.count("ERR") == 0, "fresh clients that failed", s.fresh.count("ERR"))

	r.Columns("a process dies", "step", "fresh clients that ended without an answer", "who serves")
	for _, step := range []string{"new one, before its yes", "old one, before the new one's yes", "new one, after its yes"} {
		before := s.unansweredCount()
		who, err := s.killAtStep(step)
		if err != nil {
			return fmt.Errorf("%s: %w", step, err)
		}
		lost := s.unansweredCount() - before
		r.Row("a process dies", step, lost, who)
		// Whoever is connected to a process that is killed loses that connection; who waits in the queue does not.
		c, a, err := fake.Open(s.setup.Listen, requestClass, "", opsTimeout)
		if c != nil {
			c.Close()
		}
		r.Check(err == nil && a.Kind == "UP", "served after the death of the "+step, a.Kind)
		r.Check(lost <= 3, "fresh clients cut off by the death of the "+step+", at most 3", lost)
	}
	r.Set("door", door)
	r.Set("ready_ms", readies)
	r.Set("resumed_by_last", handed)
	return nil
}

// killAtStep kills a process at one step of a replacement, and leaves one that serves.
func (s *proxySite) killAtStep(step string) (string, error) {
	p, admin, err := s.startProcess()
	if err != nil {
		return "", err
	}
	who := "old"
	switch {
	case strings.HasPrefix(step, "new one, before"):
		p.Kill()
	case strings.HasPrefix(step, "old one"):
		s.current.Kill()
		s.current, s.admin, who = p, admin, "new"
	default:
		if err := Ready(admin, 6*time.Second); err != nil {
			return "", err
		}
		p.Kill()
		if !s.current.Await("taken_back", 5*time.Second) {
			return "", errors.New("the old one did not take over again")
		}
	}
	err = Ready(s.admin, 6*time.Second)
	time.Sleep(500 * time.Millisecond)
	return who, err
}

// opsHand: a host is taken out and called back, three times, through list changes and a replacement in between.
func opsHand(e *Env, r *Report) error {
	s, err := newProxySite(e, opsRate)
	if err != nil {
		return err
	}
	defer s.close()
	const title = "a host out by hand"
	r.Columns(title, "round", "sends in the rule's 250 ms", "sends after", "standing left after 1.5 s", "first send after the call back, ms")
	uid := s.upstreams.servers[0].UID
	after, firsts := 0, samples{}
	for round := range 3 {
		time.Sleep(2 * time.Second)
		b, _ := s.upstreams.servers[0].Opened()
		if status, body, _, err := Call(s.admin, "POST", "/v1/catalogue-servers/"+uid+"/suspend"); err != nil || status != 200 {
			return fmt.Errorf("suspend: %d %s %v", status, body, err)
		}
		time.Sleep(drainNoticeLimit)
		from, _ := s.upstreams.servers[0].Opened()
		s.upstreams.discovery.Set(s.upstreams.servers[0].Entry()) // told anew that it is up
		time.Sleep(time.Second)
		left := s.upstreams.servers[0].Standing()
		if _, _, err := s.replace(); err != nil {
			return err
		}
		s.upstreams.discovery.State(uid, "draining")
		s.upstreams.discovery.State(uid, "up")
		time.Sleep(2 * time.Second)
		to, _ := s.upstreams.servers[0].Opened()
		after += to - from
		began := time.Now()
		if status, _, _, err := Call(s.admin, "POST", "/v1/catalogue-servers/"+uid+"/resume"); err != nil || status != 200 {
			return fmt.Errorf("resume: %d %v", status, err)
		}
		first := 0.0
		for time.Since(began) < 5*time.Second && first == 0 {
			if n, _ := s.upstreams.servers[0].Opened(); n > to {
				first = time.Since(began).Seconds() * 1e3
			}
			time.Sleep(5 * time.Millisecond)
		}
		if first > 0 {
			firsts = append(firsts, first)
		}
		r.Row(title, round+1, from-b, to-from, left, first)
		r.Check(first > 0, fmt.Sprintf("round %d: it receives within 5 s of the call back", round+1), first)
	}
	status, _, _, _ := Call(s.admin, "POST", "/v1/catalogue-servers/nobody/suspend")
	r.Check(status == 404, "an id that was never listed", status)
	r.Check(after == 0, "sends to a suspended host after its grace", after)
	r.Check(len(s.standing.lost) == 0, "standing connections lost", strings.Join(s.standing.lost, "; ")+fmt.Sprint(len(s.standing.lost)))
	r.Set("sends_after_grace", after)
	r.Set("first_ms", firsts)
	return nil
}
