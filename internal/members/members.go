// Package members is the shell round membership: it owns the socket, the turns on the loop, the seal over datagrams, what the log and
// operators are told, and the section of the operators' file. What it knows of the others is membership's.
package members

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"time"

	"croftlock/internal/membership"
	"croftlock/internal/netio"
	"croftlock/internal/peers"
	"croftlock/internal/settings"
)

// turn is how often membership is given the chance to act.
const turn = 50 * time.Millisecond

// Options are the section (membership …).
type Options struct {
	On     bool
	Fleet  string
	Listen string
	Peers  []string // every member's address as reached from here, the own included
	Base   int
	Keys   []string // files; none: datagrams are not sealed
	Socket string   // where operators ask; "": nowhere
}

// Section is the operators' say.
func Section() settings.Section {
	return settings.Section{Name: "membership", Doc: "which of a fleet's proxies are there", Bind: func(f *settings.Form) any {
		o := Options{Fleet: "croftlock"}
		isAddr := func(s string) bool { _, err := netip.ParseAddrPort(s); return err == nil }
		f.Bool("on", "whether proxies tell one another who is there, by datagrams", &o.On)
		f.Text("fleet", "name of the fleet; others' datagrams are refused", "a name", &o.Fleet, func(s string) bool { return s != "" && len(s) <= 64 })
		f.Text("listen", "own address for datagrams", "an address with a port", &o.Listen, isAddr)
		var list string
		f.Text("peers", "addresses of all members, the own included, as reached from here, with spaces between", "addresses with ports", &list, func(s string) bool {
			o.Peers = o.Peers[:0]
			for _, p := range bytes.Fields([]byte(s)) {
				if !isAddr(string(p)) || slices.Contains(o.Peers, string(p)) {
					return false
				}
				o.Peers = append(o.Peers, string(p))
			}
			return len(o.Peers) > 0
		})
		f.Int("base", "members that the fleet is meant to have, for a majority; 0: as many as peers", &o.Base, 0, 10000)
		f.Paths("keys", "files with the keys of datagrams, at most two: the first seals, either opens; readable by their owner alone", &o.Keys)
		f.Path("socket", "Unix socket at which operators ask who is there", &o.Socket)
		if o.On && !slices.Contains(o.Peers, o.Listen) {
			f.Fault("peers", "the own address %q is not among the peers, expected it there", o.Listen)
		}
		if len(o.Keys) > 2 {
			f.Fault("keys", "%d files, expected at most two", len(o.Keys))
		}
		return o
	}}
}

// Check reads the files that the section names.
func (o Options) Check() error {
	_, err := o.seal()
	return err
}

func (o Options) seal() (*membership.Seal, error) {
	if !o.On || len(o.Keys) == 0 {
		return nil, nil
	}
	var keys [][]byte
	for _, path := range o.Keys {
		info, err := os.Stat(path)
		if err != nil {
			return nil, fmt.Errorf("keys: %w", err)
		}
		if info.Mode().Perm()&0o077 != 0 {
			return nil, fmt.Errorf("keys: %s is readable by others than its owner", path)
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("keys: %w", err)
		}
		keys = append(keys, bytes.TrimSpace(data))
	}
	return membership.NewSeal(keys...)
}

// Shell is one process's membership at work. It belongs to the loop.
type Shell struct {
	loop   *netio.Loop
	core   *membership.Core
	link   *peers.Link
	seal   *membership.Seal
	names  map[uint32]string
	name   string
	door   net.Listener
	bad    int // datagrams under no key, or taken before
	closed bool
}

// Start begins. life is when this process, or the one whose work it goes on with, began.
func Start(l *netio.Loop, o Options, name string, life time.Time) (*Shell, error) {
	seal, err := o.seal()
	if err != nil {
		return nil, err
	}
	own := slices.Index(o.Peers, o.Listen)
	s := &Shell{loop: l, seal: seal, name: name, names: map[uint32]string{}}
	cfg := membership.Config{Name: name, Fleet: o.Fleet, Life: membership.NewLife(life.UnixMilli()), Slots: len(o.Peers), Own: own, Base: o.Base,
		Seed: uint64(life.UnixNano())}
	if seal != nil {
		cfg.Overhead = membership.SealLen
	} else {
		slog.Warn("membership_unsealed", "reason", "no keys: whoever reaches the address can speak for a member")
	}
	if s.core, err = membership.New(cfg, s); err != nil {
		return nil, err
	}
	if s.link, err = peers.Open(l, peers.Addresses{Listen: o.Listen, Peers: o.Peers}, own, -1, s.take); err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	if o.Socket != "" {
		if err := s.serve(o.Socket); err != nil {
			s.link.Close()
			return nil, fmt.Errorf("membership: %w", err)
		}
	}
	s.link.Hear()
	l.Post(s.turn)
	return s, nil
}

