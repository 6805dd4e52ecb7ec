// Package memberagent runs package membership in a process. It owns the socket, the timer on the event loop,
// the seal over datagrams, the log and the report for operators, and the section of the settings file. The
// state of the other members is in package membership, which also defines the terms member, slot and
// address. The term peer is used here only where operators know it: for the section's list of addresses
// and for a slot in reports.
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

// tickInterval is the time between two calls of Core.Tick. Only a gap of several probe intervals counts as
// a pause of the process.
const tickInterval = 50 * time.Millisecond

// Agent runs the membership protocol for one process. All its methods must be called on the event loop.
type Agent struct {
	loop         *netio.Loop
	core         *membership.Core
	name         string // of this process
	transport    transport
	channels     channels
	reportSocket net.Listener // Unix socket at which operators read the view; nil if the settings specify none, or while another process uses it
	closed       bool         // whether Stop was called
}

// Platform describes the platform's own link between its proxies, which is used if the section has no
// addresses. The reader of the link must pass its datagrams to Agent.ReceiveShared. A proxy's number on
// the link is its slot.
type Platform struct {
	Link       *peers.Link // nil if the platform has no link
	ProxyCount int         // number of proxies on the link, including this process
	OwnNumber  int         // number of this process on the link
}

// Start starts an Agent for the process with the given name. o holds the section of the settings file.
// started is the start time of the process, from which its incarnation is made. Start returns an error
// if the section's files or addresses cannot be used.
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
		// Without a seal, any sender that can reach the address can send datagrams in the name of any
		// member.
		slog.Warn("membership_unsealed", "reason", "no_keys")
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

// coreConfig returns the configuration of the membership core. Its members are the section's seeds or peers,
// or the platform's proxies if the section has neither.
func coreConfig(o Options, name string, started time.Time, platform Platform) (membership.Config, error) {
	cfg := membership.Config{
		Name:        name,
		Fleet:       o.Fleet,
		Incarnation: membership.NewIncarnation(started.UnixMilli()),
		FleetSize:   o.IntendedSize(platform.ProxyCount),
		Seed:        uint64(started.UnixNano()),
		Slots:       len(o.Peers),
		OwnSlot:     slices.Index(o.Peers, o.Listen),
	}
	for _, seed := range o.Seeds {
		cfg.Seeds = append(cfg.Seeds, netip.MustParseAddrPort(seed)) // parseAddresses has checked it
	}
	if !o.usesPlatform() {
		return cfg, nil
	}
	if platform.Link == nil {
		return cfg, errors.New("membership: the settings specify no peers or seeds, and the platform has no peers or forbids messages between them")
	}
	cfg.Slots, cfg.OwnSlot = platform.ProxyCount, platform.OwnNumber
	return cfg, nil
}

// open opens a link for this agent, or uses the platform's link if the section has no addresses.
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

// tick calls Core.Tick and schedules the next call, until the Agent has stopped.
func (a *Agent) tick() {
	if a.closed {
		return
	}
	a.core.Tick(a.loop.Now(), time.Now().UnixNano())
	a.loop.After(tickInterval, a.tick)
}

// ReceiveShared handles a datagram of the platform's link, which other packages also use, and reports
// whether the datagram belongs to membership. It returns false if the Agent is nil or has a link of its
// own.
func (a *Agent) ReceiveShared(slot int, data []byte) bool {
	if a == nil || !a.transport.shared || !membership.IsMembershipDatagram(data) {
		return false
	}
	a.receive(slot, data)
	return true
}

// receive handles a datagram from the member at slot.
func (a *Agent) receive(slot int, data []byte) {
	if data, ok := a.unseal(slotField(slot), data); ok {
		if err := a.core.Receive(a.loop.Now(), slot, data); err != nil {
			a.transport.recordRejection(slotField(slot), err)
		}
	}
}

// receiveFrom handles a datagram from an address, if addresses are learnt.
func (a *Agent) receiveFrom(from netip.AddrPort, data []byte) {
	if data, ok := a.unseal(addressField(from), data); ok {
		if err := a.core.ReceiveFrom(a.loop.Now(), from, data); err != nil {
			a.transport.recordRejection(addressField(from), err)
		}
	}
}

// unseal returns a datagram without its seal. It returns false if the seal is not valid or the Agent has
// stopped.
func (a *Agent) unseal(from slog.Attr, data []byte) ([]byte, bool) {
	if a.closed {
		return nil, false
	}
	return a.transport.unseal(from, data)
}

// Send implements membership.Effects. It seals and sends the datagram.
func (a *Agent) Send(slot int, data []byte) {
	data = a.transport.sealDatagram(data)
	if a.transport.learnsAddresses {
		a.transport.link.SendTo(a.core.Address(slot), data)
		return
	}
	a.transport.link.SendToPeer(slot, data)
}

// Changed implements membership.Effects. It logs the change.
func (a *Agent) Changed(c membership.Change) {
	slog.Info("member_changed", "id", formatID(c.ID), "name", c.Name, "from", c.OldState.String(), "to", c.NewState.String(),
		"reason", c.Reason.String(), "incarnation_start_ms", c.Incarnation.Start(), "view_version", c.Version)
}

// Leave announces a graceful shutdown to the other members and stops the Agent. It does nothing if the Agent
// is nil or has stopped.
func (a *Agent) Leave() {
	if a != nil && !a.closed {
		a.core.Leave(a.loop.Now())
		a.Stop()
	}
}

// Stop stops the Agent without an announcement, as in a hot restart, in which another process continues as
// this member. It does nothing if the Agent is nil or has stopped.
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
