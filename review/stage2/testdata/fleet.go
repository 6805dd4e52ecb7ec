package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"
)

// mesh carries the proxies' datagrams: each proxy has an address of its own for each other one.
type mesh struct {
	listen []string      // where each proxy listens
	peers  [][]string    // the list of addresses that each proxy is told
	cut    []atomic.Bool // whether a proxy neither hears the others nor is heard
}

// newMesh returns a mesh between n proxies.
func newMesh(s *stage, n int) *mesh {
	m := &mesh{cut: make([]atomic.Bool, n)}
	sockets := make([][]net.PacketConn, n)
	targets := make([]net.Addr, n)
	for i := range n {
		m.listen = append(m.listen, s.freeAddr())
		targets[i], _ = net.ResolveUDPAddr("udp", m.listen[i])
		m.peers = append(m.peers, make([]string, n))
		sockets[i] = make([]net.PacketConn, n)
	}
	for i := range n {
		for j := range n {
			m.peers[i][j] = m.listen[i]
			if i == j {
				continue
			}
			m.peers[i][j] = s.freeAddr()
			c, err := net.ListenPacket("udp", m.peers[i][j])
			if err != nil {
				s.cannotRun("%v", err)
			}
			sockets[i][j] = c
			s.onEnd(func() { c.Close() })
		}
	}
	for i := range n {
		for j := range n {
			if i != j {
				go carry(sockets[i][j], sockets[j][i], targets[j], &m.cut[i], &m.cut[j])
			}
		}
	}
	return m
}

// carry passes what a proxy sends to another one, 1 to 5 ms later, unless one of them is cut off.
func carry(from, via net.PacketConn, to net.Addr, cutFrom, cutTo *atomic.Bool) {
	for {
		b := make([]byte, 2048)
		n, _, err := from.ReadFrom(b)
		if err != nil {
			return
		}
		if !cutFrom.Load() && !cutTo.Load() {
			time.AfterFunc(time.Duration(1+rand.IntN(4))*time.Millisecond, func() { via.WriteTo(b[:n], to) })
		}
	}
}

// fleet starts three proxies that may send messages, one in each zone.
func (s *stage) fleet(a *discovery, known map[string]any, prepare func(p *proxySite)) (sites []*proxySite, m *mesh) {
	m = newMesh(s, 3)
	for i, zone := range zones {
		p := s.newProxySite(fmt.Sprintf("n%d", i), i, 3, a.addr, known)
		p.settings["bounds"].(map[string]any)["may_tell"] = true
		p.settings["my_zone"] = zone
		p.settings["extra"].(map[string]any)["tenant_quota_connections"] = []float64{184, 132, 56, 28}
		p.more["peer_listen"], p.more["peers"] = m.listen[i], m.peers[i]
		p.more["seed"] = fmt.Sprintf("%016x", rand.Uint64())
		p.writeConfig(a.addr)
		if prepare != nil {
			prepare(p)
		}
		sites = append(sites, p)
	}
	for _, p := range sites {
		p.process = p.start(p.name)
	}
	for _, p := range sites {
		p.ping(10 * time.Second)
	}
	return sites, m
}

// floodGroups returns groups from which clients draw theirs: some 390 connections at a time, 56 in a mean group, by size as 1 to 1/7.
func floodGroups() (groups []string) {
	for rank := range 7 {
		group := hex()
		for range 60 / (rank + 1) {
			groups = append(groups, group)
		}
	}
	return groups
}
