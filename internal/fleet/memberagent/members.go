// Package memberagent is the shell round membership: it owns the socket, the turns on the loop, the seal over datagrams, what the log and
// operators are told, and the section of the operators' file. What it knows of the others is membership's.
package memberagent

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"time"

	"croftlock/internal/dataplane/netio"
	"croftlock/internal/fleet/membership"
	"croftlock/internal/fleet/peers"
)

// turn is how often membership is given the chance to act.
const turn = 50 * time.Millisecond

// Agent is one process's membership at work. It belongs to the loop.
type Agent struct {
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
func (s *Agent) Attach(whose byte, take func(peer uint32, data []byte)) {
	if s.others == nil {
		s.others = map[byte]func(uint32, []byte){}
	}
	s.others[whose] = take
}

// Room is how many bytes of an attached package's a datagram can carry.
func (s *Agent) Room() int {
	if s.seal != nil {
		return membership.PayloadRoom(membership.SealLength)
	}
	return membership.PayloadRoom(0)
}

// Carry sends an attached package's data to a member; nowhere, where its address is not known.
func (s *Agent) Carry(peer uint32, whose byte, data []byte) {
	if !s.closed {
		s.core.Carry(s.loop.Now(), peer, whose, data)
	}
}

// CarriedData is the core's.
func (s *Agent) CarriedData(from uint32, whose byte, data []byte) {
	if take := s.others[whose]; take != nil {
		take(from, append([]byte(nil), data...))
	}
}

// View is the members as this process sees them, itself left out.
func (s *Agent) View() []ViewMember {
	var out []ViewMember
	for _, m := range s.core.View() {
		out = append(out, ViewMember{m.Name, m.ID, m.State.String(), uint64(m.Incarnation), m.Unheard})
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
func (s *Agent) Base() int { return s.core.FleetSize() }

// Platform is the platform's own way between its proxies, for a section without addresses; whoever reads from it calls Take.
type Platform struct {
	Link      *peers.Link // nil: there is none
	Peers, Me int
}

// Start begins. life is when this process began.
func Start(l *netio.Loop, o Options, name string, life time.Time, on Platform) (*Agent, error) {
	seal, err := o.seal()
	if err != nil {
		return nil, err
	}
	s := &Agent{loop: l, seal: seal, name: name}
	slots, own := len(o.Peers), slices.Index(o.Peers, o.Listen)
	cfg := membership.Config{Name: name, Fleet: o.Fleet, Incarnation: membership.NewIncarnation(life.UnixMilli()), FleetSize: o.Base, Seed: uint64(life.UnixNano())}
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
	cfg.Slots, cfg.OwnSlot = slots, own
	if seal != nil {
		cfg.Overhead = membership.SealLength
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

func (s *Agent) turn() {
	if s.closed {
		return
	}
	s.core.Tick(s.loop.Now(), time.Now().UnixNano())
	s.loop.After(turn, s.turn)
}

// Take takes a datagram from the platform's way between proxies, if it is one of these; a nil Shell takes none.
func (s *Agent) Take(from int, data []byte) bool {
	if s == nil || !s.shared || !membership.IsMembershipDatagram(data) {
		return false
	}
	s.take(from, data)
	return true
}

func (s *Agent) take(from int, data []byte) {
	s.open(from, data, func(data []byte) error { return s.core.Receive(s.loop.Now(), from, data) })
}

func (s *Agent) takeFrom(from netip.AddrPort, data []byte) {
	s.open(from, data, func(data []byte) error { return s.core.ReceiveFrom(s.loop.Now(), from, data) })
}

// open takes a datagram out of its seal. The first of each kind of trouble is told; the rest is counted.
func (s *Agent) open(from any, data []byte, take func([]byte) error) {
	if s.closed {
		return
	}
	var err error
	if s.seal != nil {
		if data, err = s.seal.Open(data); err != nil {
			if s.bad++; s.bad == 1 {
				slog.Warn("membership_datagram_rejected", "peer", from, "reason", err)
			}
			return
		}
	}
	if err := take(data); err != nil {
		if s.odd++; s.odd == 1 {
			slog.Warn("membership_datagram_rejected", "peer", from, "reason", err)
		}
	}
}

// Send is the core's.
func (s *Agent) Send(slot int, data []byte) {
	if s.seal != nil {
		data = s.seal.Seal(data)
	}
	if s.learns {
		s.link.TellTo(s.core.Address(slot), data)
		return
	}
	s.link.SendToPeer(slot, data)
}

// Changed is the core's.
func (s *Agent) Changed(c membership.Change) {
	slog.Info("member_changed", "id", fmt.Sprintf("%08x", c.ID), "name", c.Name, "from", c.OldState, "to", c.NewState, "life", c.Incarnation.Start(), "version", c.Version, "reason", c.Reason)
}

// Leave tells the others that this process ends in order, and ends.
func (s *Agent) Leave() {
	if s != nil && !s.closed {
		s.core.Leave(s.loop.Now())
		s.Yield()
	}
}

// Yield ends without a word: another process goes on as this member.
func (s *Agent) Yield() {
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
