package owners

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"croftlock/internal/group"
	"croftlock/internal/jobs"
	"croftlock/internal/members"
	"croftlock/internal/ownership"
)

// Request is what operators ask at the socket, one a connection.
type Request struct {
	Do string `json:"do"` // owners, move, status, add, promote, remove, suspend, resume
	A  string `json:"a,omitempty"`
	B  string `json:"b,omitempty"`
}

// Reply is the answer.
type Reply struct {
	Error  string            `json:"error,omitempty"`
	Answer string            `json:"answer,omitempty"`
	Name   string            `json:"name,omitempty"`
	Leader string            `json:"leader,omitempty"`
	Kind   string            `json:"kind,omitempty"`
	Store  string            `json:"store,omitempty"` // what is wrong with it
	Jobs   []JobRow          `json:"jobs,omitempty"`
	Group  *group.Status     `json:"group,omitempty"`
	Counts *Counts           `json:"counts,omitempty"`
	Mine   map[string]uint64 `json:"mine,omitempty"`
	Seen   map[string]uint64 `json:"seen,omitempty"`
	Lease  int64             `json:"lease_ms"`
}

// JobRow is a job as this process's copy of the table has it: a voter's; others know their own jobs alone.
type JobRow struct {
	Job    string `json:"job"`
	Owner  string `json:"owner"`
	Token  uint64 `json:"token"`
	Number uint64 `json:"number"`
	Left   int    `json:"left_bytes"`
	Since  string `json:"since"`
	Why    string `json:"why"`
}

// askWithin bounds a request's time.
const askWithin = 4 * time.Second

type door struct{ l net.Listener }

func (d *door) close() { d.l.Close() }

// serve answers at a Unix socket that only its owner may use.
func serve(path string, s *Shell) (*door, error) {
	l, err := members.Door(path)
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

func (s *Shell) answer(c net.Conn) {
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
func (s *Shell) on(f func()) bool {
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

func (s *Shell) carryOut(q Request) (r Reply) {
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
	case "suspend", "resume", "move", "list":
		ch := make(chan string, 1)
		var tag uint64
		if !s.on(func() {
			s.tags++
			tag = s.tags
			s.asks[tag] = ch
			if q.Do == "move" {
				s.core.Move(s.now(), q.A, q.B, tag)
				return
			}
			if s.handles["hosts"] == nil {
				ch <- "refused: (owners (hosts on)) is not set"
				return
			}
			body := jobs.Command(q.Do == "suspend", q.A)
			if q.Do == "list" {
				body = jobs.ListCommand()
			}
			s.core.Ask(s.now(), "hosts", tag, body)
		}) {
			return late
		}
		select {
		case a := <-ch:
			if q.Do == "move" && a != "" {
				return Reply{Error: a}
			}
			if q.Do == "move" {
				a = "its owner is asked for it"
			}
			return Reply{Answer: a}
		case <-time.After(askWithin):
			s.post(func() { delete(s.asks, tag) })
			return Reply{Error: "unknown: no owner has answered; what was asked may or may not have been done. Ask again: twice is as once"}
		}
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

func (s *Shell) report(r *Reply) {
	r.Name, r.Kind, r.Store = s.name, "memory", s.broken
	counts := s.counts
	r.Counts = &counts
	for _, m := range s.there {
		if m.Peer == s.core.Leader() {
			r.Leader = m.Name
		}
	}
	if s.o.Dir != "" {
		r.Kind = "disk"
	}
	if s.raft != nil {
		st := s.raft.Status()
		r.Group = &st
	}
	if s.group != nil {
		for _, row := range s.table.Rows() {
			r.Jobs = append(r.Jobs, JobRow{row.Job, row.Owner, row.Token, row.Number, len(row.Left), time.UnixMilli(row.Since).UTC().Format(time.RFC3339), row.Why})
		}
	}
	r.Mine, r.Seen, r.Lease = s.core.Held(), map[string]uint64{}, s.core.Lease(s.now())/1e6
	for _, n := range s.names {
		if m := s.fence.Last(n); m != (ownership.Mark{}) {
			r.Seen[n] = m.Token
		}
	}
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
