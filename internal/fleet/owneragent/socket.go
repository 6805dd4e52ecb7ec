package owneragent

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"croftlock/internal/fleet/group"
	"croftlock/internal/fleet/jobs"
	"croftlock/internal/fleet/memberagent"
	"croftlock/internal/fleet/namespace"
	"croftlock/internal/fleet/rules"
)

// Request is what operators ask at the socket, one a connection.
type Request struct {
	Do string `json:"do"` // owners, move, status, add, promote, remove, suspend, resume, list, rules, explain
	A  string `json:"a,omitempty"`
	B  string `json:"b,omitempty"`

	Rules   []byte             `json:"rules,omitempty"`   // a question to the keeper
	Explain *namespace.Request `json:"explain,omitempty"` // a request, for the rules to explain
}

// askWithin bounds a request's time.
const askWithin = 4 * time.Second

// askAgain is how soon a question that has no answer yet is asked again.
const askAgain = 200 * time.Millisecond

type door struct{ l net.Listener }

func (d *door) close() { d.l.Close() }

// serve answers at a Unix socket that only its owner may use.
func serve(path string, s *Agent) (*door, error) {
	l, err := memberagent.ListenUnix(path)
	if err != nil {
		return nil, err
	}
	room := make(chan struct{}, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			select {
			case room <- struct{}{}:
				go func() {
					defer func() { <-room }()
					s.answer(c)
				}()
			default:
				c.Close()
			}
		}
	}()
	return &door{l}, nil
}

// await waits for an owner's answer. What was asked is lost where its owner ends, or another is just taking over: a question about rules is asked
// again, since twice is as once.
func (s *Agent) await(tag uint64, ch chan string, q Request) (string, bool) {
	again := time.NewTicker(askAgain)
	defer again.Stop()
	late := time.After(askWithin)
	for {
		select {
		case a := <-ch:
			return a, true
		case <-late:
			s.post(func() { delete(s.asks, tag) })
			return "", false
		case <-again.C:
			s.post(func() {
				if s.asks[tag] != nil && q.Do == "rules" && s.gate != nil && rules.IsQuestion(q.Rules) {
					s.core.Query(s.now(), "rules", tag, q.Rules)
				}
			})
		}
	}
}

func (s *Agent) answer(c net.Conn) {
	defer c.Close()
	c.SetDeadline(time.Now().Add(askWithin + time.Second))
	var q Request
	if json.NewDecoder(c).Decode(&q) != nil {
		json.NewEncoder(c).Encode(Reply{Error: "a request as JSON is expected"})
		return
	}
	json.NewEncoder(c).Encode(s.carryOut(q))
}

// on has something done on the goroutine, and waits for it.
func (s *Agent) on(f func()) bool {
	done := make(chan struct{})
	select {
	case s.in <- func() { f(); close(done) }:
	case <-time.After(askWithin):
		return false
	case <-s.quit:
		return false
	}
	select {
	case <-done:
		return true
	case <-time.After(askWithin):
		return false
	case <-s.quit:
		return false
	}
}

func (s *Agent) carryOut(q Request) (r Reply) {
	late := Reply{Error: "this proxy is too busy, or its disk hangs: ask again"}
	switch q.Do {
	case "owners", "status":
		if !s.on(func() { s.report(&r) }) {
			return late
		}
		return r
	case "late":
		// The drill stops its own process, as SIGSTOP from outside can't be placed: after the look at its lease, before it sends.
		if !s.on(func() {
			if d, ok := s.handles[q.A].(*jobs.Drill); ok && s.owned[q.A] != 0 {
				d.Late = func() { syscall.Kill(os.Getpid(), syscall.SIGSTOP) }
				r.Answer = "its next turn is a late one"
			} else {
				r.Error = "only an owner of a drill can be late"
			}
		}) {
			return late
		}
		return r
	case "explain":
		if s.gate == nil || q.Explain == nil {
			return Reply{Error: noRules}
		}
		return Reply{Answer: s.gate.Explain(*q.Explain)}
	case "suspend", "resume", "move", "list", "rules":
		ch := make(chan string, 1)
		var tag uint64
		if !s.on(func() {
			s.tags++
			tag = s.tags
			s.asks[tag] = ch
			if q.Do == "move" {
				s.core.MoveJob(s.now(), q.A, q.B, tag)
				return
			}
			if q.Do == "rules" {
				s.askRules(q, tag, ch)
				return
			}
			if s.handles["hosts"] == nil {
				ch <- "refused: (owners (hosts on)) is not set"
				return
			}
			body := jobs.SuspendCommand(q.Do == "suspend", q.A)
			if q.Do == "list" {
				body = jobs.ListCommand()
			}
			s.core.Query(s.now(), "hosts", tag, body)
		}) {
			return late
		}
		a, answered := s.await(tag, ch, q)
		switch {
		case !answered:
			return Reply{Error: "unknown: no owner has answered; what was asked may or may not have been done. Ask again: twice is as once"}
		case q.Do == "move" && a != "":
			return Reply{Error: a}
		case q.Do == "move":
			a = "its owner is asked for it"
		case q.Do == "rules":
			a = rules.DecodeReply(a)
		}
		return Reply{Answer: a}
	case "add", "promote", "remove":
		var err error
		if !s.on(func() {
			if s.raft == nil {
				err = errors.New("this proxy is no voter with a disk: ask one")
				return
			}
			s.tags++
			switch q.Do {
			case "add":
				err = s.raft.Add(s.now(), s.tags, q.A)
			case "promote":
				err = s.raft.Promote(s.now(), s.tags, q.A)
			case "remove":
				err = s.raft.Remove(s.now(), s.tags, q.A)
			}
		}) {
			return late
		}
		if errors.Is(err, group.ErrNotLeader) {
			err = fmt.Errorf("%w: group status names who does", err)
		}
		if err != nil {
			return Reply{Error: err.Error()}
		}
		return Reply{Answer: "asked; group status tells once it is done"}
	}
	return Reply{Error: fmt.Sprintf("no request %q", q.Do)}
}

// Ask asks a running proxy.
func Ask(socket string, q Request) (Reply, error) {
	var r Reply
	c, err := net.DialTimeout("unix", filepath.Clean(socket), 2*time.Second)
	if err != nil {
		return r, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(askWithin + 2*time.Second))
	if err := json.NewEncoder(c).Encode(q); err != nil {
		return r, err
	}
	return r, json.NewDecoder(c).Decode(&r)
}
