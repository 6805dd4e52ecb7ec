package node

import (
	"log/slog"

	"croftlock/internal/fleet/peers"
)

// openPeers starts to exchange datagrams with the other proxies. fd is the socket that the old
// process handed over; if it is negative, openPeers opens a new one. openPeers does nothing if the
// platform forbids such datagrams, names no address for them or runs only one proxy. It only logs a
// failure, because the proxy can serve without that socket.
func (p *process) openPeers(fd int) {
	s := p.cfg.Settings
	if !s.MayGossip || p.cfg.Peers.Listen == "" || s.Instances <= 1 {
		return
	}
	link, err := peers.Open(p.loop, p.cfg.Peers, s.Instance, fd, p.peerMessageReceived)
	if err != nil {
		slog.Warn("peers_off", "reason", err)
		return
	}
	p.core.SetPeers(link)
	p.peers = link
}

// peerMessageReceived passes a datagram of the proxy with number from to membership, which may be
// nil, or to the decision module if the datagram is not one of membership's.
func (p *process) peerMessageReceived(from int, data []byte) {
	if !p.fleet.members.ReceiveShared(from, data) {
		p.core.PeerMessageReceived(from, data)
	}
}
