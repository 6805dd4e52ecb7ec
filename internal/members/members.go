// Package members is the shell round membership: it owns the socket, the turns on the loop, the seal over datagrams, what the log and
// operators are told, and the section of the operators' file. What it knows of the others is membership's.
package members

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"croftlock/internal/certs"
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
	Seeds  []string // addresses of some, in place of Peers, where members come and go
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
		addresses := func(to *[]string) func(s string) bool {
			return func(s string) bool {
				for _, p := range strings.Fields(s) {
					if !isAddr(p) || slices.Contains(*to, p) {
						return false
					}
					*to = append(*to, p)
				}
				return len(*to) > 0
			}
		}
		var list string
		f.Text("peers", "addresses of all members, the own included, as reached from here, with spaces between", "addresses with ports", &list, addresses(&o.Peers))
		f.Text("seeds", "addresses of some members, in place of peers, where members come and go; the others' are learnt", "addresses with ports", &list, addresses(&o.Seeds))
		f.Int("base", "members that the fleet is meant to have, for a majority; 0: as many as peers", &o.Base, 0, 10000)
		f.Paths("keys", "files with the keys of datagrams, at most two: the first seals, either opens; readable by their owner alone", &o.Keys)
		f.Path("socket", "Unix socket at which operators ask who is there", &o.Socket)
		if len(o.Seeds) > 0 && (len(o.Peers) > 0 || o.Listen == "") {
			f.Fault("seeds", "seeds go with listen and without peers")
		}
		if o.On && len(o.Seeds) == 0 && len(o.Peers)+len(o.Listen) > 0 && !slices.Contains(o.Peers, o.Listen) {
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
		data, err := certs.ReadSecret(path)
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
	name   string
	door   net.Listener
	learns bool // members come and go, and their addresses are learnt
	shared bool // the link is the decision module's too
	bad    int  // datagrams under no key, or taken before
	odd    int  // and those that were not to be taken for another reason
	closed bool
	others map[byte]func(peer uint32, data []byte) // takers of what other packages send by this way
}

// Attach has what another package's like at a member sends taken, with who sent it: others use this way between members, its seal too.
// nil ends that.
func (s *Shell) Attach(whose byte, take func(peer uint32, data []byte)) {
	if s.others == nil {
		s.others = map[byte]func(uint32, []byte){}
	}
	s.others[whose] = take
}

// Room is how many bytes of an attached package's a datagram can carry.
func (s *Shell) Room() int {
	if s.seal != nil {
		return membership.Room(membership.SealLen)
	}
	return membership.Room(0)
}

// Carry sends an attached package's data to a member; nowhere, where its address is not known.
func (s *Shell) Carry(peer uint32, whose byte, data []byte) {
	if !s.closed {
		s.core.Carry(s.loop.Now(), peer, whose, data)
	}
}

// Other is the core's.
func (s *Shell) Other(from uint32, whose byte, data []byte) {
	if take := s.others[whose]; take != nil {
		take(from, append([]byte(nil), data...))
	}
}

// View is the members as this process sees them, itself left out.
func (s *Shell) View() []ViewMember {
	var out []ViewMember
	for _, m := range s.core.View() {
		out = append(out, ViewMember{m.Name, m.ID, m.State.String(), uint64(m.Life), m.Unheard})
	}
	return out
}

// ViewMember is one of them.
type ViewMember struct {
	Name    string
	ID      uint32
	State   string
	Life    uint64
	Unheard []uint32
}

// Base is how many members the fleet is meant to have.
func (s *Shell) Base() int { return s.core.Base() }

// Platform is the platform's own way between its proxies, for a section without addresses; whoever reads from it calls Take.
type Platform struct {
	Link      *peers.Link // nil: there is none
	Peers, Me int
}

