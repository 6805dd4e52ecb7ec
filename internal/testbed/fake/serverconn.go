package fake

import (
	"bufio"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"
)

// serve handles one connection from its handshake to its end.
func (s *Server) serve(c net.Conn) {
	if s.secure {
		secured, err := s.handshake(c)
		if err != nil {
			c.Close()
			return
		}
		c = secured
	}
	s.trackConn(c, false)
	defer s.closeConn(c)
	in := bufio.NewReaderSize(c, 512)
	id, err := readRequest(in)
	if err == errInvalidRequest {
		fmt.Fprint(c, "SYNTAX\r\n")
	}
	if err != nil {
		return
	}
	if s.answer(c, id) {
		s.serveLines(c, in)
	}
}

// handshakeTimeout bounds a TLS handshake.
const handshakeTimeout = 10 * time.Second

// handshake completes the server's side of a TLS handshake and records it.
func (s *Server) handshake(c net.Conn) (net.Conn, error) {
	t := tls.Server(c, s.tls.Load())
	c.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := t.Handshake(); err != nil {
		return nil, err
	}
	c.SetDeadline(time.Time{})
	state := t.ConnectionState()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handshakes = append(s.handshakes, Handshake{time.Now(), state.DidResume})
	if certificates := state.PeerCertificates; len(certificates) > 0 {
		s.clientSerials[certificates[0].SerialNumber.String()]++
	}
	return t, nil
}

// errInvalidRequest reports that a connection's first line is not a valid request.
var errInvalidRequest = errors.New("the first line is not a valid request")

// readRequest reads a request line and returns the request's ID. It returns errInvalidRequest if
// the line is not a request.
func readRequest(in *bufio.Reader) (id string, err error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return "", err
	}
	words := strings.Fields(line)
	if len(words) < 3 || words[0] != "OPEN" || !strings.HasSuffix(line, "\r\n") {
		return "", errInvalidRequest
	}
	return words[1], nil
}

// answer records and answers a request. It reports whether the request was served, so that the
// connection stays open.
func (s *Server) answer(c net.Conn, id string) bool {
	time.Sleep(time.Duration(s.AnswerDelay.Load()))
	s.mu.Lock()
	s.requests[id]++
	s.mu.Unlock()
	switch {
	case s.Busy.Load() || s.draining.Load():
		fmt.Fprint(c, "BUSY\r\n")
		return false
	case s.Failing.Load():
		fmt.Fprint(c, "ERR\r\n")
		return false
	}
	s.trackConn(c, true)
	fmt.Fprintf(c, "UP %s-%s\r\n", s.UID, id)
	return true
}

// serveLines answers the lines of an established connection until the client sends BYE or the
// connection breaks.
func (s *Server) serveLines(c net.Conn, in *bufio.Reader) {
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		if s.Silent.Load() {
			continue
		}
		if strings.HasPrefix(line, "BYE") {
			fmt.Fprint(c, "BYE\r\n")
			return
		}
		if _, err := fmt.Fprint(c, "GOT "+line); err != nil {
			return
		}
	}
}
