package fake

import (
	"net"
	"sync"
)

// tcpServer accepts connections on a loopback address and tracks them so that Close can close them.
type tcpServer struct {
	listener net.Listener

	mu    sync.Mutex        // protects conns and the counts of the server that embeds it
	conns map[net.Conn]bool // whether the request was answered with UP
}

// listen starts accepting connections and calls serve for each of them on its own goroutine.
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

// Addr returns the address that the server listens on.
func (s *tcpServer) Addr() string { return s.listener.Addr().String() }

// trackConn records a connection and whether its request was answered with UP.
func (s *tcpServer) trackConn(c net.Conn, established bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = established
}

// closeConn closes a connection and stops tracking it.
func (s *tcpServer) closeConn(c net.Conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	c.Close()
}

// Close closes the listener and all tracked connections.
func (s *tcpServer) Close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}
