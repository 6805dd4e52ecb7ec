package memberagent

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"croftlock/internal/fleet/membership"
)

// Report is what operators see.
type Report struct {
	Name    string         `json:"name"`
	Version uint64         `json:"version"`
	Digest  string         `json:"digest"`
	Quorum  bool           `json:"quorum"`
	Life    uint64         `json:"life"`
	Members []ReportMember `json:"members"`
	Counts  map[string]int `json:"counts"`
}

// Print writes it as a table.
func (r Report) Print(w io.Writer) error {
	fmt.Fprintf(w, "%s  version %d  view %s  quorum %t\n\n", r.Name, r.Version, r.Digest, r.Quorum)
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "PEER\tNAME\tID\tSTATE\tLIFE\tHEARD MS AGO\tBY ANYBODY\tDOES NOT HEAR")
	for _, m := range r.Members {
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", m.Slot, m.Name, m.ID, m.State, m.Life, m.HeardMS, m.AnyMS, strings.Join(m.Unheard, " "))
	}
	return t.Flush()
}

// ReportMember is one row of it.
type ReportMember struct {
	ID      string   `json:"id"`
	Name    string   `json:"name"` // "" until it has told it
	Slot    int      `json:"peer"`
	State   string   `json:"state"`
	Life    uint64   `json:"life"`
	HeardMS int64    `json:"heard_ms"` // ago, here; -1: never
	AnyMS   int64    `json:"heard_by_any_ms"`
	Unheard []string `json:"does_not_hear"`
}

func (s *Agent) report() Report {
	now := s.loop.Now()
	n := s.core.Counts()
	r := Report{Name: s.name, Version: s.core.Version(), Digest: fmt.Sprintf("%08x", s.core.Digest()), Quorum: s.core.Quorum(), Life: s.core.Incarnation().Start(),
		Counts: map[string]int{"sent": n.Sent, "bytes": n.Bytes, "heard": n.Heard, "malformed": n.Malformed, "other_version": n.OtherVersion,
			"other_fleet": n.OtherFleet, "old_life": n.OldIncarnation, "clashes": n.Clashes, "pauses": n.Pauses, "refutations": n.Refutations, "unsealed": s.bad,
			"strangers": int(s.link.Dropped())}}
	view := s.core.View()
	name := func(id uint32) string {
		for _, m := range view {
			if m.ID == id && m.Name != "" {
				return m.Name
			}
		}
		if id == membership.ID(s.name) {
			return s.name
		}
		return fmt.Sprintf("%08x", id)
	}
	for _, m := range view {
		row := ReportMember{ID: fmt.Sprintf("%08x", m.ID), Name: m.Name, Slot: m.Slot, State: m.State.String(), Life: m.Incarnation.Start(), HeardMS: -1, AnyMS: -1, Unheard: []string{}}
		if m.HeardHere > 0 {
			row.HeardMS = (now - m.HeardHere) / 1e6
		}
		if m.HeardByAny > 0 {
			row.AnyMS = (now - m.HeardByAny) / 1e6
		}
		for _, u := range m.Unheard {
			row.Unheard = append(row.Unheard, name(u))
		}
		r.Members = append(r.Members, row)
	}
	return r
}

// serve answers whoever connects to the Unix socket with one report. It runs beside the loop, which gives the report.
func (s *Agent) serve(path string) error {
	l, err := ListenUnix(path)
	if err != nil {
		return err
	}
	s.door = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			got := make(chan Report, 1)
			s.loop.Post(func() { got <- s.report() })
			c.SetDeadline(time.Now().Add(2 * time.Second))
			select {
			case r := <-got:
				json.NewEncoder(c).Encode(r)
			case <-time.After(2 * time.Second):
			}
			c.Close()
		}
	}()
	return nil
}

// ListenUnix opens a Unix socket for operators, which its owner alone may use. What an ended process left of it is taken away; one that somebody
// answers at is refused.
func ListenUnix(path string) (net.Listener, error) {
	if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
		c.Close()
		return nil, fmt.Errorf("socket %s is in use", path)
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	l, err := net.Listen("unix", path)
	if err != nil {
		return nil, err
	}
	os.Chmod(path, 0o600)
	return l, nil
}

// Ask asks a running proxy who is there.
func Ask(socket string) (Report, error) {
	var r Report
	c, err := net.DialTimeout("unix", filepath.Clean(socket), 2*time.Second)
	if err != nil {
		return r, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	err = json.NewDecoder(c).Decode(&r)
	return r, err
}