func (s *Shell) turn() {
	if s.closed {
		return
	}
	s.core.Tick(s.loop.Now(), time.Now().UnixNano())
	s.loop.After(turn, s.turn)
}

// take takes a datagram. The first of each kind of trouble is told; the rest is counted.
func (s *Shell) take(from int, data []byte) {
	if s.closed {
		return
	}
	var err error
	if s.seal != nil {
		if data, err = s.seal.Open(data); err != nil {
			if s.bad++; s.bad == 1 {
				slog.Warn("membership_refused", "peer", from, "reason", err)
			}
			return
		}
	}
	if err := s.core.Receive(s.loop.Now(), from, data); err != nil {
		if n := s.core.Counts(); n.Malformed+n.OtherFleet+n.OtherVersion+n.Clashes == 1 {
			slog.Warn("membership_refused", "peer", from, "reason", err)
		}
	}
}

// Send is the core's.
func (s *Shell) Send(slot int, data []byte) {
	if s.seal != nil {
		data = s.seal.Close(data)
	}
	s.link.Tell(slot, data)
}

// Changed is the core's.
func (s *Shell) Changed(c membership.Change) {
	slog.Info("member", "id", fmt.Sprintf("%08x", c.ID), "from", c.From, "to", c.To, "life", c.Life.Start(), "version", c.Version, "reason", c.Reason)
}

// Core is what knows the members.
func (s *Shell) Core() *membership.Core { return s.core }

// Leave tells the others that this process ends in order, and ends.
func (s *Shell) Leave() {
	if s != nil && !s.closed {
		s.core.Leave(s.loop.Now())
		s.Yield()
	}
}

// Yield ends without a word: another process goes on as this member.
func (s *Shell) Yield() {
	if s == nil || s.closed {
		return
	}
	s.closed = true
	s.link.Close()
	if s.door != nil {
		s.door.Close()
	}
}

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

// ReportMember is one row of it.
type ReportMember struct {
	ID      string   `json:"id"`
	Slot    int      `json:"peer"`
	State   string   `json:"state"`
	Life    uint64   `json:"life"`
	HeardMS int64    `json:"heard_ms"` // ago, here; -1: never
	AnyMS   int64    `json:"heard_by_any_ms"`
	Unheard []string `json:"does_not_hear"`
}

func (s *Shell) report() Report {
	now := s.loop.Now()
	n := s.core.Counts()
	r := Report{Name: s.name, Version: s.core.Version(), Digest: fmt.Sprintf("%08x", s.core.Digest()), Quorum: s.core.Quorum(), Life: s.core.Life().Start(),
		Counts: map[string]int{"sent": n.Sent, "bytes": n.Bytes, "heard": n.Heard, "malformed": n.Malformed, "other_version": n.OtherVersion,
			"other_fleet": n.OtherFleet, "old_life": n.OldLife, "clashes": n.Clashes, "pauses": n.Pauses, "refutations": n.Refutations, "unsealed": s.bad,
			"strangers": int(s.link.Dropped())}}
	for _, m := range s.core.View() {
		row := ReportMember{ID: fmt.Sprintf("%08x", m.ID), Slot: m.Slot, State: m.State.String(), Life: m.Life.Start(), HeardMS: -1, AnyMS: -1, Unheard: []string{}}
		if m.Heard > 0 {
			row.HeardMS = (now - m.Heard) / 1e6
		}
		if m.HeardBy > 0 {
			row.AnyMS = (now - m.HeardBy) / 1e6
		}
		for _, u := range m.Unheard {
			row.Unheard = append(row.Unheard, fmt.Sprintf("%08x", u))
		}
		r.Members = append(r.Members, row)
	}
	return r
}

// serve answers whoever connects to the Unix socket with one report. It runs beside the loop, which gives the report.
func (s *Shell) serve(path string) error {
	if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
		c.Close()
		return fmt.Errorf("socket %s is in use", path)
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	l, err := net.Listen("unix", path)
	if err != nil {
		return err
	}
	os.Chmod(path, 0o600)
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
