package fake

import (
	"net"
	"sync"
)

// tcpServer accepts connections on a loopback address and holds them until its end.
type tcpServer struct {
	listener net.Listener

	mu    sync.Mutex        // protects conns, and what the server that embeds it counts
	conns map[net.Conn]bool // true: its client has been answered with UP
}

// listen accepts connections, each of which serve handles on a goroutine of its own.
func (s *tcpServer) listen(serve func(net.Conn)) error {
	s.conns = map[net.Conn]bool{}
	var err error
	if s.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	go func() {
		for {
			c, err := s.listener.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return nil
}

// Addr is the address that it listens on.
func (s *tcpServer) Addr() string { return s.listener.Addr().String() }

// trackConn records a connection, and whether its client has been answered with UP.
func (s *tcpServer) trackConn(c net.Conn, established bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = established
}

// closeConn closes a connection and forgets it.
func (s *tcpServer) closeConn(c net.Conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	c.Close()
}

// Close ends it and its connections.
func (s *tcpServer) Close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}