// Start begins. life is when this process began.
func Start(l *netio.Loop, o Options, name string, life time.Time, on Platform) (*Shell, error) {
	seal, err := o.seal()
	if err != nil {
		return nil, err
	}
	s := &Shell{loop: l, seal: seal, name: name}
	slots, own := len(o.Peers), slices.Index(o.Peers, o.Listen)
	cfg := membership.Config{Name: name, Fleet: o.Fleet, Life: membership.NewLife(life.UnixMilli()), Base: o.Base, Seed: uint64(life.UnixNano())}
	for _, a := range o.Seeds {
		cfg.Seeds = append(cfg.Seeds, netip.MustParseAddrPort(a)) // the section has checked it
	}
	s.learns = len(cfg.Seeds) > 0
	if slots == 0 && !s.learns {
		if on.Link == nil {
			return nil, errors.New("membership: no peers, and the platform has none or forbids messages between them")
		}
		s.link, s.shared, slots, own = on.Link, true, on.Peers, on.Me
	}
	cfg.Slots, cfg.Own = slots, own
	if seal != nil {
		cfg.Overhead = membership.SealLen
	} else {
		slog.Warn("membership_unsealed", "reason", "no keys: whoever reaches the address can speak for a member")
	}
	if s.core, err = membership.New(cfg, s); err != nil {
		return nil, err
	}
	if s.learns {
		if s.link, err = peers.OpenAny(l, o.Listen, s.takeFrom); err != nil {
			return nil, fmt.Errorf("membership: %w", err)
		}
		s.link.Hear()
	} else if !s.shared {
		if s.link, err = peers.Open(l, peers.Addresses{Listen: o.Listen, Peers: o.Peers}, own, -1, s.take); err != nil {
			return nil, fmt.Errorf("membership: %w", err)
		}
		s.link.Hear()
	}
	if o.Socket != "" {
		if err := s.serve(o.Socket); err != nil {
			s.Yield()
			return nil, fmt.Errorf("membership: %w", err)
		}
	}
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

// Take takes a datagram from the platform's way between proxies, if it is one of these; a nil Shell takes none.
func (s *Shell) Take(from int, data []byte) bool {
	if s == nil || !s.shared || !membership.Ours(data) {
		return false
	}
	s.take(from, data)
	return true
}

func (s *Shell) take(from int, data []byte) {
	s.open(from, data, func(data []byte) error { return s.core.Receive(s.loop.Now(), from, data) })
}

func (s *Shell) takeFrom(from netip.AddrPort, data []byte) {
	s.open(from, data, func(data []byte) error { return s.core.ReceiveFrom(s.loop.Now(), from, data) })
}

// open takes a datagram out of its seal. The first of each kind of trouble is told; the rest is counted.
func (s *Shell) open(from any, data []byte, take func([]byte) error) {
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
	if err := take(data); err != nil {
		if s.odd++; s.odd == 1 {
			slog.Warn("membership_refused", "peer", from, "reason", err)
		}
	}
}

// Send is the core's.
func (s *Shell) Send(slot int, data []byte) {
	if s.seal != nil {
		data = s.seal.Close(data)
	}
	if s.learns {
		s.link.TellTo(s.core.Where(slot), data)
		return
	}
	s.link.Tell(slot, data)
}

// Changed is the core's.
func (s *Shell) Changed(c membership.Change) {
	slog.Info("member", "id", fmt.Sprintf("%08x", c.ID), "name", c.Name, "from", c.From, "to", c.To, "life", c.Life.Start(), "version", c.Version, "reason", c.Reason)
}

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
	if !s.shared {
		s.link.Close()
	}
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

func (s *Shell) report() Report {
	now := s.loop.Now()
	n := s.core.Counts()
	r := Report{Name: s.name, Version: s.core.Version(), Digest: fmt.Sprintf("%08x", s.core.Digest()), Quorum: s.core.Quorum(), Life: s.core.Life().Start(),
		Counts: map[string]int{"sent": n.Sent, "bytes": n.Bytes, "heard": n.Heard, "malformed": n.Malformed, "other_version": n.OtherVersion,
			"other_fleet": n.OtherFleet, "old_life": n.OldLife, "clashes": n.Clashes, "pauses": n.Pauses, "refutations": n.Refutations, "unsealed": s.bad,
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
		row := ReportMember{ID: fmt.Sprintf("%08x", m.ID), Name: m.Name, Slot: m.Slot, State: m.State.String(), Life: m.Life.Start(), HeardMS: -1, AnyMS: -1, Unheard: []string{}}
		if m.Heard > 0 {
			row.HeardMS = (now - m.Heard) / 1e6
		}
		if m.HeardBy > 0 {
			row.AnyMS = (now - m.HeardBy) / 1e6
		}
		for _, u := range m.Unheard {
			row.Unheard = append(row.Unheard, name(u))
		}
		r.Members = append(r.Members, row)
	}
	return r
}

// serve answers whoever connects to the Unix socket with one report. It runs beside the loop, which gives the report.
func (s *Shell) serve(path string) error {
	l, err := Door(path)
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

// Door opens a Unix socket for operators, which its owner alone may use. What an ended process left of it is taken away; one that somebody
// answers at is refused.
func Door(path string) (net.Listener, error) {
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
