// Package memberagent runs membership in a process: it owns the socket, the timer on the event loop, the seal over datagrams, the log and
// report for operators, and the section of the settings file. What is known of the other members is membership's.
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

// tickInterval is how often membership gets a turn.
const tickInterval = 50 * time.Millisecond

// Agent is one process's membership at work. It belongs to the event loop: all its methods are called there.
type Agent struct {
	loop         *netio.Loop
	core         *membership.Core
	name         string
	transport    transport
	channels     channels
	reportSocket net.Listener // nil: none
	closed       bool
}

// Platform is the platform's own link between its proxies, for a section without addresses; whoever reads from it calls ReceiveShared.
type Platform struct {
	Link      *peers.Link // nil: there is none
	PeerCount int
	OwnNumber int // among the peers
}

// Start begins. started is when this process began, which its incarnation says. The error is of the section's files or addresses.
func Start(l *netio.Loop, o Options, name string, started time.Time, on Platform) (*Agent, error) {
	seal, err := o.seal()
	if err != nil {
		return nil, err
	}
	cfg, err := coreConfig(o, name, started, on)
	if err != nil {
		return nil, err
	}
	if seal != nil {
		cfg.Overhead = membership.SealLength
	} else {
		slog.Warn("membership_unsealed", "reason", "no keys: whoever reaches the address can speak for a member")
	}
	s := &Agent{loop: l, name: name, transport: transport{seal: seal, learnsAddresses: len(cfg.Seeds) > 0}, channels: channels{}}
	if s.core, err = membership.New(cfg, s); err != nil {
		return nil, err
	}
	if err := s.open(o, cfg.OwnSlot, on); err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	if o.Socket != "" {
		if err := s.serveReports(o.Socket); err != nil {
			s.Yield()
			return nil, fmt.Errorf("membership: %w", err)
		}
	}
	l.Post(s.tick)
	return s, nil
}

// coreConfig is membership's configuration: its members are the section's seeds or peers, or else the platform's proxies.
func coreConfig(o Options, name string, started time.Time, on Platform) (membership.Config, error) {
	cfg := membership.Config{
		Name:        name,
		Fleet:       o.Fleet,
		Incarnation: membership.NewIncarnation(started.UnixMilli()),
		FleetSize:   o.FleetSize,
		Seed:        uint64(started.UnixNano()),
		Slots:       len(o.Peers),
		OwnSlot:     slices.Index(o.Peers, o.Listen),
	}
	for _, seed := range o.Seeds {
		cfg.Seeds = append(cfg.Seeds, netip.MustParseAddrPort(seed)) // the section has checked it
	}
	if !o.usesPlatform() {
		return cfg, nil
	}
	if on.Link == nil {
		return cfg, errors.New("membership: no peers, and the platform has none or forbids messages between them")
	}
	cfg.Slots, cfg.OwnSlot = on.PeerCount, on.OwnNumber
	return cfg, nil
}

// open opens the link that the section asks for.
func (s *Agent) open(o Options, ownSlot int, on Platform) (err error) {
	t := &s.transport
	switch {
	case o.usesPlatform():
		t.link, t.shared = on.Link, true
		return nil
	case t.learnsAddresses:
		t.link, err = peers.OpenAny(s.loop, o.Listen, s.receiveFrom)
	default:
		t.link, err = peers.Open(s.loop, peers.Addresses{Listen: o.Listen, Peers: o.Peers}, ownSlot, -1, s.receive)
	}
	if err == nil {
		t.link.StartReceiving()
	}
	return err
}

func (s *Agent) tick() {
	if s.closed {
		return
	}
	s.core.Tick(s.loop.Now(), time.Now().UnixNano())
	s.loop.After(tickInterval, s.tick)
}

// ReceiveShared handles a datagram of the platform's link, if it is membership's, and says whether it was. A nil Agent handles none.
func (s *Agent) ReceiveShared(from int, data []byte) bool {
	if s == nil || !s.transport.shared || !membership.IsMembershipDatagram(data) {
		return false
	}
	s.receive(from, data)
	return true
}

func (s *Agent) receive(from int, data []byte) {
	if data, ok := s.unseal(from, data); ok {
		if err := s.core.Receive(s.loop.Now(), from, data); err != nil {
			s.transport.noteRejection(from, err)
		}
	}
}

func (s *Agent) receiveFrom(from netip.AddrPort, data []byte) {
	if data, ok := s.unseal(from, data); ok {
		if err := s.core.ReceiveFrom(s.loop.Now(), from, data); err != nil {
			s.transport.noteRejection(from, err)
		}
	}
}

func (s *Agent) unseal(from any, data []byte) ([]byte, bool) {
	if s.closed {
		return nil, false
	}
	return s.transport.unseal(from, data)
}

// Send implements membership.Effects.
func (s *Agent) Send(slot int, data []byte) {
	data = s.transport.sealed(data)
	if s.transport.learnsAddresses {
		s.transport.link.SendTo(s.core.Address(slot), data)
		return
	}
	s.transport.link.SendToPeer(slot, data)
}

// Changed implements membership.Effects.
func (s *Agent) Changed(c membership.Change) {
	slog.Info("member_changed", "id", formatID(c.ID), "name", c.Name, "from", c.OldState, "to", c.NewState, "life", c.Incarnation.Start(),
		"version", c.Version, "reason", c.Reason)
}

// Leave announces to the others that this process shuts down in order, and ends. A nil Agent does nothing.
func (s *Agent) Leave() {
	if s != nil && !s.closed {
		s.core.Leave(s.loop.Now())
		s.Yield()
	}
}

// Yield ends without an announcement: another process continues as this member. A nil Agent does nothing.
func (s *Agent) Yield() {
	if s == nil || s.closed {
		return
	}
	s.closed = true
	if !s.transport.shared {
		s.transport.link.Close()
	}
	if s.reportSocket != nil {
		s.reportSocket.Close()
	}
}
