// Package memberagent runs membership in a process: it owns the socket, the timer on the event loop, the seal over datagrams, the log and
// report for operators, and the section of the settings file. What is known of the other members is membership's, and so are the terms member,
// slot and address. Peer is used here only where operators know it: for the section's list of addresses, and for a slot in reports.
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

// tickInterval is how often membership gets a turn; it takes a gap of several probe intervals for a pause of the process.
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

// Platform is the platform's own link between its proxies, for a section without addresses. Its reader passes datagrams to ReceiveShared. A
// proxy's number on the link is its slot.
type Platform struct {
	Link       *peers.Link // nil: there is none
	ProxyCount int
	OwnNumber  int // of this process among the proxies
}

// Start begins. started is when this process began, which its incarnation says. The error is of the section'a files or addresses.
func Start(loop *netio.Loop, o Options, name string, started time.Time, platform Platform) (*Agent, error) {
	seal, err := o.seal()
	if err != nil {
		return nil, err
	}
	cfg, err := coreConfig(o, name, started, platform)
	if err != nil {
		return nil, err
	}
	if seal != nil {
		cfg.Overhead = membership.SealLength
	} else {
		slog.Warn("membership_unsealed", "reason", "no_keys") // whoever reaches the address can speak for any member
	}
	a := &Agent{loop: loop, name: name, transport: transport{seal: seal, learnsAddresses: len(cfg.Seeds) > 0}, channels: channels{}}
	if a.core, err = membership.New(cfg, a); err != nil {
		return nil, err
	}
	if err := a.open(o, cfg.OwnSlot, platform); err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	if o.Socket != "" {
		if err := a.serveReports(o.Socket); err != nil {
			a.Stop()
			return nil, fmt.Errorf("membership: %w", err)
		}
	}
	loop.Post(a.tick)
	return a, nil
}

// coreConfig is membership's configuration: its members are the section's seeds or peers, or else the platform's proxies.
func coreConfig(o Options, name string, started time.Time, platform Platform) (membership.Config, error) {
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
	if platform.Link == nil {
		return cfg, errors.New("membership: no peers, and the platform has none or forbids messages between them")
	}
	cfg.Slots, cfg.OwnSlot = platform.ProxyCount, platform.OwnNumber
	return cfg, nil
}

// open opens a link of its own, or uses the platform's where the section has no addresses.
func (a *Agent) open(o Options, ownSlot int, platform Platform) (err error) {
	t := &a.transport
	switch {
	case o.usesPlatform():
		t.link, t.shared = platform.Link, true
		return nil
	case t.learnsAddresses:
		t.link, err = peers.OpenForAnySender(a.loop, o.Listen, a.receiveFrom)
	default:
		t.link, err = peers.Open(a.loop, peers.Addresses{Listen: o.Listen, Peers: o.Peers}, ownSlot, -1, a.receive)
	}
	if err == nil {
		t.link.StartReceiving()
	}
	return err
}

func (a *Agent) tick() {
	if a.closed {
		return
	}
	a.core.Tick(a.loop.Now(), time.Now().UnixNano())
	a.loop.After(tickInterval, a.tick)
}

// ReceiveShared handles a datagram of the platform's link if it is membership's, and reports whether it was. A nil Agent handles none.
func (a *Agent) ReceiveShared(slot int, data []byte) bool {
	if a == nil || !a.transport.shared || !membership.IsMembershipDatagram(data) {
		return false
	}
	a.receive(slot, data)
	return true
}

func (a *Agent) receive(slot int, data []byte) {
	if data, ok := a.unseal(slotField(slot), data); ok {
		if err := a.core.Receive(a.loop.Now(), slot, data); err != nil {
			a.transport.recordRejection(slotField(slot), err)
		}
	}
}

func (a *Agent) receiveFrom(from netip.AddrPort, data []byte) {
	if data, ok := a.unseal(addressField(from), data); ok {
		if err := a.core.ReceiveFrom(a.loop.Now(), from, data); err != nil {
			a.transport.recordRejection(addressField(from), err)
		}
	}
}

func (a *Agent) unseal(from slog.Attr, data []byte) ([]byte, bool) {
	if a.closed {
		return nil, false
	}
	return a.transport.unseal(from, data)
}

// Send implements membership.Effects.
func (a *Agent) Send(slot int, data []byte) {
	data = a.transport.sealDatagram(data)
	if a.transport.learnsAddresses {
		a.transport.link.SendTo(a.core.Address(slot), data)
		return
	}
	a.transport.link.SendToPeer(slot, data)
}

// Changed implements membership.Effects.
func (a *Agent) Changed(c membership.Change) {
	slog.Info("member_changed", "id", formatID(c.ID), "name", c.Name, "from", c.OldState.String(), "to", c.NewState.String(),
		"reason", c.Reason.String(), "incarnation_start_ms", c.Incarnation.Start(), "view_version", c.Version)
}

// Leave announces a graceful shutdown to the others, and stops. A nil Agent does nothing.
func (a *Agent) Leave() {
	if a != nil && !a.closed {
		a.core.Leave(a.loop.Now())
		a.Stop()
	}
}

// Stop ends without an announcement, as in a hot restart: another process continues as this member. A nil Agent does nothing.
func (a *Agent) Stop() {
	if a == nil || a.closed {
		return
	}
	a.closed = true
	if !a.transport.shared {
		a.transport.link.Close()
	}
	if a.reportSocket != nil {
		a.reportSocket.Close()
	}
}
